"""What the next plan is made from: the picture as a snapshot of rooms, needs and reserves."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from operator import attrgetter

from .. import constants as c
from ..cloud.inventory import Inventory
from ..config.script import Script
from ..config.settings import Settings
from ..model.entities import Job, Load, Machine
from ..model.failure_attribution import suspect
from ..model.job import JobState
from ..model.machine import MachineState
from ..model.picture import Picture, zone_counts
from ..model.task import TaskState
from ..net.outside import wall
from ..policy import snapshot as policy
from ..policy import worth
from ..policy.split import sub_deadline
from ..wire.cloud import MachineType
from ..wire.users import Kind, Submission
from .reserves import Arrival, start_aims, warm_reserves
from .stop_cost import frail, lost_s


@dataclass(frozen=True, slots=True)
class Look:
    """What was found on a machine, for a given state of its tasks."""

    load: Load
    at: float
    victims: list[policy.Victim]
    movers: list[policy.Mover]


@dataclass(frozen=True, slots=True)
class Kept:
    """Machines on which room is being made for a gang, since when."""

    machines: list[str]
    since: float


class View:
    """Builds the snapshot that the policy plans from; keeps what it may reuse from one cycle to the next."""

    def __init__(
        self, settings: Settings, picture: Picture, inventory: Inventory, script: Script, may_rent: Callable[[], bool]
    ) -> None:
        self.settings = settings
        self.picture = picture
        self.types = picture.types
        self.inventory = inventory
        self.script = script
        self.may_rent = may_rent
        aims = [o.within_s for o in settings.settings.objectives if o.kind == "guarantee" and o.within_s is not None]
        self._patience_s = min(aims, default=0.0) * c.PATIENCE_SHARE
        self._displace_after_s: dict[str, float] = {}
        for aim in settings.settings.objectives:
            if aim.kind == "wait" and aim.within_s is not None:
                after = aim.within_s * c.DISPLACE_AFTER_SHARE
                self._displace_after_s[aim.job_class] = min(after, self._displace_after_s.get(aim.job_class, math.inf))
        self.kept: dict[str, Kept] = {}
        self._looks: dict[str, Look] = {}
        # Rooms of machines that run, as made for an earlier snapshot. Most machines are as they were a cycle ago:
        # making all rooms anew took a quarter of a leader's work at 970 machines.
        self._rooms: dict[str, tuple[Load, policy.Room, Machine]] = {}
        self._unheard_s = 2.5 * settings.settings.workers.report_s
        self._attended: frozenset[str] | None = None
        self._within: set[str] = set()  # of the snapshot being made: jobs within their teams' guarantees,
        self._now = 0.0  # and its time
        self.near: dict[str, frozenset[str]] = {}  # job: machines of the steps before it in a workflow
        self.recent: deque[Arrival] = deque(maxlen=c.RECENT_ARRIVALS)
        self._aims = start_aims(settings.settings.objectives)

    def snapshot(
        self,
        now: float,
        may_move: bool = True,
        cut: frozenset[str] = frozenset(),
        attended: frozenset[str] | None = None,
    ) -> policy.Snapshot:
        """The state of rooms, waiting work and quotas at `now` (steady time, s); `cut`: zones out of reach."""
        picture, today = self.picture, wall()
        jobs = sorted((j for j in picture.jobs.values() if j.state is JobState.OPEN), key=attrgetter("submitted"))
        within = self._owed(jobs)
        if attended != self._attended:
            self._rooms.clear()
        self._within, self._now, self._attended = within, now, attended
        rooms = [r for m in picture.machines.values() if (r := self._room(m, now)) is not None]
        rooms += self._asked_rooms(now)
        if len(self._looks) + len(self._rooms) > 4 * len(picture.machines) + c.LOOKS_SPARE:
            self._looks = {name: look for name, look in self._looks.items() if name in picture.machines}
            self._rooms = {name: room for name, room in self._rooms.items() if name in picture.machines}
        kept = self._kept_rooms(now)
        if kept:
            for room in rooms:
                ref = kept.get(room.name)
                if ref is not None:
                    room.keep_for(ref, picture.jobs[ref].spec.priority.rank)
        needs: list[policy.Need] = []
        stuck: list[policy.Stuck] = []
        for job in jobs:
            if job.writing:
                continue
            # Most jobs run and wait for nothing: they are not looked at any closer.
            if len(job.active) + len(job.done) < job.spec.tasks:
                need = self._need(job, now, today, job.ref in within)
                if need is not None:
                    needs.append(need)
            else:
                job.short_since = math.inf
            if job.spec.kind is Kind.SERVICE and any(t.state is TaskState.FETCHING for t in job.active.values()):
                stuck += self._stuck(job, now)
        stopping_gpus: dict[str, float] = {}
        stopping_cpus: dict[str, float] = {}
        for machine in picture.machines.values():
            stopping = machine.load().stopping
            if stopping:
                for team, (cpus, gpus) in stopping.items():
                    stopping_gpus[team] = stopping_gpus.get(team, 0.0) + gpus
                    stopping_cpus[team] = stopping_cpus.get(team, 0.0) + cpus
        return policy.Snapshot(
            now=today,
            rooms=rooms,
            needs=needs,
            quota=picture.quota,
            types=self.types,
            refused=self.inventory.refused_now(now),
            reserves=warm_reserves(self._aims, self.recent, self.types, self.script, today),
            dark=picture.boots.allowed(
                self.types.values(), picture.machines.values(), self.inventory.asked_places(), now
            ),
            stopping_gpus=stopping_gpus,
            stopping_cpus=stopping_cpus,
            slack_pad=self.script.number("slack_pad"),
            stuck=stuck,
            may_move=may_move,
            cut=cut,
            attended=attended,
            may_rent=self.may_rent(),
        )

    def _owed(self, jobs: list[Job]) -> set[str]:
        """Of these, in the order of their submission: those that their teams' guarantees cover beside the earlier."""
        within: set[str] = set()
        sums: dict[str, tuple[float, float]] = {}
        covers = self.picture.quota.within_guarantee
        for job in jobs:
            spec, tasks = job.spec, job.unfinished()
            before = sums.get(spec.team, (0.0, 0.0))
            after = sums[spec.team] = before[0] + spec.cpus * tasks, before[1] + spec.gpus * tasks
            if covers(spec.team, *after):
                within.add(job.ref)
        return within

    def keep(self, kept: dict[str, list[str]], now: float) -> None:
        """Remember for which gangs room is being made, and where. From the first time on, not for ever."""
        for ref, names in kept.items():
            old = self.kept.get(ref)
            self.kept[ref] = Kept(names, old.since if old is not None else now)

    def _kept_rooms(self, now: float) -> dict[str, str]:
        """Machine: the gang it is kept for."""
        rooms: dict[str, str] = {}
        for ref, kept in list(self.kept.items()):
            job = self.picture.jobs.get(ref)
            if job is None or not job.is_open or job.active or now - kept.since > c.GANG_KEEP_S + c.GANG_KEEP_PAUSE_S:
                del self.kept[ref]
            elif now - kept.since <= c.GANG_KEEP_S:
                rooms.update(dict.fromkeys(kept.machines, ref))
        return rooms

    def _asked_rooms(self, now: float) -> list[policy.Room]:
        """Rentals without an answer yet count as booting."""
        rooms = []
        for name, asked in self.inventory.asked.items():
            request = asked.request
            mtype = self.types.get(request.type) if request is not None else None
            if mtype is not None and request is not None:
                rooms += [
                    policy.Room(
                        f"{name}/{i}",
                        mtype,
                        request.zone,
                        request.spot,
                        mtype.cpus,
                        mtype.gpus,
                        mtype.memory_gb,
                        ready_in=max(1.0, mtype.boot_s - (now - asked.at)),
                        alone=self._alone(request.zone),
                    )
                    for i in range(request.count)
                ]
        return rooms

    def _alone(self, zone: str) -> bool:
        return self._attended is not None and zone not in self._attended

    def _need(self, job: Job, now: float, wall: float, within: bool) -> policy.Need | None:
        spec = job.spec
        if job.not_before > now:
            return None
        if job.kind is Kind.GANG:
            if job.active or job.gang_broken:
                return None
            indices = [i for i in range(spec.tasks) if i not in job.done]
        else:
            indices = job.waiting_tasks(200)
        if not indices:
            job.short_since = math.inf
            return None
        job.short_since = min(job.short_since, now)
        mistaken = suspect(job, now)
        if mistaken and job.kind is not Kind.GANG:
            # One task shows as much as a hundred; what still runs of it shows it too.
            indices = indices[: max(0, 1 - len(job.active))]
            if not indices:
                return None
        run_s = self.picture.estimate_s(job) * c.ESTIMATE_PAD
        run_s = self.script.ask("estimate_s", run_s, spec.job_class, spec.estimate_s, run_s)
        due = sub_deadline(job.submitted, spec.due_s, run_s)
        may_rent = job.kind is not Kind.GANG or gang_may_rent(now - job.waits_since, self._boot_s(spec))
        # From the record, so that a change of the leader does not begin the wait anew.
        waited = now - job.waits_since if job.next_attempt > 1 else max(0.0, wall - job.submitted)
        patient = job.kind is Kind.ARRAY and now - job.short_since < self._patience_s
        # Where there is no other machine it is tried again where it failed: room must not be passed by for ever.
        avoid = frozenset(job.failed_on) if now - job.short_since < c.AVOID_S else frozenset()
        return policy.Need(
            job.ref,
            spec,
            indices,
            due,
            run_s,
            zone_counts(job),
            within,
            may_rent,
            avoid,
            patient,
            mistaken,
            keeps=job.ref in self.kept,
            near=self.near.get(job.ref, frozenset()),
            waited_s=waited,
            late=now - job.waits_since > self._displace_after_s.get(spec.job_class, math.inf),
        )

    def _stuck(self, job: Job, now: float) -> list[policy.Stuck]:
        """Replicas that have been fetching for some time and, as far as can be told, will for more."""
        found = []
        for task in job.active.values():
            machine = task.machine
            if task.state is not TaskState.FETCHING or task.stopping or machine.type is None:
                continue
            waited = now - task.since
            whole = job.spec.image_gb / max(machine.type.fetch_gb_per_s, 1e-3) * max(1, machine.load().fetches)
            left = whole - waited if waited < whole else waited * c.FETCH_LATE_SHARE
            if waited > c.FETCH_WORTH_S and left > c.RESCUE_WORTH_S:
                zones = zone_counts(job)
                zones[machine.zone] -= 1
                found.append(policy.Stuck(policy.Need(job.ref, job.spec, [task.index], now, 0.0, zones), task.index))
        return found

    def _boot_s(self, spec: Submission) -> float:
        """The longest boot of the types that a task fits."""
        return max((t.boot_s for t in self.types.values() if worth.fits(spec, t)), default=c.BOOT_DEFAULT_S)

    def _room(self, machine: Machine, now: float) -> policy.Room | None:
        mtype = machine.type
        if mtype is None or machine.strangers:
            return None
        if machine.state is MachineState.UP:
            return self._up_room(machine, mtype, now)
        inherited = machine.state is MachineState.INHERITED
        if inherited and now - machine.known_since > c.INHERITED_TRUST_S:
            # A running machine would have reported by now: the lagging list still names what is gone.
            return None
        if inherited and machine.tasks:
            # It reports soon, unless it is lost: till then what its tasks leave free counts like a machine that boots.
            load = machine.load()
            return policy.Room(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                mtype.cpus - load.cpus,
                mtype.gpus - load.gpus,
                mtype.memory_gb - load.memory_gb,
                images=load.images,
                ready_in=self.settings.settings.workers.report_s,
                alone=self._alone(machine.zone),
            )
        if machine.state is MachineState.BOOTING or inherited:
            if not self.picture.boots.promises(machine, self.types.values(), now):
                return None
            left = max(1.0, mtype.boot_s - (now - machine.rented_at))
            return policy.Room(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                mtype.cpus,
                mtype.gpus,
                mtype.memory_gb,
                ready_in=left,
                alone=self._alone(machine.zone),
            )
        return None

    def _up_room(self, machine: Machine, mtype: MachineType, now: float) -> policy.Room | None:
        """Made anew only where something has changed since it was made, or where a plan has taken of it."""
        if now - (machine.last_heard or 0) > self._unheard_s:
            return None
        load = machine.load()
        known = self._rooms.get(machine.name)
        if known is None or known[1].type is not mtype or known[2] is not machine:
            room = policy.Room(
                machine.name,
                mtype,
                machine.zone,
                machine.spot,
                0.0,
                0.0,
                0.0,
                source=lambda: self._look(machine),
                alone=self._alone(machine.zone),
            )
        else:
            room = known[1]
            room.forget()
            if known[0] is load and not room.touched:
                return room
        room.free(
            mtype.cpus - load.cpus,
            mtype.gpus - load.gpus,
            mtype.memory_gb - load.memory_gb,
            (load.soon_cpus, load.soon_gpus, load.soon_memory_gb),
        )
        room.images, room.held, room.fetches, room.empty = load.images, load.held, load.fetches, not machine.tasks
        room.replicas, room.fixed, room.yields = load.replicas, load.fixed, load.yields
        room.gives = load.gives
        self._rooms[machine.name] = load, room, machine
        return room

    def _look(self, machine: Machine) -> tuple[list[policy.Victim], list[policy.Mover]]:
        """As `_look_anew`, which is kept until the machine's tasks change: most stay as they are for some cycles."""
        load, within, now = machine.load(), self._within, self._now
        kept = self._looks.get(machine.name)
        if kept is None or kept.load is not load or now - kept.at > c.LOOK_KEPT_S:
            kept = self._looks[machine.name] = Look(load, now, *self._look_anew(machine, within, now))
        return kept.victims, kept.movers

    @staticmethod
    def _look_anew(machine: Machine, within: set[str], now: float) -> tuple[list[policy.Victim], list[policy.Mover]]:
        """What on a machine might be stopped for other work, and what could be started elsewhere."""
        victims: list[policy.Victim] = []
        movers: list[policy.Mover] = []
        for task in machine.tasks.values():
            spec = task.job.spec
            if task.yields:
                victims.append(
                    policy.Victim(
                        task.job.ref,
                        task.index,
                        spec.priority,
                        spec.team,
                        spec.cpus,
                        spec.gpus,
                        spec.memory_gb,
                        lost_s(task, now),
                        spec.tasks if spec.kind is Kind.GANG else 1,
                        task.job.ref in within,
                        frail(task, now),
                    )
                )
            elif task.replica:
                ran = now - (task.running_since if task.running_since is not None else now)
                movers.append(policy.Mover(task.job.ref, spec, zone_counts(task.job), ran, task.index))
        return victims, movers


def gang_may_rent(waited_s: float, boot_s: float) -> bool:
    """A gang that fits no zone would rent machines, see them returned idle and rent them again for ever."""
    return waited_s < c.GANG_PATIENCE * boot_s or waited_s % c.GANG_AGAIN_S < boot_s
