"""Entry point of deployments: adds the built dependencies to the import path and runs the command line."""

import os
import sys

ROOT = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(ROOT, "target", "deps"))
sys.path.insert(0, ROOT)

from winglift.cli.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
