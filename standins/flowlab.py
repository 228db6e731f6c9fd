"""Measurements of workflows, without machines: what the engine costs, and what division of the deadline gives.

    python -m standins.flowlab cost OUT        changes, requests and processor time per step, 10 to 10,000 steps
    python -m standins.flowlab deadlines OUT   deadlines met and price by division, on simulated machines

OUT is a folder for figures (CSV) and plots. Both use the code that serves; the state service and the machines are
stand-ins in this process, time in the second is simulated.
"""

from __future__ import annotations

import asyncio
import csv
import math
import pathlib
import random
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import msgspec

from winglift.config import settings as settings_module
from winglift.flows import records
from winglift.flows.graph import Node, critical, divide
from winglift.flows.run import Run
from winglift.model.quota import QuotaUsage
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.policy.split import split_deadline
from winglift.wire import flows as flow_messages
from winglift.wire.cloud import MachineType
from winglift.wire.users import Kind, Priority, Submission

from .__main__ import TEMPLATE
from .flow_leader import Direct, Leads, Uploads
from .state import StateService

SETTINGS = settings_module.parse(
    TEMPLATE.format(port=1, back=2, cloud=3, state=4)
    .replace("gpus = 8.0", "gpus = 0.0")
    .replace("gpus_max = 16.0", "gpus_max = 0.0")
)
SMALL = MachineType(
    name="s",
    cpus=4.0,
    gpus=0.0,
    memory_gb=16.0,
    cache_gb=60.0,
    fetch_gb_per_s=1.0,
    price=1.0,
    spot_price=None,
    boot_s=45.0,
    zones=["a"],
)
LARGE = MachineType(
    name="l",
    cpus=16.0,
    gpus=0.0,
    memory_gb=64.0,
    cache_gb=60.0,
    fetch_gb_per_s=1.0,
    price=4.0,
    spot_price=None,
    boot_s=45.0,
    zones=["a"],
)
TYPES = {"s": SMALL, "l": LARGE}

# -- cost ------------------------------------------------------------------------------------------


def shaped(shape: str, count: int) -> tuple[flow_messages.Plan, dict[str, Any]]:
    tool = flow_messages.Tool(
        [flow_messages.Param("x", "string", binding=flow_messages.Binding())],
        [flow_messages.Output("out", "string", ["o"], True, "$(self[0].contents)")],
        ["echo"],
        stdout="o",
    )
    gather = flow_messages.Tool(
        [flow_messages.Param("x", {"array": "string"}, binding=flow_messages.Binding())],
        [flow_messages.Output("out", "string", ["o"], True, "$(self[0].contents)")],
        ["echo"],
        stdout="o",
    )
    inputs = [flow_messages.Param("one", "string"), flow_messages.Param("many", {"array": "string"})]
    if shape == "scatter":
        steps = [flow_messages.Step("s", "tool", [flow_messages.StepInput("x", ["many"])], ["out"], ["x"])]
    elif shape == "chain":
        steps = [
            flow_messages.Step(
                f"s{i}", "tool", [flow_messages.StepInput("x", [f"s{i - 1}/out" if i else "one"])], ["out"]
            )
            for i in range(count)
        ]
    else:
        steps = [
            flow_messages.Step(f"s{i}", "tool", [flow_messages.StepInput("x", ["one"])], ["out"])
            for i in range(count - 1)
        ]
        steps.append(
            flow_messages.Step(
                "end", "gather", [flow_messages.StepInput("x", [f"s{i}/out" for i in range(count - 1)], True)], ["out"]
            )
        )
    main = flow_messages.Workflow(inputs, [], steps)
    plan = flow_messages.Plan("main", {"main": main, "tool": tool, "gather": gather})
    return plan, {"one": "a", "many": [str(i) for i in range(count)] if shape == "scatter" else []}


class Heartbeat:
    """The longest time (s of the processor) in which nothing else in the process could run."""

    def __init__(self) -> None:
        self.longest = 0.0
        self._last = time.process_time()
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            now = time.process_time()
            self.longest, self._last = max(self.longest, now - self._last), now  # after a pause it is -inf
            await asyncio.sleep(0)

    def pause(self) -> None:
        """What was done since the last beat is the lab's own."""
        now = time.process_time()
        self.longest = max(self.longest, now - self._last)
        self._last = math.inf

    def stop(self) -> float:
        self._task.cancel()
        return self.longest


async def _cost(shape: str, count: int) -> dict[str, Any]:
    plan, order = shaped(shape, count)
    service, uploads = StateService(), Uploads()
    direct = Direct(service)
    service.apply([{"write": "leader", "v": {}}])
    sub = flow_messages.FlowSubmission(
        ref="fl-1",
        team="team",
        due_s=1e6,
        plan=await uploads.put(flow_messages.encode(plan)),
        order=await uploads.put(msgspec.json.encode(order)),
    )
    service.apply([{"write": "flow/fl-1", "v": msgspec.to_builtins(records.FlowRecord(sub, time.time()))}])
    leads = Leads(direct, uploads, SETTINGS, TYPES)
    leads.open_jobs = 100
    item = await direct.get("flow/fl-1")
    assert item is not None
    run = Run(leads, records.decode_flow_record(item.value), item.version)
    spent, changes, direct.requests = 0.0, 0, 0
    beat = Heartbeat()
    began = time.process_time()
    await run.load()
    while True:
        before = service.revision
        await run.step()
        changes += service.revision - before
        if run.head.state is flow_messages.FlowState.DONE:
            break
        spent -= time.process_time()
        beat.pause()
        for key, (value, _, _) in list(service.keys.items()) if shape != "chain" else [last_job(service)]:
            if key.startswith("job/") and value.get("o", "o") == "o":
                service.apply([{"write": key, "v": value | {"o": "d"}}])
        spent += time.process_time()
    spent = time.process_time() - began - spent
    longest = beat.stop()
    largest = max(len(msgspec.json.encode(v)) for v, _, _ in service.keys.values())
    # Taken over: what a new leader spends to stand where this one stands.
    began = time.process_time()
    again = Run(leads, records.decode_flow_record(item.value), item.version)
    await again.load()
    return {
        "shape": shape,
        "steps": count,
        "cpu_ms_per_step": 1000 * spent / count,
        "changes_per_step": changes / count,
        "requests_per_step": direct.requests / count,
        "largest_value_bytes": largest,
        "longest_block_ms": 1000 * longest,
        "takeover_s": time.process_time() - began,
    }


def last_job(service: StateService) -> tuple[str, Any]:
    return next((k, v) for k, v in reversed(service.keys.items()) if k.startswith("job/"))


def cost(shape: str, count: int) -> dict[str, Any]:
    return asyncio.run(_cost(shape, count))


# -- deadlines -------------------------------------------------------------------------------------


def graph_of(shape: str, chance: random.Random) -> dict[str, Node]:
    """Shapes of the paper's workflows, with run times of 5 to 120 s."""
    nodes: dict[str, Node] = {}

    def add(name: str, *parents: str) -> str:
        nodes[name] = Node(
            name,
            "tool",
            flow_messages.Hints(run_s=min(120.0, max(5.0, chance.lognormvariate(3.2, 0.8)))),
            False,
            set(parents),
        )
        return name

    if shape == "pipeline":
        last = add("s0")
        for number in range(1, 8):
            last = add(f"s{number}", last)
    elif shape == "fan":
        first = add("first")
        add("last", *[add(f"m{i}", first) for i in range(12)])
    elif shape == "lanes":  # parallel pipelines that join, as Epigenomics
        first = add("first")
        ends = []
        for lane in range(5):
            last = first
            for number in range(4):
                last = add(f"l{lane}.{number}", last)
            ends.append(last)
        add("report", add("join", *ends))
    else:  # two fans with a narrow waist, as Montage
        left = [add(f"a{i}") for i in range(6)]
        pairs = [add(f"b{i}", left[i], left[i + 1]) for i in range(5)]
        waist = add("waist", *pairs)
        right = [add(f"c{i}", waist) for i in range(6)]
        add("end", add("shrink", add("add", *right)))
    return nodes


def levels(nodes: dict[str, Node]) -> dict[str, int]:
    found: dict[str, int] = {}
    for path, node in nodes.items():
        found[path] = max((found[p] + 1 for p in node.parents), default=0)
    return found


class Flow:
    def __init__(self, name: str, nodes: dict[str, Node], begin: float, due: float, chance: random.Random) -> None:
        self.name, self.nodes, self.begin, self.due = name, nodes, begin, due
        self.levels = levels(nodes)
        # As estimates are: often wrong by a third.
        self.real = {p: n.run_s * chance.uniform(0.7, 1.35) for p, n in nodes.items()}
        self.ends: dict[str, float] = {}
        self.started: set[str] = set()

    def deadline(self, path: str, how: str) -> float:
        if how == "none":
            return self.due
        if how == "equal":
            depth = max(self.levels.values()) + 1
            return self.begin + (self.due - self.begin) * (self.levels[path] + 1) / depth
        dues = divide(self.nodes, self.begin, self.due, self.ends, {})
        return dues[path] if how == "run time" else self._latest(dues)[path]

    def _latest(self, dues: dict[str, float]) -> dict[str, float]:
        """Not served, measured only: the same shares, but a step off the critical path may end as late as the steps
        after it still keep theirs."""
        open_ = [p for p in self.nodes if p not in self.ends]
        begin = max([self.begin, *self.ends.values()])
        makespan = max(
            split_deadline(
                [{p: n.run_s for p, n in self.nodes.items()}],
                {p: sorted(n.parents) for p, n in self.nodes.items()},
                self.begin,
                0.0,
                self.ends,
            ).values()
        )
        stretch = max(1.0, (self.due - begin) / max(1e-6, makespan - begin))
        found = dict.fromkeys(open_, max(self.due, max(dues.values())))
        for child in reversed(open_):  # parents come before their children
            for parent in self.nodes[child].parents:
                if parent in found:
                    found[parent] = min(found[parent], found[child] - self.nodes[child].run_s * stretch)
        return found


class Box:
    def __init__(self, name: str, kind: MachineType, now: float) -> None:
        self.name, self.kind, self.rented, self.ready = name, kind, now, now + kind.boot_s
        self.tasks: list[tuple[float, Flow, str]] = []
        self.images: set[str] = set()
        self.idle = self.ready


def deadlines(shape: str, factor: float, how: str, seed: int) -> dict[str, Any]:
    """Twelve workflows of a shape that come over ten minutes; cycles of one second of simulated time."""
    chance = random.Random(f"{shape} {factor} {seed}")
    flows = []
    for number in range(12):
        nodes = graph_of(shape, chance)
        begin = chance.uniform(0, 600)
        span = sum(nodes[p].run_s for p in critical(nodes))
        flows.append(Flow(f"f{number}", nodes, begin, begin + SMALL.boot_s + span * factor, chance))
    boxes: dict[str, Box] = {}
    spent = used = 0.0
    number, now = 0, 0.0
    while any(len(f.ends) < len(f.nodes) for f in flows) and now < 20000:
        now += 1.0
        for box in boxes.values():
            for task in [t for t in box.tasks if t[0] <= now]:
                box.tasks.remove(task)
                task[1].ends[task[2]] = task[0]
                box.idle = now
        needs, refs = [], {}
        for flow in flows:
            if flow.begin > now:
                continue
            for path, node in flow.nodes.items():
                if path in flow.started or not node.parents <= flow.ends.keys():
                    continue
                ref = f"wk-{len(refs)}"
                refs[ref] = flow, path
                image = f"{shape}-{path.rstrip('0123456789')}"
                spec = Submission(
                    ref=ref,
                    job_class="w",
                    team="team",
                    kind=Kind.ARRAY,
                    priority=Priority.NORMAL,
                    tasks=1,
                    cpus=2.0,
                    gpus=0.0,
                    memory_gb=4.0,
                    image=image,
                    image_gb=2.0,
                    one_zone=False,
                    spread=False,
                    spot=False,
                    estimate_s=node.run_s,
                    checkpoint_s=0.0,
                    save_s=0.0,
                    due_s=flow.due - flow.begin,
                )
                needs.append(policy_snapshot.Demand(ref, spec, [0], flow.deadline(path, how), node.run_s, {}))
        rooms = []
        for box in boxes.values():
            free = box.kind.cpus - 2.0 * len(box.tasks)
            rooms.append(
                policy_snapshot.FreeCapacity(
                    box.name,
                    box.kind,
                    "a",
                    False,
                    free,
                    0.0,
                    box.kind.memory_gb - 4.0 * len(box.tasks),
                    ready_in=max(0.0, box.ready - now),
                    images=set(box.images),
                    cached_images=set(box.images),
                    empty=not box.tasks,
                )
            )
        if needs:
            quota = QuotaUsage({t.name: t for t in SETTINGS.settings.teams})
            plan = make_plan(policy_snapshot.Snapshot(now, rooms, needs, quota, TYPES, set()))
            for ref, places in plan.starts:
                flow, path = refs[ref]
                box = boxes[places[0][1]]
                image = next(n.spec for n in needs if n.ref == ref).image
                fetch = 0.0 if image in box.images else 2.0 / box.kind.fetch_gb_per_s
                box.images.add(image)
                box.tasks.append((max(now, box.ready) + fetch + flow.real[path], flow, path))
                flow.started.add(path)
            for rental in plan.rentals:
                for _ in range(rental.count):
                    number += 1
                    boxes[f"m{number}"] = Box(f"m{number}", TYPES[rental.type], now)
        for box in list(boxes.values()):
            if not box.tasks and now > max(box.idle, box.ready) + 30.0:
                spent += (now - box.rented) * box.kind.price
                del boxes[box.name]
    spent += sum((now - b.rented) * b.kind.price for b in boxes.values())
    used = sum(sum(f.real.values()) for f in flows) * 2.0 / SMALL.cpus * SMALL.price
    met = sum(max(f.ends.values()) <= f.due for f in flows)
    return {
        "shape": shape,
        "factor": factor,
        "division": how,
        "seed": seed,
        "met": met / len(flows),
        "price": spent / used,
        "mean_lateness_s": sum(max(0.0, max(f.ends.values()) - f.due) for f in flows) / 12,
    }


# -- the whole -------------------------------------------------------------------------------------

SHAPES = ["pipeline", "fan", "lanes", "waist"]
FACTORS = [1.2, 1.5, 2.0, 3.0]
DIVISIONS = ["run time", "equal", "none", "run time, latest"]


def write(rows: list[dict[str, Any]], file: pathlib.Path) -> None:
    with open(file, "w", newline="") as out:
        writer = csv.DictWriter(out, list(rows[0]), lineterminator="\n")
        writer.writeheader()
        writer.writerows({k: round(v, 4) if isinstance(v, float) else v for k, v in row.items()} for row in rows)


def plot_cost(rows: list[dict[str, Any]], file: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(1, 3, figsize=(11, 3.2))
    for axis, field, title in zip(
        axes,
        ("cpu_ms_per_step", "changes_per_step", "takeover_s"),
        (
            "processor time per step, ms",
            "changes of the state service per step",
            "processor time of a takeover at the end, s",
        ),
        strict=True,
    ):
        for shape in ("chain", "fan", "scatter"):
            found = [r for r in rows if r["shape"] == shape]
            axis.loglog([r["steps"] for r in found], [r[field] for r in found], marker="o", label=shape)
        axis.set_xlabel("steps")
        axis.set_title(title, fontsize=9)
        axis.grid(True, which="major", alpha=0.3)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(file)


def plot_deadlines(rows: list[dict[str, Any]], file: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    figure, axes = plt.subplots(2, len(SHAPES), figsize=(12, 5.2), sharex=True, sharey="row")
    for column, shape in enumerate(SHAPES):
        for line, (field, title) in enumerate((("met", "deadlines met"), ("price", "price"))):
            axis = axes[line][column]
            for how in DIVISIONS:
                points = []
                for factor in FACTORS:
                    found = [r[field] for r in rows if (r["shape"], r["factor"], r["division"]) == (shape, factor, how)]
                    mean = sum(found) / len(found)
                    error = math.sqrt(sum((v - mean) ** 2 for v in found) / max(1, len(found) - 1) / len(found))
                    points.append((factor, mean, error))
                axis.errorbar(
                    [p[0] for p in points],
                    [p[1] for p in points],
                    [p[2] for p in points],
                    marker="o",
                    capsize=2,
                    label=how,
                )
            axis.grid(True, alpha=0.3)
            if column == 0:
                axis.set_ylabel(title)
            if line == 0:
                axis.set_title(shape, fontsize=9)
            else:
                axis.set_xlabel("deadline / critical path")
    axes[0][0].legend(fontsize=8, title="division", title_fontsize=8)
    figure.tight_layout()
    figure.savefig(file)


def main() -> None:
    if len(sys.argv) != 3 or sys.argv[1] not in ("cost", "deadlines"):
        sys.exit(__doc__)
    out = pathlib.Path(sys.argv[2])
    out.mkdir(parents=True, exist_ok=True)
    if sys.argv[1] == "cost":
        rows = [cost(shape, count) for shape in ("chain", "fan", "scatter") for count in (10, 100, 1000, 10000)]
        plot_cost(rows, out / "flow-cost.svg")
        write(rows, out / "flow-cost.csv")
        return
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(deadlines, shape, factor, how, seed)
            for shape in SHAPES
            for factor in FACTORS
            for how in DIVISIONS
            for seed in range(20)
        ]
        rows = [job.result() for job in jobs]
    plot_deadlines(rows, out / "flow-deadlines.svg")
    write(rows, out / "flow-deadlines.csv")


if __name__ == "__main__":
    main()
