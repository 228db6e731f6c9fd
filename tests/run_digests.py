"""Digests of all that the nodes send in some simulated runs, each run in a child process, and the data file of them.

The bytes of a run depend on its seed and on what the nodes decide, and not on the machine, so a change of the code that
is meant to keep the behaviour keeps the digests. Rewrite the data file only after a change that is meant to alter what
nodes send or when (a decision, a field on the wire, a stored key, a delay), or a change of the simulation, and say in
the commit which of the runs changed and why:

    PYTHONPATH=.:tests python -m run_digests write

`python -m run_digests play NAME` performs one run in this process and prints its digest.
"""

from __future__ import annotations

import hashlib
import json
import os
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from pathlib import Path

import troubles as faults
from meeting import GANG_JOB, Fault, FaultRun

from standins.network import SentMessage
from winglift.net.runtime import monotonic_time

ROOT = Path(__file__).parent.parent
DATA_FILE = Path(__file__).parent / "golden" / "run_digests.json"
CHECKPOINT_S = 10.0  # simulated seconds between two checkpoints
CHECKPOINT_DIGITS = 16  # stored hex digits of a checkpoint; the digest of the whole run is stored in full
HASH_SEED = "0"
CHILD_TIMEOUT_S = 120.0
FAULT_SPACING_S = 9.0  # simulated seconds between the beginnings of a run's faults
NODE_PREFIX = "node-"


@dataclass(frozen=True)
class RunDigest:
    """The stored result of a run."""

    digest: str  # SHA-256 of everything sent
    messages: int
    checkpoints: list[str]  # digests of everything sent up to each multiple of CHECKPOINT_S


@dataclass
class Recorder:
    """Digests the messages of nodes in the order of sending: time, sender, receiver, head and body of each."""

    messages: int = 0
    checkpoints: list[str] = field(default_factory=list)
    _hash: hashlib._Hash = field(default_factory=hashlib.sha256)

    def record(self, sent: SentMessage) -> None:
        """Add one message; messages of hosts that are not nodes are left out."""
        self.advance(sent.at)
        if not sent.source.startswith(NODE_PREFIX):
            return
        self.messages += 1
        head = f"{sent.at:.6f} {sent.source} {sent.target} {len(sent.head)} {len(sent.body)}\n{sent.head}\n"
        self._hash.update(head.encode())
        self._hash.update(sent.body)

    def advance(self, now: float) -> None:
        """Close the checkpoints up to this simulated time."""
        while (len(self.checkpoints) + 1) * CHECKPOINT_S <= now:
            self.checkpoints.append(self._hash.hexdigest()[:CHECKPOINT_DIGITS])

    def result(self) -> RunDigest:
        """The digest of everything sent so far."""
        return RunDigest(self._hash.hexdigest(), self.messages, self.checkpoints)


# -- faults that only these runs have ----------------------------------------------------------


def spot_notices(run: FaultRun, delay_s: float) -> None:
    """Half of the running spot machines get a reclaim notice, and are reclaimed when it ends."""
    notice_s = 25.0

    def send_notices() -> None:
        spot_workers = [worker for worker in run.simulation.cloud.workers() if worker.entry["loaner"]]
        for worker in spot_workers[::2]:
            host = run.simulation._hosts[worker.entry["ref"]]
            worker.reclaim_at = host.context.run(monotonic_time) + notice_s
            run.simulation.later(notice_s, reclaim, worker.entry["ref"])

    def reclaim(name: str) -> None:
        if name in run.simulation._hosts:
            entry, worker, _ = run.simulation.cloud.machines[name]
            assert worker is not None
            worker.kill()
            run.simulation._hosts[name].crash()
            entry["status"] = "failed"

    run.simulation.later(delay_s, send_notices)
    run.faults_end_at = max(run.faults_end_at, run.simulation.loop.now + delay_s + notice_s + 30.0)


def urgent_over_idle(run: FaultRun, delay_s: float) -> None:
    """Idle jobs use both quotas; then urgent gangs and production jobs come that preempt them."""
    for number in range(8):
        owner = run.teams[number % len(run.teams)]
        run.submit(delay_s - 10.0, f"wk-{5000 + number}", owner=owner, urgency="idle", pieces=6)
    for number in range(4):
        owner = run.teams[number % len(run.teams)]
        run.submit(delay_s + 12.0 + number, f"wk-{5100 + number}", **{**GANG_JOB, "owner": owner, "pieces": 4})
        run.submit(delay_s + 15.0, f"wk-{5200 + number}", owner=owner, urgency="production", pieces=2)


# -- the runs ----------------------------------------------------------------------------------


@dataclass(frozen=True)
class RunSpec:
    """A run of three nodes; the fields are parameters of `FaultRun`."""

    name: str
    seed: int
    faults: tuple[Fault, ...] = ()
    multi_team: bool = True
    job_count: int = 14
    run_s: float | None = 40.0

    def perform(self) -> tuple[RunDigest, FaultRun]:
        """Perform the run in this process."""
        recorder = Recorder()
        run = FaultRun(
            (self._combined_faults(),), self.seed, self.multi_team, self.job_count, self.run_s, recorder.record
        )
        recorder.advance(run.simulation.loop.now)
        return recorder.result(), run

    def _combined_faults(self) -> Fault:
        """All faults as one with the name of the run: names of faults are part of the seed of a `FaultRun`."""

        def begin(run: FaultRun, delay_s: float) -> None:
            for number, fault in enumerate(self.faults):
                fault(run, delay_s + FAULT_SPACING_S * number)

        begin.__name__ = self.name
        return begin


RUNS = {
    run.name: run
    for run in (
        RunSpec("quiet", 1),
        RunSpec("leader_cut_off", 2, (faults.apart, faults.late_reports)),
        RunSpec("leader_crash_in_burst", 3, (faults.quick, faults.crash, faults.cancel_changes)),
        RunSpec("state_service_outage", 4, (faults.outage, faults.lost_answers)),
        RunSpec("machines_die", 5, (faults.die, faults.hang, faults.mute), run_s=None),
        RunSpec("cancellations", 6, (faults.small_jobs, faults.hang_cancelled, faults.held_commands), job_count=20),
        RunSpec("teams_at_limit", 7, (faults.full, urgent_over_idle), run_s=60.0),
        RunSpec("spot_notices", 8, (spot_notices, faults.cloud_down)),
        RunSpec("roll_of_all_nodes", 9, (faults.roll, faults.close_looks), multi_team=False, run_s=12.0),
    )
}


# -- child processes and the data file ---------------------------------------------------------


def run_in_child(name: str, hash_seed: str = HASH_SEED) -> RunDigest:
    """Perform a run in a process of its own, so that the state of this process does not affect it."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'tests'}"}
    child = subprocess.run(
        [sys.executable, "-m", "run_digests", "play", name],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=CHILD_TIMEOUT_S,
    )
    if child.returncode:
        raise RuntimeError(f"run {name} ended with {child.returncode}:\n{child.stderr[-4000:]}")
    return RunDigest(**json.loads(child.stdout.splitlines()[-1]))


def load_expected() -> dict[str, RunDigest]:
    """The stored digests by the names of the runs."""
    return {name: RunDigest(**stored) for name, stored in json.loads(DATA_FILE.read_text()).items()}


def difference(name: str, stored: RunDigest, actual: RunDigest) -> str:
    """Where a run departs from its stored digest, as text; empty if it does not."""
    if stored == actual:
        return ""
    pairs = enumerate(zip(stored.checkpoints, actual.checkpoints, strict=False))
    first = next((number for number, (old, new) in pairs if old != new), None)
    if first is None:
        first = min(len(stored.checkpoints), len(actual.checkpoints))
    count = max(len(stored.checkpoints), len(actual.checkpoints), 1)
    return (
        f"run {name} departs between {first * CHECKPOINT_S:.0f} and {(first + 1) * CHECKPOINT_S:.0f} simulated seconds "
        f"({100 * first // count}% of the run): {stored.messages} messages of the nodes before, {actual.messages} now"
    )


def write_data_file() -> None:
    """Perform all runs, and store their digests."""
    with ThreadPoolExecutor(4) as pool:
        digests = dict(zip(RUNS, pool.map(run_in_child, RUNS), strict=True))
    DATA_FILE.write_text(json.dumps({name: asdict(digest) for name, digest in digests.items()}, indent=1) + "\n")


def main(arguments: list[str]) -> None:
    """Run the command that the first argument names."""
    commands: dict[str, Callable[..., None]] = {"write": write_data_file, "play": _print_digest}
    commands[arguments[0]](*arguments[1:])


def _print_digest(name: str) -> None:
    print(json.dumps(asdict(RUNS[name].perform()[0])))


if __name__ == "__main__":
    main(sys.argv[1:])
