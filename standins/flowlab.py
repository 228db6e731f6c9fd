"""Measurements of workflows without real machines: the cost of the engine, and the effect of deadline division.

    python -m standins.flowlab cost OUT        changes, requests and processor time per step, 10 to 10,000 steps
    python -m standins.flowlab deadlines OUT   deadlines met and price, by division, on simulated machines

OUT is the directory for the figures (CSV) and plots. Both run the production code with stand-ins for the state service
and the machines, in one process; `deadlines` uses simulated time.
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
from winglift.flows.run import FlowRun
from winglift.model.quota import QuotaUsage
from winglift.policy import snapshot as policy_snapshot
from winglift.policy.plan import make_plan
from winglift.policy.split import split_deadline
from winglift.wire import flows as flow_messages
from winglift.wire.cloud import MachineType
from winglift.wire.users import Kind, Priority, Submission

from .__main__ import TEMPLATE
from .flow_leader import InMemoryUploadStore, InProcessStateClient, StandInLeader
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


def build_plan(shape: str, count: int) -> tuple[flow_messages.Plan, dict[str, Any]]:
    """A plan with `count` steps or scatter elements, and its order."""
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


class EventLoopMonitor:
    """Measures the longest processor time, in s, for which the event loop was blocked."""

    def __init__(self) -> None:
        self.longest_block_s = 0.0
        self._last = time.process_time()
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        while True:
            now = time.process_time()
            # After `pause`, `now - self._last` is -inf.
            self.longest_block_s, self._last = max(self.longest_block_s, now - self._last), now
            await asyncio.sleep(0)

    def pause(self) -> None:
        """Leave out what follows, up to the next run of the event loop: work of the measurement itself."""
        now = time.process_time()
        self.longest_block_s = max(self.longest_block_s, now - self._last)
        self._last = math.inf

    def stop(self) -> float:
        self._task.cancel()
        return self.longest_block_s


async def _measure_cost(shape: str, count: int) -> dict[str, Any]:
    plan, order = build_plan(shape, count)
    service, uploads = StateService(), InMemoryUploadStore()
    client = InProcessStateClient(service)
    service.apply([{"write": "leader", "v": {}}])
    sub = flow_messages.FlowSubmission(
        ref="fl-1",
        team="team",
        due_s=1e6,
        plan=await uploads.put(flow_messages.encode(plan)),
        order=await uploads.put(msgspec.json.encode(order)),
    )
    service.apply([{"write": "flow/fl-1", "v": msgspec.to_builtins(records.FlowRecord(sub, time.time()))}])
    leader = StandInLeader(client, uploads, SETTINGS, TYPES)
    leader.open_jobs_max = 100
    item = await client.get("flow/fl-1")
    assert item is not None
    run = FlowRun(leader, records.decode_flow_record(item.value), item.version)
    cpu_s, revisions, client.requests = 0.0, 0, 0
    monitor = EventLoopMonitor()
    start = time.process_time()
    await run.load()
    while True:
        before = service.revision
        await run.run_cycle()
        revisions += service.revision - before
        if run.flow_record.state is flow_messages.FlowState.DONE:
            break
        cpu_s -= time.process_time()
        monitor.pause()
        for key, (value, _, _) in list(service.keys.items()) if shape != "chain" else [last_job(service)]:
            if key.startswith("job/") and value.get("o", "o") == "o":
                service.apply([{"write": key, "v": value | {"o": "d"}}])
        cpu_s += time.process_time()
    cpu_s = time.process_time() - start - cpu_s
    longest_block_s = monitor.stop()
    largest_value = max(len(msgspec.json.encode(v)) for v, _, _ in service.keys.values())
    # The takeover by a new leader: it rebuilds the state from the records.
    start = time.process_time()
    rebuilt = FlowRun(leader, records.decode_flow_record(item.value), item.version)
    await rebuilt.load()
    return {
        "shape": shape,
        "steps": count,
        "cpu_ms_per_step": 1000 * cpu_s / count,
        "changes_per_step": revisions / count,
        "requests_per_step": client.requests / count,
        "largest_value_bytes": largest_value,
        "longest_block_ms": 1000 * longest_block_s,
        "takeover_s": time.process_time() - start,
    }


def last_job(service: StateService) -> tuple[str, Any]:
    return next((k, v) for k, v in reversed(service.keys.items()) if k.startswith("job/"))


def measure_cost(shape: str, count: int) -> dict[str, Any]:
    return asyncio.run(_measure_cost(shape, count))


# -- deadlines -------------------------------------------------------------------------------------


def generate_graph(shape: str, rng: random.Random) -> dict[str, Node]:
    """A random graph with the shape of a scientific workflow, and run times of 5 to 120 s."""
    nodes: dict[str, Node] = {}

    def add(name: str, *parents: str) -> str:
        nodes[name] = Node(
            name,
            "tool",
            flow_messages.Hints(run_s=min(120.0, max(5.0, rng.lognormvariate(3.2, 0.8)))),
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
    elif shape == "lanes":  # parallel pipelines that join, like Epigenomics
        first = add("first")
        ends = []
        for lane in range(5):
            last = first
            for number in range(4):
                last = add(f"l{lane}.{number}", last)
            ends.append(last)
        add("report", add("join", *ends))
    else:  # two fans joined by one step, like Montage
        left = [add(f"a{i}") for i in range(6)]
        pairs = [add(f"b{i}", left[i], left[i + 1]) for i in range(5)]
        waist = add("waist", *pairs)
        right = [add(f"c{i}", waist) for i in range(6)]
        add("end", add("shrink", add("add", *right)))
    return nodes


def levels(nodes: dict[str, Node]) -> dict[str, int]:
    """Number of steps before each step on its longest path."""
    levels_by_path: dict[str, int] = {}
    for path, node in nodes.items():
        levels_by_path[path] = max((levels_by_path[p] + 1 for p in node.parents), default=0)
    return levels_by_path


class SimulatedFlow:
    def __init__(self, name: str, nodes: dict[str, Node], start: float, due: float, rng: random.Random) -> None:
        self.name, self.nodes, self.start, self.due = name, nodes, start, due
        self.levels = levels(nodes)
        # Estimates are often wrong by a third.
        self.real_run_s = {p: n.run_s * rng.uniform(0.7, 1.35) for p, n in nodes.items()}
        self.end_times: dict[str, float] = {}
        self.started: set[str] = set()

    def sub_deadline(self, path: str, division: str) -> float:
        if division == "none":
            return self.due
        if division == "equal":
            depth = max(self.levels.values()) + 1
            return self.start + (self.due - self.start) * (self.levels[path] + 1) / depth
        sub_deadlines = divide(self.nodes, self.start, self.due, self.end_times, {})
        return sub_deadlines[path] if division == "run time" else self._latest_sub_deadlines(sub_deadlines)[path]

    def _latest_sub_deadlines(self, sub_deadlines: dict[str, float]) -> dict[str, float]:
        """A division that is measured only, not used by winglift: latest sub-deadlines.

        A step off the critical path may end as late as its successors' sub-deadlines allow.
        """
        open_steps = [p for p in self.nodes if p not in self.end_times]
        start = max([self.start, *self.end_times.values()])
        makespan = max(
            split_deadline(
                [{p: n.run_s for p, n in self.nodes.items()}],
                {p: sorted(n.parents) for p, n in self.nodes.items()},
                self.start,
                0.0,
                self.end_times,
            ).values()
        )
        stretch = max(1.0, (self.due - start) / max(1e-6, makespan - start))
        latest = dict.fromkeys(open_steps, max(self.due, max(sub_deadlines.values())))
        for child in reversed(open_steps):  # parents come before their children
            for parent in self.nodes[child].parents:
                if parent in latest:
                    latest[parent] = min(latest[parent], latest[child] - self.nodes[child].run_s * stretch)
        return latest


class SimulatedMachine:
    def __init__(self, name: str, machine_type: MachineType, now: float) -> None:
        self.name, self.machine_type, self.rented_at, self.ready_at = name, machine_type, now, now + machine_type.boot_s
        self.tasks: list[tuple[float, SimulatedFlow, str]] = []  # end time, workflow, step
        self.images: set[str] = set()
        self.idle_since = self.ready_at


def simulate_deadlines(shape: str, factor: float, division: str, seed: int) -> dict[str, Any]:
    """Simulate twelve workflows of one shape, submitted within ten minutes, with scheduling cycles of one second."""
    rng = random.Random(f"{shape} {factor} {seed}")
    flows = []
    for number in range(12):
        nodes = generate_graph(shape, rng)
        start = rng.uniform(0, 600)
        span = sum(nodes[p].run_s for p in critical(nodes))
        flows.append(SimulatedFlow(f"f{number}", nodes, start, start + SMALL.boot_s + span * factor, rng))
    machines: dict[str, SimulatedMachine] = {}
    price = minimum_price = 0.0
    number, now = 0, 0.0
    while any(len(f.end_times) < len(f.nodes) for f in flows) and now < 20000:
        now += 1.0
        for machine in machines.values():
            for task in [t for t in machine.tasks if t[0] <= now]:
                machine.tasks.remove(task)
                task[1].end_times[task[2]] = task[0]
                machine.idle_since = now
        demands, steps_by_ref = [], {}
        for flow in flows:
            if flow.start > now:
                continue
            for path, node in flow.nodes.items():
                if path in flow.started or not node.parents <= flow.end_times.keys():
                    continue
                ref = f"wk-{len(steps_by_ref)}"
                steps_by_ref[ref] = flow, path
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
                    due_s=flow.due - flow.start,
                )
                demands.append(
                    policy_snapshot.Demand(ref, spec, [0], flow.sub_deadline(path, division), node.run_s, {})
                )
        capacities = []
        for machine in machines.values():
            free = machine.machine_type.cpus - 2.0 * len(machine.tasks)
            capacities.append(
                policy_snapshot.FreeCapacity(
                    machine.name,
                    machine.machine_type,
                    "a",
                    False,
                    free,
                    0.0,
                    machine.machine_type.memory_gb - 4.0 * len(machine.tasks),
                    ready_in=max(0.0, machine.ready_at - now),
                    images=set(machine.images),
                    cached_images=set(machine.images),
                    empty=not machine.tasks,
                )
            )
        if demands:
            quota = QuotaUsage({t.name: t for t in SETTINGS.settings.teams})
            plan = make_plan(policy_snapshot.Snapshot(now, capacities, demands, quota, TYPES, set()))
            for ref, placements in plan.starts:
                flow, path = steps_by_ref[ref]
                machine = machines[placements[0][1]]
                image = next(d.spec for d in demands if d.ref == ref).image
                fetch = 0.0 if image in machine.images else 2.0 / machine.machine_type.fetch_gb_per_s
                machine.images.add(image)
                machine.tasks.append((max(now, machine.ready_at) + fetch + flow.real_run_s[path], flow, path))
                flow.started.add(path)
            for rental in plan.rentals:
                for _ in range(rental.count):
                    number += 1
                    machines[f"m{number}"] = SimulatedMachine(f"m{number}", TYPES[rental.type], now)
        for machine in list(machines.values()):
            if not machine.tasks and now > max(machine.idle_since, machine.ready_at) + 30.0:
                price += (now - machine.rented_at) * machine.machine_type.price
                del machines[machine.name]
    price += sum((now - m.rented_at) * m.machine_type.price for m in machines.values())
    minimum_price = sum(sum(f.real_run_s.values()) for f in flows) * 2.0 / SMALL.cpus * SMALL.price
    met = sum(max(f.end_times.values()) <= f.due for f in flows)
    return {
        "shape": shape,
        "factor": factor,
        "division": division,
        "seed": seed,
        "met": met / len(flows),
        "price": price / minimum_price,
        "mean_lateness_s": sum(max(0.0, max(f.end_times.values()) - f.due) for f in flows) / 12,
    }


# -- command line ----------------------------------------------------------------------------------

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
            selected = [r for r in rows if r["shape"] == shape]
            axis.loglog([r["steps"] for r in selected], [r[field] for r in selected], marker="o", label=shape)
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
        for row, (field, title) in enumerate((("met", "deadlines met"), ("price", "price"))):
            axis = axes[row][column]
            for division in DIVISIONS:
                points = []
                for factor in FACTORS:
                    values = [
                        r[field] for r in rows if (r["shape"], r["factor"], r["division"]) == (shape, factor, division)
                    ]
                    mean = sum(values) / len(values)
                    error = math.sqrt(sum((v - mean) ** 2 for v in values) / max(1, len(values) - 1) / len(values))
                    points.append((factor, mean, error))
                axis.errorbar(
                    [p[0] for p in points],
                    [p[1] for p in points],
                    [p[2] for p in points],
                    marker="o",
                    capsize=2,
                    label=division,
                )
            axis.grid(True, alpha=0.3)
            if column == 0:
                axis.set_ylabel(title)
            if row == 0:
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
        rows = [measure_cost(shape, count) for shape in ("chain", "fan", "scatter") for count in (10, 100, 1000, 10000)]
        plot_cost(rows, out / "flow-cost.svg")
        write(rows, out / "flow-cost.csv")
        return
    with ProcessPoolExecutor() as pool:
        jobs = [
            pool.submit(simulate_deadlines, shape, factor, division, seed)
            for shape in SHAPES
            for factor in FACTORS
            for division in DIVISIONS
            for seed in range(20)
        ]
        rows = [job.result() for job in jobs]
    plot_deadlines(rows, out / "flow-deadlines.svg")
    write(rows, out / "flow-deadlines.csv")


if __name__ == "__main__":
    main()
