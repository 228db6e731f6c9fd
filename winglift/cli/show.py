"""Shows the steps of a workflow: as a progress display, as lines of text, or as an image of the graph."""

from __future__ import annotations

import pathlib
import sys
from collections.abc import Mapping
from itertools import pairwise
from typing import Any

from ..flows.graph import Node, critical, graph_path
from ..wire.flows import FlowReply, StepReply

COLOURS = {
    "done": "#4c9f70",
    "running": "#3f7fbf",
    "queued": "#8fb8de",
    "failed": "#c8553d",
    "skipped": "#b8b8b8",
    "waiting": "#e8e4da",
}


class LineDisplay:
    """Prints a line for each change of a step on standard error."""

    def __init__(self) -> None:
        self._shown: dict[str, str] = {}

    def __enter__(self) -> LineDisplay:
        return self

    def __exit__(self, *_: object) -> None:
        pass

    def show(self, reply: FlowReply) -> None:
        for step in reply.steps:
            text = step.state if step.tasks <= 1 else f"{step.state}, {step.done} of {step.tasks}"
            if step.state != "waiting" and self._shown.get(step.path) != text:
                self._shown[step.path] = text
                print(f"{reply.ref} {step.path}: {text}", file=sys.stderr)


class ProgressDisplay:
    """Shows a progress bar for each step on a terminal."""

    def __init__(self) -> None:
        from rich.console import Console
        from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn

        self._progress = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            MofNCompleteColumn(),
            TextColumn("{task.fields[state]}"),
            TimeElapsedColumn(),
            console=Console(stderr=True),
        )
        self._bars: dict[str, Any] = {}

    def __enter__(self) -> ProgressDisplay:
        self._progress.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._progress.stop()

    def show(self, reply: FlowReply) -> None:
        for step in reply.steps:
            if step.path not in self._bars:
                self._bars[step.path] = self._progress.add_task(step.path, start=False, state="")
            bar = self._bars[step.path]
            if step.state != "waiting":
                self._progress.start_task(bar)
            total = max(1, step.tasks)
            done = total if step.state in ("done", "skipped") else step.done
            self._progress.update(bar, total=total, completed=done, state=step.state)
            if step.state in ("done", "skipped", "failed"):
                self._progress.stop_task(bar)


def create_display() -> LineDisplay | ProgressDisplay:
    """A progress display on a terminal, lines of text otherwise."""
    return ProgressDisplay() if sys.stderr.isatty() else LineDisplay()


def step_states(nodes: Mapping[str, Node], steps: list[StepReply]) -> dict[str, str]:
    """The state of each step of the graph; of several instances of a step, the state with the highest precedence."""
    precedence = ["waiting", "skipped", "done", "queued", "running", "failed"]
    states = dict.fromkeys(nodes, "waiting")
    for step in steps:
        path = graph_path(step.path)
        if path in states and precedence.index(step.state) > precedence.index(states[path]):
            states[path] = step.state
    return states


def graph_data(nodes: Mapping[str, Node], states: Mapping[str, str]) -> dict[str, Any]:
    """The graph with the steps' states, as `--json` prints it."""
    critical_path = critical(nodes)
    return {
        "steps": [
            {
                "path": p,
                "state": states[p],
                "runS": n.run_s,
                "scattered": n.scattered,
                "parents": sorted(n.parents),
                "critical": p in critical_path,
            }
            for p, n in nodes.items()
        ],
        "critical": critical_path,
        "criticalS": sum(nodes[p].run_s for p in critical_path),
    }


def draw_graph(nodes: Mapping[str, Node], states: Mapping[str, str], title: str, file: pathlib.Path) -> None:
    """Draws the graph from left to right, the critical path in bold. The file's suffix selects the format."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    column_of: dict[str, int] = {}
    for path, node in nodes.items():  # in topological order
        column_of[path] = max((column_of[p] + 1 for p in node.parents), default=0)
    columns: dict[int, list[str]] = {}
    for path, column in column_of.items():
        columns.setdefault(column, []).append(path)
    positions = {
        p: (2.6 * column, -1.2 * (row - (len(paths) - 1) / 2))
        for column, paths in columns.items()
        for row, p in enumerate(paths)
    }
    max_rows = max((len(paths) for paths in columns.values()), default=1)
    figure, axes = plt.subplots(figsize=(max(5.0, 2.2 * len(columns)), max(2.2, 0.8 * max_rows + 1.2)))
    critical_path = critical(nodes)
    critical_edges = set(pairwise(critical_path))
    for path, node in nodes.items():
        for parent in node.parents:
            is_critical = (parent, path) in critical_edges
            axes.annotate(
                "",
                positions[path],
                positions[parent],
                arrowprops={
                    "arrowstyle": "-|>",
                    "color": "#222222" if is_critical else "#999999",
                    "lw": 2.4 if is_critical else 1.0,
                    "shrinkA": 38,
                    "shrinkB": 38,
                },
            )
    for path, (x, y) in positions.items():
        name = path + (" [ ]" if nodes[path].scattered else "")
        axes.text(
            x,
            y,
            f"{name}\n{nodes[path].run_s:g} s",
            ha="center",
            va="center",
            fontsize=8,
            bbox={
                "boxstyle": "round,pad=0.5",
                "facecolor": COLOURS[states[path]],
                "edgecolor": "#222222",
                "linewidth": 2.4 if path in critical_path else 0.8,
            },
        )
    for state, colour in COLOURS.items():
        axes.scatter([], [], color=colour, edgecolors="#222222", linewidths=0.5, label=state)
    axes.legend(loc="upper center", bbox_to_anchor=(0.5, 0.0), ncols=6, fontsize=7, frameon=False)
    axes.set_title(title, fontsize=9)
    xs, ys = [x for x, _ in positions.values()] or [0.0], [y for _, y in positions.values()] or [0.0]
    axes.set_xlim(min(xs) - 1.2, max(xs) + 1.2)
    axes.set_ylim(min(ys) - 0.9, max(ys) + 0.9)
    axes.axis("off")
    figure.savefig(file, dpi=130, bbox_inches="tight")
    plt.close(figure)
