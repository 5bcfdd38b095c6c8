"""One dispatcher in a process of its own, sending from an address of its own: `alone ADDRESS MODULE`.

What hollow dispatchers are compared with: of the rig's `launcher.py` it has nothing but the address, since
the rest costs time at each look at the clock.
"""

import ctypes
import runpy
import signal
import sys
from typing import Any

import uvloop

PR_SET_PDEATHSIG = 1


def loop_at(address: str) -> type[uvloop.Loop]:
    class Loop(uvloop.Loop):
        async def create_connection(  # type: ignore[override]
            self, factory: Any, host: Any = None, port: Any = None, **more: Any
        ) -> Any:
            return await super().create_connection(factory, host, port, local_addr=(address, 0), **more)

    return Loop


def main() -> None:
    # Whoever started it ends it by its handle; should that one be killed, nothing stays behind.
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    address, module = sys.argv[1:]
    uvloop.Loop = loop_at(address)  # type: ignore[misc]
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
