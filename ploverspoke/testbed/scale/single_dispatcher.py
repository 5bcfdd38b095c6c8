"""Runs a real dispatcher with its own source address: `single_dispatcher HOST MODULE`.

Simulated dispatchers are compared with it. Of the rig's `launcher.py` it only has the source address, since
the launcher's other replacements add a cost to each read of the clock.
"""

import ctypes
import runpy
import signal
import sys
from typing import Any

import uvloop

PR_SET_PDEATHSIG = 1  # option of prctl(2)


def loop_with_source_address(address: str) -> type[uvloop.Loop]:
    """Return a loop class whose connections use the source address."""

    class SourceAddressLoop(uvloop.Loop):
        """A loop whose connections use one source address."""

        async def create_connection(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Connect from the source address."""
            return await super().create_connection(factory, host, port, local_addr=(address, 0), **options)

    return SourceAddressLoop


def main() -> None:
    """Run the module with this loop class in place of uvloop's."""
    # The starter stops this process by its handle; if the starter is killed, the kernel kills this process.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    address, module = sys.argv[1:]
    uvloop.Loop = loop_with_source_address(address)  # type: ignore[misc]
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
