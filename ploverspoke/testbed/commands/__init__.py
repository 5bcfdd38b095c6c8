"""The command line of the testbed; it only parses arguments and calls the other packages."""
