"""Runs a dispatcher that sends from an address of its own: `single_dispatcher HOST MODULE`.

What simulated dispatchers are compared with: it has nothing of the rig's `launcher.py` but the address, since
the rest costs time at each look at the clock.
"""

import ctypes
import runpy
import signal
import sys
from typing import Any

import uvloop

PR_SET_PDEATHSIG = 1  # of prctl(2)


def loop_with_source(address: str) -> type[uvloop.Loop]:
    """Return a loop class whose connections leave from the address."""

    class SourceAddressLoop(uvloop.Loop):
        """A loop whose connections leave from one address."""

        async def create_connection(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **options: Any
        ) -> Any:
            """Connect from the address."""
            return await super().create_connection(factory, host, port, local_addr=(address, 0), **options)

    return SourceAddressLoop


def main() -> None:
    """Run the module with the loop in place of its own."""
    # The starter ends it by its handle; where that is killed, the kernel ends this process too.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    address, module = sys.argv[1:]
    uvloop.Loop = loop_with_source(address)  # type: ignore[misc]
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
