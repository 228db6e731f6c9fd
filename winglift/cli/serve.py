"""`winglift serve`: one controller node, until it is stopped."""

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
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(stream=sys.stderr, level=level, format="%(levelname)s %(name)s: %(message)s")
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)


def serve(config: str, script_file: str | None, workflows: str | None, check: bool) -> int:
    """Serve, or only check the files; the exit code. What can't be used is named in one line, and the code is 2."""
    set_up_logs()
    try:
        settings = load(config)
        rules = script.load(script_file) if script_file else script.Script()
        flows = None
        if workflows:
            # Loaded only where workflows are served: a controller without them pays nothing.
            from ..flows import settings as flow_settings

            flows = flow_settings.load(workflows)
    except (SettingsError, script.ScriptError) as err:
        print(f"winglift: {err}", file=sys.stderr)
        return 2
    if check:
        print(f"winglift: {config} is valid (node {settings.node})")
        return 0
    from ..node import Node

    node = Node(settings, rules)
    if flows is not None:
        from ..flows.service import FlowService

        node.add_extension(FlowService(flows, node))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(node.run())
    return 0
