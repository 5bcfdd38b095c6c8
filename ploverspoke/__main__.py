"""Starts a real dispatcher."""

import sys

from .program.service import main

sys.exit(main())
