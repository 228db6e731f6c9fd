"""Command line: serve, check a settings file, print the version."""

from __future__ import annotations

import argparse
import asyncio
import logging
import os
import sys

import uvloop

from . import __version__
from .config import script
from .config.settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="winglift", description="One controller node of the winglift scheduler.")
    made.add_argument("--config", metavar="FILE", required=True, help="the platform's settings file (TOML)")
    made.add_argument("--script", metavar="FILE", default=os.environ.get("WINGLIFT_SCRIPT"),
                      help="operators' own settings (Lua); default: the variable WINGLIFT_SCRIPT, or none")
    made.add_argument("--check", action="store_true", help="check the settings and the script, and exit")
    made.add_argument("--version", action="version", version=f"winglift {__version__}")
    return made


def main(argv: list[str] | None = None) -> int:
    args = parser().parse_args(argv)
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
    try:
        settings = load(args.config)
        rules = script.load(args.script) if args.script else script.Script()
    except (SettingsError, script.ScriptError) as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 2
    if args.check:
        print(f"winglift: {args.config} is valid (node {settings.node})")
        return 0
    from .node import Node

    async def daemon() -> None:
        await Node(settings, rules).run()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(daemon())
    return 0
