"""Entry point of `python -m winglift`."""

import sys

from .cli.main import main

if __name__ == "__main__":
    sys.exit(main())
