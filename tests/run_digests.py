"""Digests of all that the nodes send in some simulated runs: played in a child process, kept in a data file.

The bytes of a run depend on its seed and on what the nodes decide, and on nothing of the machine, so a change of the
code that is meant to keep the behaviour keeps the digests. Write the data file anew only after a change that is meant
to alter what nodes send or when (a decision, a field of the wire, a stored key, a delay), or after one of the simulated
world, and say in the commit which of the runs changed and why:

    PYTHONPATH=.:tests python -m run_digests write

`python -m run_digests play NAME` plays one run in this process and prints its digest.
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

import troubles
from meeting import GANG, Meeting, Trouble

from standins.network import SentMessage
from winglift.net.runtime import monotonic_time

ROOT = Path(__file__).parent.parent
DATA_FILE = Path(__file__).parent / "golden" / "run_digests.json"
CHECKPOINT_S = 10.0  # simulated seconds between two checkpoints
CHECKPOINT_DIGITS = 16  # of a checkpoint's digest; the digest of the whole run is kept in full
HASH_SEED = "0"
PLAY_TIMEOUT_S = 120.0
TROUBLE_SPACING_S = 9.0  # simulated seconds between the beginnings of a run's troubles
NODE_PREFIX = "node-"


@dataclass(frozen=True)
class RunDigest:
    """What is kept of a run."""

    digest: str  # SHA-256 of everything sent
    messages: int
    checkpoints: list[str]  # digests of everything sent up to each multiple of CHECKPOINT_S


@dataclass
class Recorder:
    """Digests what nodes send: time, sender, receiver, head and body of each message, in the order of sending."""

    messages: int = 0
    checkpoints: list[str] = field(default_factory=list)
    _hash: hashlib._Hash = field(default_factory=hashlib.sha256)

    def record(self, sent: SentMessage) -> None:
        """Take one message; those of other hosts than nodes are left out."""
        self.advance(sent.at)
        if not sent.source.startswith(NODE_PREFIX):
            return
        self.messages += 1
        head = f"{sent.at:.6f} {sent.source} {sent.target} {len(sent.head)} {len(sent.body)}\n{sent.head}\n"
        self._hash.update(head.encode())
        self._hash.update(sent.body)

    def advance(self, now: float) -> None:
        """Close the checkpoints that end by then."""
        while (len(self.checkpoints) + 1) * CHECKPOINT_S <= now:
            self.checkpoints.append(self._hash.hexdigest()[:CHECKPOINT_DIGITS])

    def result(self) -> RunDigest:
        """The digest of everything so far."""
        return RunDigest(self._hash.hexdigest(), self.messages, self.checkpoints)


# -- troubles that only these runs have --------------------------------------------------------


def spot_notices(meeting: Meeting, at: float) -> None:
    """Half of the spot machines that run are announced to be taken back, and are taken back when it was said."""
    notice_s = 25.0

    def announce() -> None:
        spot = [worker for worker in meeting.simulation.cloud.workers() if worker.entry["loaner"]]
        for worker in spot[::2]:
            host = meeting.simulation._hosts[worker.entry["ref"]]
            worker.reclaim_at = host.context.run(monotonic_time) + notice_s
            meeting.simulation.later(notice_s, take_back, worker.entry["ref"])

    def take_back(name: str) -> None:
        if name in meeting.simulation._hosts:
            entry, worker, _ = meeting.simulation.cloud.machines[name]
            assert worker is not None
            worker.kill()
            meeting.simulation._hosts[name].crash()
            entry["status"] = "failed"

    meeting.simulation.later(at, announce)
    meeting.over = max(meeting.over, meeting.simulation.loop.now + at + notice_s + 30.0)


def urgent_over_idle(meeting: Meeting, at: float) -> None:
    """Both teams are filled with idle work; then urgent gangs and production jobs come that need its place."""
    for number in range(8):
        owner = meeting.teams[number % len(meeting.teams)]
        meeting.submit(at - 10.0, f"wk-{5000 + number}", owner=owner, urgency="idle", pieces=6)
    for number in range(4):
        owner = meeting.teams[number % len(meeting.teams)]
        meeting.submit(at + 12.0 + number, f"wk-{5100 + number}", **{**GANG, "owner": owner, "pieces": 4})
        meeting.submit(at + 15.0, f"wk-{5200 + number}", owner=owner, urgency="production", pieces=2)


# -- the runs ----------------------------------------------------------------------------------


@dataclass(frozen=True)
class Run:
    """A day of three nodes; `wide`: two teams, gangs, and images that are fetched."""

    name: str
    seed: int
    troubles: tuple[Trouble, ...] = ()
    wide: bool = True
    jobs: int = 14
    run_s: float | None = 40.0

    def play(self) -> tuple[RunDigest, Meeting]:
        """Play it in this process."""
        recorder = Recorder()
        meeting = Meeting((self._as_one(),), self.seed, self.wide, self.jobs, self.run_s, recorder.record)
        recorder.advance(meeting.simulation.loop.now)
        return recorder.result(), meeting

    def _as_one(self) -> Trouble:
        """The troubles as one that is called as the run: the names of troubles are part of a meeting's seed."""

        def begin(meeting: Meeting, at: float) -> None:
            for number, trouble in enumerate(self.troubles):
                trouble(meeting, at + TROUBLE_SPACING_S * number)

        begin.__name__ = self.name
        return begin


RUNS = {
    run.name: run
    for run in (
        Run("quiet", 1),
        Run("leader_cut_off", 2, (troubles.apart, troubles.late_reports)),
        Run("leader_crash_in_burst", 3, (troubles.quick, troubles.crash, troubles.cancel_changes)),
        Run("state_service_outage", 4, (troubles.outage, troubles.lost_answers)),
        Run("machines_die", 5, (troubles.die, troubles.hang, troubles.mute), run_s=None),
        Run("cancellations", 6, (troubles.small_jobs, troubles.hang_cancelled, troubles.held_commands), jobs=20),
        Run("teams_at_limit", 7, (troubles.full, urgent_over_idle), run_s=60.0),
        Run("spot_notices", 8, (spot_notices, troubles.cloud_down)),
        Run("roll_of_all_nodes", 9, (troubles.roll, troubles.close_looks), wide=False, run_s=12.0),
    )
}


# -- in a child process, and the data file -----------------------------------------------------


def play_in_child(name: str, hash_seed: str = HASH_SEED) -> RunDigest:
    """Play a run in a process of its own, so that nothing of this one matters."""
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": f"{ROOT}{os.pathsep}{ROOT / 'tests'}"}
    child = subprocess.run(
        [sys.executable, "-m", "run_digests", "play", name],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT_S,
    )
    if child.returncode:
        raise RuntimeError(f"run {name} ended with {child.returncode}:\n{child.stderr[-4000:]}")
    return RunDigest(**json.loads(child.stdout.splitlines()[-1]))


def expected() -> dict[str, RunDigest]:
    """What the data file holds, by the names of the runs."""
    return {name: RunDigest(**kept) for name, kept in json.loads(DATA_FILE.read_text()).items()}


def difference(name: str, kept: RunDigest, found: RunDigest) -> str:
    """Where a run departs from what is kept of it; empty if it doesn't."""
    if kept == found:
        return ""
    pairs = enumerate(zip(kept.checkpoints, found.checkpoints, strict=False))
    first = next((number for number, (old, new) in pairs if old != new), None)
    if first is None:
        first = min(len(kept.checkpoints), len(found.checkpoints))
    count = max(len(kept.checkpoints), len(found.checkpoints), 1)
    return (
        f"run {name} departs between {first * CHECKPOINT_S:.0f} and {(first + 1) * CHECKPOINT_S:.0f} simulated seconds "
        f"({100 * first // count}% of the run): {kept.messages} messages of the nodes before, {found.messages} now"
    )


def write() -> None:
    """Play all runs, and keep their digests."""
    with ThreadPoolExecutor(4) as pool:
        found = dict(zip(RUNS, pool.map(play_in_child, RUNS), strict=True))
    DATA_FILE.write_text(json.dumps({name: asdict(kept) for name, kept in found.items()}, indent=1) + "\n")


def main(arguments: list[str]) -> None:
    """Entry of the command line."""
    commands: dict[str, Callable[..., None]] = {"write": write, "play": _print_digest}
    commands[arguments[0]](*arguments[1:])


def _print_digest(name: str) -> None:
    print(json.dumps(asdict(RUNS[name].play()[0])))


if __name__ == "__main__":
    main(sys.argv[1:])
