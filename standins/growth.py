"""Measures a leader's cost of a cycle and of a report by the number of machines: python -m standins.growth

The cost is the number of function calls, which is the same in every run, and the processor time, which is not. The same
few changes precede each cycle, whatever the number of machines. The printed exponent is fitted to the calls: they grow
as machines ** exponent.
"""

from __future__ import annotations

import argparse
import math
import pathlib
import random
import statistics
import sys
import time
from collections.abc import Callable
from types import SimpleNamespace

import msgspec

from winglift.cloud.inventory import Inventory
from winglift.config import settings as settings_module
from winglift.config.script import Script
from winglift.controller.snapshot_builder import SnapshotBuilder
from winglift.model import records
from winglift.model.cluster_state import ClusterState
from winglift.model.entities import Task
from winglift.model.machine_state import MachineState
from winglift.model.record_application import apply_record
from winglift.model.report_reconciliation import due_commands, reconcile_report
from winglift.model.task_state import TaskEvent, TaskState
from winglift.policy.plan import make_plan
from winglift.wire import workers as worker_messages
from winglift.wire.cloud import MachineType
from winglift.wire.users import Kind, Priority, Submission

from .__main__ import TEMPLATE

SIZES = (50, 150, 350, 650, 1000)
WAITING_JOBS = 3  # number of gangs, and of arrays, for which there is no free capacity
CHANGES_PER_CYCLE = 8  # tasks that end and are replaced between two cycles
TYPE = MachineType(
    name="g8",
    cpus=48.0,
    gpus=8.0,
    memory_gb=192.0,
    cache_gb=60.0,
    fetch_gb_per_s=0.4,
    price=17.0,
    spot_price=5.6,
    boot_s=40.0,
    zones=["a", "b"],
)
NOW = 1000.0


class Fleet:
    """A leader's cluster state with machines that run replicas, arrays and gangs, and with a few waiting jobs."""

    def __init__(self, machines: int, seed: int = 1) -> None:
        self.rng = random.Random(f"{seed}/{machines}")
        self.settings = settings_module.parse(
            TEMPLATE.format(port=1, back=2, state=3, cloud=4)
            .replace("gpus_max = 16.0", f"gpus_max = {16.0 * machines}")
            .replace("gpus = 8.0", f"gpus = {6.0 * machines}")
        )
        self.cluster = ClusterState(self.settings, {"g8": TYPE}, 1)
        self.snapshot_builder = self.new_snapshot_builder()
        self.now, self.jobs, self.seq = NOW, 0, 1
        self.names = [f"vm-{n:06d}" for n in range(machines)]
        for n, name in enumerate(self.names):
            machine = self.cluster.register_machine(name, "g8", "ab"[n % 2], n % 3 == 0, NOW, 300.0)
            machine.state, machine.last_heard, machine.addr = MachineState.UP, NOW, "10.0.0.1:1"
            machine.session, machine.seq = 1, 1
            for image in range(6):
                machine.track_image(f"img-{(n + image) % 40}", 6.0)
        unassigned = iter(self.names)
        for name in unassigned:
            kind = self.rng.random()
            if kind < 0.2:
                self.run(self.job(Kind.GANG, 1, 8.0, 43.0), [name])
            else:
                self.run(self.job(Kind.SERVICE, 3, 1.0, 4.0), [name] * 3)
                self.run(self.job(Kind.ARRAY, 5, 1.0, 5.0), [name] * 5)
        for _ in range(WAITING_JOBS):
            self.job(Kind.GANG, 4, 8.0, 43.0)
            self.job(Kind.ARRAY, 25, 1.0, 5.0)
        self.cluster.changed = True

    def new_snapshot_builder(self) -> SnapshotBuilder:
        """A snapshot builder without a cache: it computes the next snapshot from scratch."""
        intent_log = SimpleNamespace(rentals={}, deletions={})
        inventory = Inventory(SimpleNamespace(), self.cluster, 3.0, intent_log)  # type: ignore[arg-type]
        return SnapshotBuilder(self.settings, self.cluster, inventory, Script(), lambda: True)

    def job(self, kind: Kind, tasks: int, gpus: float, cpus: float) -> str:
        """Submit a job and return its name."""
        self.jobs += 1
        ref = f"wk-{self.jobs:06d}"
        priority = Priority.PRODUCTION if kind is Kind.SERVICE else self.rng.choice((Priority.HIGH, Priority.NORMAL))
        spec = Submission(
            ref=ref,
            job_class=kind.value,
            team="team",
            kind=kind,
            priority=priority,
            tasks=tasks,
            cpus=cpus,
            gpus=gpus,
            memory_gb=16.0 * gpus,
            image=f"img-{self.rng.randrange(40)}",
            image_gb=6.0,
            one_zone=kind is Kind.GANG,
            spread=False,
            spot=kind is not Kind.SERVICE,
            estimate_s=0.0 if kind is Kind.SERVICE else 120.0,
            checkpoint_s=20.0,
            save_s=2.0,
            due_s=400.0 if kind is Kind.ARRAY else None,
        )
        apply_record(self.cluster, ref, self.jobs, records.new_record(spec, NOW - 100.0), self.now)
        return ref

    def run(self, ref: str, names: list[str]) -> None:
        """Run the tasks of a job on the named machines, one on each."""
        job = self.cluster.jobs[ref]
        for index, name in enumerate(names):
            self.cluster.assign(
                Task(
                    job, index, 1, self.cluster.machines[name], TaskState.RUNNING, NOW - 50.0, running_since=NOW - 50.0
                )
            )

    def change(self, count: int = CHANGES_PER_CYCLE) -> None:
        """End some tasks, and start other attempts in their places; gang tasks are not replaced."""
        self.now += 0.3
        tasks = [
            t
            for name in self.rng.sample(self.names, min(count, len(self.names)))
            for t in list(self.cluster.machines[name].tasks.values())[-1:]
        ]
        for task in tasks:
            job, machine = task.job, task.machine
            task.move(TaskEvent.MACHINE_GONE, self.now)
            self.cluster.release(task, self.now)
            if job.kind is not Kind.GANG:
                self.cluster.assign(Task(job, task.index, task.attempt + 1, machine, TaskState.RUNNING, self.now))
        for machine in self.cluster.machines.values():
            machine.last_heard = self.now

    def report_body(self, name: str) -> bytes:
        """The machine's next report, without changes."""
        machine = self.cluster.machines[name]
        tasks = [
            worker_messages.TaskReport(t.name, t.attempt, worker_messages.Phase.RUNNING) for t in machine.tasks.values()
        ]
        return msgspec.json.encode(
            worker_messages.Report(
                machine=name,
                addr=machine.addr,
                type="g8",
                zone=machine.zone,
                spot=machine.spot,
                session=1,
                seq=machine.seq + 1,
                token=1,
                tasks=tasks,
            )
        )

    def report(self, report_body: bytes) -> None:
        report = worker_messages.parse_report(report_body)
        reconcile_report(self.cluster, report, self.now)
        due_commands(self.cluster.machines[report.machine], report, self.now)


def cost(operation: Callable[[], object]) -> tuple[int, float]:
    """The function calls and the processor seconds of `operation`. It runs twice; the second run counts the calls."""
    began = time.process_time()
    operation()
    took_s = time.process_time() - began
    calls = 0

    def count(frame: object, event: str, arg: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        operation()
    finally:
        sys.setprofile(None)
    return calls, took_s


def measure(machines: int, cycles: int = 5) -> dict[str, tuple[float, float]]:
    """The median calls and milliseconds of a cycle and of a report."""
    fleet = Fleet(machines)
    make_plan(fleet.snapshot_builder.build(fleet.now))
    measured: dict[str, list[tuple[int, float]]] = {"cycle": [], "report": []}
    for _ in range(cycles):
        fleet.change()
        measured["cycle"].append(cost(lambda: make_plan(fleet.snapshot_builder.build(fleet.now))))
        name = fleet.rng.choice(fleet.names)
        measured["report"].append(cost(lambda name=name: fleet.report(fleet.report_body(name))))
    return {
        operation: (
            statistics.median(calls for calls, _ in samples),
            1000 * statistics.median(took_s for _, took_s in samples),
        )
        for operation, samples in measured.items()
    }


def exponent(points: list[tuple[int, float]]) -> float:
    """The exponent of the power law fitted to pairs of machines and cost."""
    return statistics.linear_regression(
        [math.log(machines) for machines, _ in points], [math.log(cost) for _, cost in points]
    ).slope


def main() -> None:
    parser = argparse.ArgumentParser(prog="growth", description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES, help="numbers of machines to measure")
    parser.add_argument("--cycles", type=int, default=5, help="cycles per size; the median is printed")
    parser.add_argument("--json", type=pathlib.Path, help="also write the figures to this file")
    args = parser.parse_args()
    if min(args.sizes) < 10 or args.cycles < 1:
        parser.error("--sizes must be at least 10 and --cycles at least 1")
    figures = {n: measure(n, args.cycles) for n in args.sizes}
    for name in ("cycle", "report"):
        for n, costs in figures.items():
            print(f"{name:7} {n:5} machines {costs[name][0]:10.0f} calls {costs[name][1]:9.2f} ms")
        if len(figures) > 1:
            print(f"{name:7} calls grow as machines ** {exponent([(n, f[name][0]) for n, f in figures.items()]):.2f}")
    if args.json:
        args.json.write_bytes(msgspec.json.encode({str(n): costs for n, costs in figures.items()}))


if __name__ == "__main__":
    main()
