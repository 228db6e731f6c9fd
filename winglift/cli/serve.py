"""`winglift serve`: runs a controller node until it is stopped."""

from __future__ import annotations

import asyncio
import logging
import os
import sys

import uvloop

from ..config import script
from ..config.settings import SettingsError, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logs() -> None:
    """Logs to standard error at the level of the variable LOG_LEVEL (default: info)."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


def serve(config: str, script_file: str | None, workflows: str | None, check: bool) -> int:
    """Runs a node, or only checks its files; returns the exit code. An invalid file is reported in one line: code 2."""
    set_up_logs()
    try:
        settings = load(config)
        operator_script = script.load(script_file) if script_file else script.Script()
        flow_settings = None
        if workflows:
            # Imported only if workflows are enabled, to save start time and memory otherwise.
            from ..flows import settings as settings_module

            flow_settings = settings_module.load(workflows)
    except (SettingsError, script.ScriptError) as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 2
    if check:
        print(f"winglift: {config} is valid (node {settings.node})")
        return 0
    from ..node import Node

    node = Node(settings, operator_script)
    if flow_settings is not None:
        from ..flows.service import FlowService

        node.add_extension(FlowService(flow_settings, node))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(node.run())
    return 0
