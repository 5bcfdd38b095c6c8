"""Measures endpoint list age under its former name, `python -m ploverspoke.testbed.list_age.measure`."""

import sys

from ..scenarios.endpoint_list_age import main

if __name__ == "__main__":
    print("deprecated name: use python -m ploverspoke.testbed.scenarios.endpoint_list_age", file=sys.stderr)
    main()
