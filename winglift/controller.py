"""The leader's work: observe, decide, commit, act. One object per term."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections import deque

from . import constants as c
from .cloud.client import CloudClient
from .cloud.inventory import Inventory
from .cluster.link import Link
from .config.script import Script
from .config.settings import Settings
from .model import records
from .model.blame import suspect
from .model.entities import Job, Machine, Task
from .model.job import JobState
from .model.machine import MachineEvent, MachineState
from .model.picture import Picture, zone_counts
from .model.task import PRESENT, TaskState
from .policy import snapshot as policy
from .policy.plan import make_plan
from .policy.renting import merge_rentals
from .policy.reserve import reserve_size
from .policy.split import sub_deadline
from .store.batcher import Batcher
from .store.client import Refused, StateClient, TooOld, Unknown
from .store.election import Election
from .wire import workers as w
from .wire.cloud import MachineType
from .wire.users import Kind, Submission
from .workers.commands import Stopper

log = logging.getLogger(__name__)


class Controller:
    def __init__(self, settings: Settings, state: StateClient, cloud: CloudClient, election: Election,
                 types: dict[str, MachineType], link: Link, script: Script) -> None:
        self.settings = settings
        self.state = state
        self.election = election
        self.me = election.me
        self.term = election.me.term
        self.types = types
        self.link = link
        self.script = script
        self.picture = Picture(settings, types, self.term)
        self.batcher = Batcher(state, settings.settings.state, self.picture, self.me)
        self.inventory = Inventory(cloud, self.picture, settings.settings.cloud.list_lag_s)
        self.stopper = Stopper(self.picture, self.me)
        self.loaded = False
        self.began = time.monotonic()
        self._revision = 0
        self._tasks: list[asyncio.Task] = []
        self._wake = asyncio.Event()
        self._recent: deque[tuple[float, Submission]] = deque(maxlen=500)
        self._seen_refs: set[str] = set()
        self._last_plan = 0.0
        self._next_move = 0.0
        self._next_images = 0.0
        self._entitled_since: float | None = None
        self._next_pass = math.inf  # when the cycle's next pass is due at the latest
        self._cut_until: dict[str, float] = {}
        self.picture.known_images = dict(link.images)

    def start(self) -> None:
        self._tasks = [asyncio.ensure_future(self._guard(job)) for job in
                       (self._load_and_watch, self.inventory.run, self._cycle)]

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        self.inventory.stop()
        self.batcher.stop()
        self.stopper.stop()

    async def _guard(self, job) -> None:  # type: ignore[no-untyped-def]
        """A fault in one pass must not end the leader's work."""
        while True:
            try:
                await job()
                return
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("fault in %s", job.__name__)
                await asyncio.sleep(0.5)

    # -- observe -------------------------------------------------------------------------------

    async def _load_and_watch(self) -> None:
        """Load all records, then follow their changes. The picture is rebuilt before anything is placed."""
        while True:
            try:
                items, revision = await self.state.list(records.JOB)
                now = time.monotonic()
                for item in items:
                    self._take_record(item.key, item.version, item.value, now)
                self._revision = revision
                if not self.loaded:
                    log.info("term %d: %d records, %d jobs open, %d machines named", self.term, len(items),
                             sum(j.is_open for j in self.picture.jobs.values()), len(self.picture.machines))
                self.loaded = True
                self.picture.changed = True
                await self._watch()
            except TooOld:
                log.info("the watch fell behind; reading all records again")
            except (Refused, Unknown) as err:
                log.debug("records: %s", err)
                await asyncio.sleep(0.5)

    async def _watch(self) -> None:
        while True:
            try:
                changes = await self.state.changes(records.JOB, self._revision)
            except (Refused, Unknown) as err:
                log.debug("watch: %s", err)
                await asyncio.sleep(0.3)
                continue
            now = time.monotonic()
            for event in changes.events:
                if event.put is not None:
                    self._take_record(event.put, event.version, event.value, now)
            self._revision = max(self._revision, changes.revision)
            if changes.events:
                self._wake.set()
            await asyncio.sleep(c.WATCH_PAUSE_S)

    def _take_record(self, key: str, version: int, value, now: float) -> None:  # type: ignore[no-untyped-def]
        ref = key[len(records.JOB):]
        try:
            self.take_job(ref, version, records.decode(value), now)
        except records.BadRecord as err:
            log.error("record of %s is left alone: %s", ref, err)

    def take_job(self, ref: str, version: int, record: records.JobRecord, now: float) -> None:
        """A record that this node or another has committed."""
        job = self.picture.jobs.get(ref)
        if job is not None and job.writing:
            # Perhaps our own write, whose answer is still under way: it is compared once that is here.
            if version > job.version and (job.pending is None or version > job.pending[0]):
                job.pending = (version, records.encode(record))
            return
        if job is None and ref not in self._seen_refs and record.state == JobState.OPEN.value:
            self._seen_refs.add(ref)
            self._recent.append((record.submitted, record.spec))
        self.picture.apply_record(ref, version, record, now)
        self._wake.set()

    def on_report(self, report: w.Report) -> list[w.Command] | None:
        """Commands for a worker, or none while this node may not command: the answer renews its lease all the same."""
        now = time.monotonic()
        if not self.loaded:
            return []
        commands = self.picture.on_report(report, now)
        if commands is None:
            return None if report.machine in self.picture.deleted else []
        if self.picture.changed:
            self._wake.set()
        if not self.me.entitled(now):
            return []
        machine = self.picture.machines[report.machine]
        if report.token == self.term:
            commands += self.picture.orders(machine, report, now)
        return commands

    def starts_wait(self, name: str) -> bool:
        """Are there starts that the next report's answer should carry?"""
        machine = self.picture.machines.get(name)
        return machine is not None and any(t.state in (TaskState.COMMITTED, TaskState.PROPOSED)
                                           for t in machine.tasks.values())

    # -- decide --------------------------------------------------------------------------------

    async def _cycle(self) -> None:
        while True:
            try:
                async with asyncio.timeout(c.IDLE_CYCLE_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            pause = c.CYCLE_S
            self.election.check()
            if self.batcher.lost or self.picture.superseded:
                self.election.lose("another node holds the leader key")
                return
            began = time.monotonic()
            if self._may_decide(began) and self.loaded:
                self._step(began)
                took = time.monotonic() - began
                pause = max(pause, took * c.CYCLE_PAUSE)
                if took > 0.1:
                    log.debug("a cycle took %.0f ms", took * 1000)
            self._next_pass += time.monotonic() - began + pause
            await asyncio.sleep(pause)

    def _may_decide(self, now: float) -> bool:
        """Is this node entitled, and since when without a break? A pause of its own ends that too."""
        if not self.me.entitled(now) or now > self._next_pass + c.PAUSE_S:
            # Reports wait unread in the sockets when a node wakes: what it has not heard is not the workers' silence.
            self._entitled_since = None
        self._next_pass = now + c.IDLE_CYCLE_S
        if not self.me.entitled(now):
            return False
        if self._entitled_since is None:
            self._entitled_since = now
        return True

    def _step(self, now: float) -> None:
        picture = self.picture
        idle = now - self._last_plan >= c.IDLE_CYCLE_S
        if picture.changed or idle:
            picture.changed = False
            self._check_jobs(now)
            self._check_machines(now)
            # Reserves, returns and moves can wait a second; only waiting tasks are planned for at every change.
            if idle or any(job.has_waiting for job in picture.jobs.values()):
                self._last_plan = now
                self._apply(make_plan(self.snapshot(now)), now)
            self._drain(now)
        self.batcher.flush()
        if now >= self._next_images:
            self._next_images = now + c.IMAGES_EVERY_S
            self.link.tell_images({m.name: dict(m.images) for m in picture.machines.values() if m.images})

    def _check_jobs(self, now: float) -> None:
        for job in list(self.picture.jobs.values()):
            if not job.is_open and not job.active and not job.writing and not job.dirty and not job.recorded:
                del self.picture.jobs[job.ref]
            elif job.state is JobState.CANCELLED:
                for task in job.active.values():
                    # A stop that got lost is repeated: within cancel_s all its tasks must be gone.
                    if task.state in PRESENT and now - task.stop_at > c.STOP_REPEAT_S:
                        task.stop_at = now
                        task.tell_stop(0.0)
                        self.stopper.add(task)

    def _check_machines(self, now: float) -> None:
        workers = self.settings.settings.workers
        machines = list(self.picture.machines.values())
        # Machines of an earlier term count too: a new leader that hears none of them is cut off itself.
        last = 0.0
        up: dict[str, int] = {}
        silent: dict[str, int] = {}
        for machine in machines:
            if machine.state is not MachineState.BOOTING:
                heard = heard_at(machine)
                last = max(last, heard)
                up[machine.zone] = up.get(machine.zone, 0) + 1
                if now - heard > 3 * workers.report_s:
                    silent[machine.zone] = silent.get(machine.zone, 0) + 1
        if (sum(up.values()) >= 2 and now - last > c.LEADER_DEAF_S
                and self.link.peers and not self.link.hears_anyone(now)):
            asyncio.ensure_future(self.election.resign("hears neither workers nor other nodes"))
            return
        for zone, count in silent.items():
            if count > max(1.0, c.ZONE_SILENT_PART * up[zone]):
                # When a cut ends, a zone's machines come back one by one. Those still silent were once deleted then,
                # nine machines at a time.
                self._cut_until[zone] = now + c.CUT_MEMORY_S
        share = c.SILENT_SHARE if self.link.hears_all(now) else c.SILENT_PEER_SHARE
        patience = {zone: workers.lease_s * (c.SILENT_ZONE_SHARE if now < self._cut_until.get(zone, 0.0) else share)
                    for zone in {m.zone for m in machines}}
        for mtype, zone in self.picture.boots.look(machines, now):
            log.info("new machines of %s in %s stay dark: others are rented elsewhere", mtype, zone)
        for machine in machines:
            if machine.state is MachineState.DELETING:
                continue
            why = self._unfit(machine, patience[machine.zone], now)
            if why is not None:
                self.inventory.delete(machine, why)

    def _unfit(self, machine: Machine, patience_s: float, now: float) -> str | None:
        """Why a machine is to be deleted now, or None."""
        workers = self.settings.settings.workers
        # After an outage or a standstill of this node, silence counts anew: once 15 machines that others had kept
        # alive through an outage of 37 s were deleted in the moment it ended.
        quiet = now - max(heard_at(machine), self._entitled_since or 0.0)
        if machine.state is MachineState.BOOTING:
            if now - machine.rented_at > self.picture.boots.patience_s(machine, self.types.values()):
                return "does not come up"
            return None
        if machine.taken_at is not None and now > machine.taken_at + c.TAKEN_SILENT_S and quiet > c.TAKEN_SILENT_S + 1:
            return "taken by the cloud"
        if machine.state is MachineState.DRAINING and not machine.tasks and machine.drain_reason != "notice":
            return machine.drain_reason
        # A machine that can't be told to stop a cancelled task is deleted while cancel_s still allows it.
        limit = workers.cancel_s * c.CANCEL_DELETE_SHARE
        for task in machine.tasks.values():
            seen = task.job.cancel_seen
            if seen is not None and now - seen > limit:
                return f"holds the cancelled {task.name}"
        if quiet > patience_s:
            return f"silent for {quiet:.1f} s"
        return None

    def snapshot(self, now: float) -> policy.Snapshot:
        picture, wall = self.picture, time.time()
        needs = []
        team_open: dict[str, list[Job]] = {}
        for job in picture.jobs.values():
            if job.is_open:
                team_open.setdefault(job.spec.team, []).append(job)
        within: set[str] = set()
        for name, jobs in team_open.items():
            cpus = gpus = 0.0
            for job in sorted(jobs, key=lambda j: j.submitted):
                tasks = job.unfinished()
                if picture.ledger.within_guarantee(name, cpus + job.spec.cpus * tasks, gpus + job.spec.gpus * tasks):
                    within.add(job.ref)
                cpus += job.spec.cpus * tasks
                gpus += job.spec.gpus * tasks
        rooms = [r for m in picture.machines.values() if (r := self._room(m, within, now)) is not None]
        rooms += self._asked_rooms(now)
        for jobs in team_open.values():
            for job in jobs:
                need = self._need(job, now, wall, job.ref in within)
                if need is not None:
                    needs.append(need)
        stopping_gpus: dict[str, float] = {}
        stopping_cpus: dict[str, float] = {}
        for machine in picture.machines.values():
            for team, (cpus, gpus) in machine.load().stopping.items():
                stopping_gpus[team] = stopping_gpus.get(team, 0.0) + gpus
                stopping_cpus[team] = stopping_cpus.get(team, 0.0) + cpus
        lag = self.settings.settings.cloud.list_lag_s
        return policy.Snapshot(
            now=wall, rooms=rooms, needs=needs, ledger=picture.ledger, types=self.types,
            refused=self.inventory.refused_now(now), reserves=self._reserves(wall),
            dark=picture.boots.allowed(self.types.values(), picture.machines.values(),
                                       self.inventory.asked_places(), now),
            stopping_gpus=stopping_gpus, stopping_cpus=stopping_cpus,
            # What an earlier leader rented shows up in the list only after its lag.
            slack_pad=self.script.number("slack_pad"),
            may_move=now >= self._next_move,
            may_rent=self.inventory.listed_once and now - self.began > lag * c.GRACE_AFTER_TAKEOVER,
        )

    def _asked_rooms(self, now: float) -> list[policy.Room]:
        """Rentals without an answer yet count as booting."""
        rooms = []
        for name, asked in self.inventory.asked.items():
            mtype, request = self.types.get(asked.request.type), asked.request
            if mtype is not None:
                rooms += [policy.Room(f"{name}/{i}", mtype, request.zone, request.spot, mtype.cpus, mtype.gpus,
                                      mtype.memory_gb, ready_in=max(1.0, mtype.boot_s - (now - asked.at)))
                          for i in range(request.count)]
        return rooms

    def _need(self, job: Job, now: float, wall: float, within: bool) -> policy.Need | None:
        spec = job.spec
        if job.not_before > now or job.writing:
            return None
        if job.kind is Kind.GANG:
            if job.active or job.gang_broken:
                return None
            indices = [i for i in range(spec.tasks) if i not in job.done]
        else:
            indices = job.waiting_tasks(200)
        if not indices:
            return None
        mistaken = suspect(job, now)
        if mistaken and job.kind is not Kind.GANG:
            # One task shows as much as a hundred; what still runs of it shows it too.
            indices = indices[:max(0, 1 - len(job.active))]
            if not indices:
                return None
        run_s = self.picture.estimate_s(job) * c.ESTIMATE_PAD
        run_s = self.script.ask("estimate_s", run_s, spec.job_class, spec.estimate_s, run_s)
        due = sub_deadline(job.submitted, spec.due_s, run_s)
        may_rent = job.kind is not Kind.GANG or gang_may_rent(now - job.first_seen, self._boot_s())
        return policy.Need(job.ref, spec, indices, due, run_s, zone_counts(job), within, may_rent,
                           frozenset(job.failed_on), mistaken)

    def _boot_s(self) -> float:
        return max((t.boot_s for t in self.types.values()), default=c.BOOT_DEFAULT_S)

    def _room(self, machine: Machine, within: set[str], now: float) -> policy.Room | None:
        mtype = machine.type
        if mtype is None or machine.strangers:
            return None
        inherited = machine.state is MachineState.INHERITED and not machine.tasks
        if inherited and now - machine.known_since > c.INHERITED_TRUST_S:
            # A running machine would have reported by now: the lagging list still names what is gone.
            return None
        if machine.state is MachineState.BOOTING or inherited:
            if not self.picture.boots.promises(machine, self.types.values(), now):
                return None
            left = max(1.0, mtype.boot_s - (now - machine.rented_at))
            return policy.Room(machine.name, mtype, machine.zone, machine.spot, mtype.cpus, mtype.gpus,
                               mtype.memory_gb, ready_in=left)
        if machine.state is not MachineState.UP:
            return None
        if now - (machine.last_heard or 0) > 2.5 * self.settings.settings.workers.report_s:
            return None
        load = machine.load()
        return policy.Room(
            machine.name, mtype, machine.zone, machine.spot, mtype.cpus - load.cpus, mtype.gpus - load.gpus,
            mtype.memory_gb - load.memory_gb, images=load.images, empty=not machine.tasks, replicas=load.replicas,
            fixed=load.fixed, yields=load.yields, yield_gpus=load.yield_gpus,
            source=lambda: self._look(machine, within, now), soon_cpus=load.soon_cpus,
            soon_gpus=load.soon_gpus, soon_memory_gb=load.soon_memory_gb, fetches=load.fetches,
        )

    def _look(self, machine: Machine, within: set[str], now: float) -> tuple[list[policy.Victim], list[policy.Mover]]:
        """What on a machine might be stopped for other work, and what could be started elsewhere."""
        victims: list[policy.Victim] = []
        movers: list[policy.Mover] = []
        for task in machine.tasks.values():
            spec = task.job.spec
            if task.yields:
                victims.append(policy.Victim(task.job.ref, task.index, spec.priority, spec.team, spec.cpus,
                                             spec.gpus, spec.memory_gb, _lost_s(task, now),
                                             spec.tasks if spec.kind is Kind.GANG else 1, task.job.ref in within,
                                             _frail(task, now)))
            elif task.replica:
                ran = now - (task.running_since if task.running_since is not None else now)
                movers.append(policy.Mover(task.job.ref, spec, zone_counts(task.job), ran))
        return victims, movers

    def _reserves(self, wall: float) -> list[policy.Reserve]:
        """Warm room for classes that must start sooner than a machine boots, from their recent arrivals."""
        boot = self._boot_s()
        urgent = {o.job_class for o in self.settings.settings.objectives
                  if o.kind == "wait" and o.within_s is not None and o.within_s < boot}
        classes: dict[str, list[tuple[float, Submission]]] = {}
        for when, spec in self._recent:
            if spec.job_class in urgent and wall - when < c.RESERVE_WINDOW_S:
                classes.setdefault(spec.job_class, []).append((when, spec))
        deviations = self.script.number("reserve_deviations")
        found: list[policy.Reserve] = []
        for name, arrivals in classes.items():
            proposed = reserve_size([(when, spec.tasks) for when, spec in arrivals], wall, boot, deviations)
            count = int(self.script.ask("reserve", proposed, name, proposed))
            found.append(policy.Reserve(arrivals[-1][1], count))
        return found

    # -- commit and act ------------------------------------------------------------------------

    def _apply(self, plan: policy.Plan, now: float) -> None:
        picture = self.picture
        for ref, index, whom in plan.stops:
            job = picture.jobs.get(ref)
            task = job.active.get(index) if job else None
            if job is None or task is None or task.stopping:
                continue
            log.info("stops %s on %s to make room for %s", task.name, task.machine.name, whom)
            grace = job.spec.save_s + c.STOP_GRACE_MARGIN_S if job.spec.checkpoint_s > 0 else 0.0
            if job.kind is Kind.GANG:
                for other in list(job.active.values()):
                    picture.stop(other, grace, now, f"makes room for {whom}")
            else:
                picture.stop(task, grace, now, f"makes room for {whom}")
        for ref, places in plan.starts:
            job = picture.jobs.get(ref)
            if job is None:
                continue
            chosen = [(i, m) for i, name in places if (m := picture.machines.get(name)) is not None]
            if job.kind is Kind.GANG and len(chosen) != len(places):
                continue
            if picture.propose(job, chosen, now):
                if job.spec.tasks > 40 and not self.batcher.fits(job):
                    self.batcher.reject(job, now, 0 if job.kind is Kind.GANG else len(chosen) // 2)
                log.debug("places %s: %s", ref, ", ".join(f"{i} on {m.name}" for i, m in chosen))
        for ref, why in plan.waiting.items():
            log.debug("%s waits: %s", ref, why)
        for rental in merge_rentals(plan.rentals):
            self.inventory.rent(rental)
        self._return_idle(plan.spare, now)
        self._consolidate(plan.drain, now)

    def _return_idle(self, spare: set[str], now: float) -> None:
        """Idle machines go back near their paid boundary: the first paid stretch, then any second."""
        for name in spare:
            machine = self.picture.machines.get(name)
            if machine is None or machine.tasks or machine.strangers or machine.state is not MachineState.UP:
                continue
            idle = now - (machine.idle_since if machine.idle_since is not None else now)
            if idle > self.script.number("idle_keep_s") and now - machine.rented_at > c.FIRST_PAID_S - 2:
                self.inventory.delete(machine, f"idle for {idle:.0f} s")

    def _consolidate(self, name: str | None, now: float) -> None:
        """Empty a machine by moving its replicas, one machine at a time."""
        machine = self.picture.machines.get(name) if name else None
        if machine is None or now < self._next_move:
            return
        if any(m.state is MachineState.DRAINING and m.tasks for m in self.picture.machines.values()):
            return
        log.info("moves %d replicas off %s to return it", len(machine.tasks), machine.name)
        machine.drain_reason = "emptied"
        machine.move(MachineEvent.DRAIN)

    def _move_on(self, task: Task, now: float) -> None:
        """Move replicas one after the other, so slowly that the time they are away hardly counts."""
        if now < self._next_move:
            return
        replicas = sum(len(j.active) for j in self.picture.jobs.values() if j.kind is Kind.SERVICE)
        away = c.MOVE_AWAY_S + self.settings.settings.workers.report_s / 2
        self._next_move = now + away / (self.script.number("move_loss_share") * max(1, replicas))
        self.picture.stop(task, 0.0, now, "moved")

    def _drain(self, now: float) -> None:
        """Work on machines that are about to be taken or are faulty moves away in time to save."""
        for machine in self.picture.machines.values():
            if machine.state is not MachineState.DRAINING:
                continue
            left = machine.taken_at - now if machine.taken_at is not None else 0.0
            for task in list(machine.tasks.values()):
                spec = task.job.spec
                if task.stopping:
                    continue
                if machine.drain_reason == "emptied":
                    self._move_on(task, now)
                    continue
                if task.state is TaskState.COMMITTED and spec.kind is not Kind.GANG:
                    self.picture.stop(task, 0.0, now, machine.drain_reason)
                    continue
                saves = spec.checkpoint_s > 0
                if machine.drain_reason == "notice" and left > (spec.save_s + 4.0 if saves else 3.0):
                    if spec.kind is Kind.SERVICE or not saves:
                        ran = now - task.running_since if task.running_since is not None else 0.0
                        if spec.kind is not Kind.SERVICE and self.picture.estimate_s(task.job) - ran < left:
                            continue
                    else:
                        continue
                grace = spec.save_s + c.STOP_GRACE_MARGIN_S if saves else 0.0
                if spec.kind is Kind.GANG:
                    for other in list(task.job.active.values()):
                        self.picture.stop(other, grace, now, machine.drain_reason)
                else:
                    self.picture.stop(task, grace, now, machine.drain_reason)


def gang_may_rent(waited_s: float, boot_s: float) -> bool:
    """A gang that fits no zone would rent machines, see them returned idle and rent them again for ever."""
    return waited_s < c.GANG_PATIENCE * boot_s or waited_s % c.GANG_AGAIN_S < boot_s


def _lost_s(task: Task, now: float) -> float:
    """Work that stopping a task costs: what it has not saved, and the way to its next start.

    Tasks that still fetched once counted as costing nothing: 40 gangs were stopped 970 times in the first 100 s.
    """
    if task.running_since is None:
        return c.RESTART_S + now - task.since
    ran = now - task.running_since
    return c.RESTART_S + (min(ran, task.job.spec.save_s) if task.job.spec.checkpoint_s > 0 else ran)


def _frail(task: Task, now: float) -> bool:
    """Would a stop cost a gang its start? A start counts only if it lasts, and several tasks seldom fit again soon."""
    if task.job.kind is not Kind.GANG:
        return False
    return task.job.spec.tasks > 1 or task.running_since is None or now - task.running_since < c.MOVE_AFTER_S


def heard_at(machine: Machine) -> float:
    """When a machine was last heard under this term, or else when this leader began to wait for it."""
    return machine.last_heard if machine.last_heard is not None else machine.known_since
