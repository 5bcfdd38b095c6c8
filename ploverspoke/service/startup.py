"""What has to be done before anything else is imported."""

import signal

BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def block_signals() -> None:
    """Hold SIGHUP and SIGTERM back until `Service.run` has handlers for them and lets them in again.

    Without this a SIGHUP for a new configuration that comes during the start ends the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
