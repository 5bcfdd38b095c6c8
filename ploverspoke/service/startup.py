"""Setup that must run before anything else is imported."""

import signal

BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def block_signals() -> None:
    """Block SIGHUP and SIGTERM until `Service.run` has installed handlers for them and unblocks them.

    Otherwise a SIGHUP for a new configuration that arrives during startup would end the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
