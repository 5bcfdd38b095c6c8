"""The command line of the testbed; it parses arguments and calls the other packages."""
