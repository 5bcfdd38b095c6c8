"""What has to be done before anything else is imported."""

import signal

BLOCKED_SIGNALS = (signal.SIGHUP, signal.SIGTERM)


def block_signals() -> None:
    """They wait until there is somebody to take them: a new configuration that was told of during the start
    ended the program instead. The loop's handlers let them in again, in `Service.run`.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
