"""Entry point of the command line."""

from __future__ import annotations

import os
import sys


def main(argv: list[str] | None = None) -> int:
    """Returns the exit code: 0 success, 1 failure, 2 invalid arguments or files, 33 unsupported feature of CWL."""
    args = sys.argv[1:] if argv is None else argv
    if len(args) == 2 and args[0] == "--config":
        # Bypasses the command tree: importing it and its library delayed the start of a controller by 60 ms, and a
        # restart should be short.
        from .serve import serve

        return serve(args[1], os.environ.get("WINGLIFT_SCRIPT"), os.environ.get("WINGLIFT_WORKFLOWS"), False)
    from .tree import run_command

    return run_command(args)
