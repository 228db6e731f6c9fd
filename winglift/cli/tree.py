"""The command tree. The module of a command, with its dependencies, is imported only when the command is called."""

from __future__ import annotations

import importlib
import sys

import click

from .. import __version__
from .serve import serve as run_node

LAZY_COMMANDS = {"flow": ("flow", "flow"), "try": ("trial", "trial")}


class LazyGroup(click.Group):
    """A group with commands that are imported on first use."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        return sorted([*super().list_commands(ctx), *LAZY_COMMANDS])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        if cmd_name not in LAZY_COMMANDS:
            return super().get_command(ctx, cmd_name)
        module, name = LAZY_COMMANDS[cmd_name]
        try:
            return getattr(importlib.import_module(f"winglift.cli.{module}"), name)
        except ModuleNotFoundError as err:
            raise click.ClickException(
                f"{cmd_name} needs {err.name}: python3 -m pip install -r requirements-flows.txt"
            ) from None


def node_options(command):  # type: ignore[no-untyped-def]
    for option in reversed(
        [
            click.option("--config", metavar="FILE", help="the platform's settings file (TOML)"),
            click.option(
                "--script",
                metavar="FILE",
                envvar="WINGLIFT_SCRIPT",
                help="operator script (Lua); default: the variable WINGLIFT_SCRIPT, or none",
            ),
            click.option(
                "--workflows",
                metavar="FILE",
                envvar="WINGLIFT_WORKFLOWS",
                help="enable workflows with these settings (TOML); default: the variable WINGLIFT_WORKFLOWS",
            ),
            click.option("--check", is_flag=True, help="check the files, and exit"),
        ]
    ):
        command = option(command)
    return command


@click.group(cls=LazyGroup, invoke_without_command=True)
@node_options
@click.version_option(__version__, prog_name="winglift", message="%(prog)s %(version)s")
@click.pass_context
def cli(ctx: click.Context, config: str | None, script: str | None, workflows: str | None, check: bool) -> int:
    """A scheduler for shared clusters. Without a command, runs `serve`."""
    if ctx.invoked_subcommand is not None:
        return 0
    if config is None:
        raise click.UsageError("Missing option '--config', or a command.")
    return run_node(config, script, workflows, check)


@cli.command()
@node_options
def serve(config: str | None, script: str | None, workflows: str | None, check: bool) -> int:
    """Run a controller node until it is stopped."""
    if config is None:
        raise click.UsageError("Missing option '--config'.")
    return run_node(config, script, workflows, check)


def run_command(args: list[str]) -> int:
    """Runs a command; returns the exit code."""
    try:
        return cli.main(args=args, prog_name="winglift", standalone_mode=False) or 0
    except click.exceptions.Exit as err:
        return err.exit_code
    except click.ClickException as err:
        err.show(sys.stderr)
        return 2 if isinstance(err, click.UsageError) else 1
    except (click.Abort, KeyboardInterrupt):
        return 130
