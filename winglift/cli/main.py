"""Where the program begins."""

from __future__ import annotations

import os
import sys


def main(argv: list[str] | None = None) -> int:
    """The exit code: 0, 1 failed, 2 wrong arguments or files, 33 an unsupported feature of CWL."""
    args = sys.argv[1:] if argv is None else argv
    if len(args) == 2 and args[0] == "--config":
        # A controller that starts again is waited for: the command tree and its library took 60 ms of its start.
        from .serve import serve

        return serve(args[1], os.environ.get("WINGLIFT_SCRIPT"), os.environ.get("WINGLIFT_WORKFLOWS"), False)
    from .tree import run

    return run(args)
