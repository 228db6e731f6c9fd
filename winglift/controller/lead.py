"""The leader's work: observe, decide, commit, act. One object per term."""

from __future__ import annotations

import asyncio
import logging
import math

from .. import constants as c
from ..cloud.client import CloudClient
from ..cloud.inventory import Inventory
from ..cluster.link import Link
from ..config.script import Script
from ..config.settings import Settings
from ..duties.book import Book
from ..duties.duty import Duties, Name
from ..duties.duty import State as DutyState
from ..duties.tidy import Images, Tidy
from ..model import records
from ..model.job import JobState
from ..model.leadership import Role
from ..model.machine import MachineEvent
from ..model.picture import Picture
from ..model.reported import on_report, orders
from ..model.task import PRESENT, TaskState
from ..net.outside import steady, wall
from ..policy import snapshot as policy
from ..policy.failure_detector import FailureDetector, heard_at
from ..policy.plan import make_plan
from ..policy.renting import merge_rentals
from ..store.batcher import Batcher
from ..store.client import Health, StateClient
from ..store.election import Election
from ..store.keeper import Keeper
from ..wire import back
from ..wire import workers as w
from ..wire.cloud import MachineType
from ..wire.users import Kind
from ..workers.commands import Stopper
from ..workers.probes import Prober
from .following import Following
from .handover import Handover
from .leaving import Leaving
from .pacing import pause_s, rest_s
from .plan_executor import PlanExecutor
from .view import View

log = logging.getLogger(__name__)


class Controller:
    """Leads for one term: observes reports and records, plans, commits and acts."""

    def __init__(
        self,
        settings: Settings,
        state: StateClient,
        cloud: CloudClient,
        election: Election,
        types: dict[str, MachineType],
        link: Link,
        script: Script,
    ) -> None:
        self.settings = settings
        self.state = state
        self.election = election
        self.me = election.me
        self.term = election.me.term
        self.types = types
        self.link = link
        self.script = script
        self.picture = Picture(settings, types, self.term)
        self.duties = Duties(self.me)
        lag_s = settings.settings.cloud.list_lag_s
        self.book = Book(state, settings.settings.state, self.duties.fence, lag_s)
        self.batcher = Batcher(state, settings.settings.state, self.picture, self.duties.fence)
        self.inventory = Inventory(cloud, self.picture, lag_s, self.book)
        self.keeper = Keeper(state, settings.settings.state, self.me, self.duties.fence)
        self.tidy = Tidy(state, settings.settings.state, self.duties)
        self.tidy.sweepers.append(Images(state, self.picture))
        self.stopper = Stopper(self.picture, self.me, self.ends_only)
        self.prober = Prober(self.picture, self.me)
        self.view = View(settings, self.picture, self.inventory, script, self._may_rent)
        self.executor = PlanExecutor(self.picture, self.batcher, self.view)
        self.leaving = Leaving(self.picture, self.inventory, script, settings.settings.workers)
        self.handover = Handover(self.picture, self.inventory, self.leaving, self.view)
        self.book.notes = lambda page: self.handover.note(page, steady(), wall())
        self.failure_detector = FailureDetector(
            self.picture,
            settings.settings.workers,
            settings.settings.skew_ms / 1000,
            {settings.zone, *(seed.zone for seed in settings.seeds)},
        )
        self.following = Following(
            state, self.picture, lambda when, spec: self.view.recent.append((when, spec)), lambda: self._wake.set()
        )
        self._tasks: list[asyncio.Task] = []
        self._wake = asyncio.Event()
        self._hurry = asyncio.Event()
        self._replicas_wait = False  # for room, by the last plan: each cycle may find some
        self.picture.on_urgent = self._hurry.set
        self.picture.on_ending = self.batcher.flush_soon
        self._last_plan = 0.0
        self._next_word = 0.0  # when the other nodes are told of the fleet again
        self._next_pass = math.inf  # when the cycle's next pass is due at the latest
        self.picture.known_images = dict(link.fleet.images)
        self.picture.silent_since = {name: link.fleet_at - s for name, s in link.fleet.silent.items()}

    def start(self) -> None:
        """Begin the leader's tasks; nothing is decided before records and duty page are loaded."""
        self._tasks = [
            asyncio.ensure_future(self._guard(job))
            for job in (
                self._recall,
                self.following.run,
                self._take_over,
                self.inventory.run,
                self.book.run,
                self.tidy.run,
                self._cycle,
            )
        ]

    def stop(self) -> None:
        """End all tasks of this term. What is on its way is found by a successor in records and duty page."""
        for task in self._tasks:
            task.cancel()
        self.duties.follow()
        self.duties.give_up()
        self.inventory.stop()
        self.batcher.stop()
        self.stopper.stop()
        self.prober.stop()
        self.keeper.stop()

    async def _recall(self) -> None:
        """What the leader before knew of images, if it could not tell: all nodes had ended."""
        if not self.picture.known_images:
            self.picture.known_images = await self.keeper.load()
            log.debug("images of %d machines are known", len(self.picture.known_images))

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

    @property
    def loaded(self) -> bool:
        """Are all records and the book known? Before that nothing is decided and nothing commanded."""
        return self.duties[Name.PLACE].state is not DutyState.SOUGHT

    async def _take_over(self) -> None:
        """Go on with what the holder before had begun. The book and the records are read side by side."""
        await self.book.load()
        while not self.following.loaded:
            await asyncio.sleep(c.TAKE_OVER_LOOK_S)
        now = steady()
        self.handover.recall(self.book.taken_over, now, wall())
        self.duties.know(Name.PLACE)
        self.inventory.take_over(now)
        log.info(
            "term %d takes over %d rentals and %d deletions that were begun, %d of them without an answer",
            self.term,
            len(self.book.rentals),
            len(self.book.deletions),
            len(self.inventory.asked),
        )
        while not self.inventory.listed_once:
            await asyncio.sleep(c.TAKE_OVER_LOOK_S)
        self.duties.know(Name.CLOUD)
        self.duties.know(Name.TIDY)
        self._wake.set()

    def may_use_cloud(self) -> bool:
        """Asked as the last thing before each call that changes something there, after every wait for a turn."""
        return self.duties.may(Name.PLACE, steady())

    def _may_rent(self) -> bool:
        """Whatever was rented before is known: by the book what is too new for the list, by the list the rest."""
        return self.duties.may(Name.CLOUD, steady()) and not self.failure_detector.awaits_all

    def take_job(self, ref: str, version: int, record: records.JobRecord) -> None:
        """A record that this node or another has committed."""
        self.following.take_job(ref, version, record, steady())

    def sees_to(self, ref: str) -> bool:
        """Does this leader know that the job is cancelled, and can it act?"""
        if not self.loaded or not (self.me.entitled(steady()) or self.ends_only()):
            return False
        job = self.picture.jobs.get(ref)
        return job is None or job.state is JobState.CANCELLED

    def has_ended(self, ref: str) -> bool:
        """Has this leader proven all tasks of a cancelled job off?"""
        job = self.picture.jobs.get(ref)
        return self.sees_to(ref) and (job is None or not job.active)

    def deleted_elsewhere(self, names: list[str]) -> None:
        """Another node has deleted these machines, for tasks of cancelled jobs. They are room no more; that all on them
        is gone, this leader proves by an answer of its own (invariant 2)."""
        for name in names:
            machine = self.picture.machines.get(name)
            if machine is not None and self.loaded:
                self.inventory.delete(machine, "another node has deleted it for a cancelled task")

    def on_report(self, report: w.Report) -> list[w.Command] | None:
        """Commands for a worker, or none while this node may not command: the answer renews its lease all the same."""
        now = steady()
        if not self.loaded:
            return []
        commands = on_report(self.picture, report, now)
        if commands is None:
            return None if report.machine in self.picture.deleted else []
        if self.picture.changed:
            self._wake.set()
        entitled = self.me.entitled(now)
        if not entitled and not self.ends_only():
            return []
        if report.token != self.term:
            return commands if entitled else []
        due = orders(self.picture.machines[report.machine], report, now, ends_only=not entitled)
        return commands + due if entitled else due

    def starts_wait(self, name: str) -> bool:
        """Are there starts that the next report's answer should carry?"""
        machine = self.picture.machines.get(name)
        return machine is not None and any(
            t.state in (TaskState.COMMITTED, TaskState.PROPOSED) for t in machine.tasks.values()
        )

    # -- decide --------------------------------------------------------------------------------

    async def _cycle(self) -> None:
        while True:
            if not self._hurry.is_set():
                try:
                    async with asyncio.timeout(c.IDLE_CYCLE_S):
                        await self._wake.wait()
                except TimeoutError:
                    pass
            self._wake.clear()
            self._hurry.clear()
            pause = rest = c.CYCLE_S
            self.election.check()
            self.duties.follow()
            if self.batcher.lost or self.book.lost or self.picture.superseded:
                self.election.lose("another node holds the leader key")
                return
            began = steady()
            if self._may_decide(began) and self.loaded:
                self._step(began)
                took = steady() - began
                pause = pause_s(took)
                rest = pause if self._replicas_wait else rest_s(took)
                if took > 0.1:
                    log.debug("a cycle took %.0f ms", took * 1000)
            elif self.loaded and self.ends_only():
                self._see_to_ends(began)
            self._next_pass += steady() - began + rest
            await asyncio.sleep(pause)
            if rest > pause:
                try:
                    async with asyncio.timeout(rest - pause):
                        await self._hurry.wait()
                except TimeoutError:
                    pass

    def _may_decide(self, now: float) -> bool:
        """Is this node entitled, and since when without a break? A pause of its own ends that too."""
        if not self.me.entitled(now) or now > self._next_pass + c.PAUSE_S:
            # Reports wait unread in the sockets when a node wakes: what it has not heard is not the workers' silence.
            self.failure_detector.entitled_since = None
        self._next_pass = now + c.IDLE_CYCLE_S
        if not self.me.entitled(now):
            return False
        if self.failure_detector.entitled_since is None:
            self.failure_detector.entitled_since = now
        return True

    def ends_only(self) -> bool:
        """In an outage that all nodes share nobody can follow this leader, and cancel_s runs on.

        What it may still do is what a committed cancellation demands, which holds whoever leads: stop its tasks, and
        delete machines that can't be told. If it is wrong about the outage, that costs a machine and breaks no rule.
        """
        return (
            self.me.role is Role.DOUBTFUL
            and self.state.health() is Health.DOWN
            and not self.link.state_works_elsewhere(steady())
        )

    def _see_to_ends(self, now: float) -> None:
        self._check_jobs(now)
        for machine, why in self.failure_detector.held_ends(now, wall()):
            self.inventory.delete(machine, why)

    def _step(self, now: float) -> None:
        picture = self.picture
        idle = now - self._last_plan >= c.IDLE_CYCLE_S
        if picture.changed or idle:
            picture.changed = False
            self.handover.watch()
            self._check_jobs(now)
            self._check_machines(now)
            # Reserves, returns and moves can wait a second; only waiting tasks are planned for at every change.
            if idle or any(job.has_waiting for job in picture.jobs.values()):
                self._last_plan = now
                cut = self.failure_detector.cut | self.failure_detector.unheard
                snap = self.view.snapshot(now, self.leaving.may_move(now), cut, self.failure_detector.attended)
                self._apply(make_plan(snap), now)
            self.leaving.drain(now)
        self.batcher.flush()
        if now >= self._next_word:
            self._next_word = now + c.FLEET_EVERY_S
            images = {m.name: dict(m.images) for m in picture.machines.values() if m.images}
            self.link.tell_fleet(
                back.Fleet(images, {m.name: now - heard_at(m) for m in self.failure_detector.quiet(now)})
            )
            if self.keeper.due(now):
                self.keeper.save(images, now)

    def _check_jobs(self, now: float) -> None:
        for job in list(self.picture.jobs.values()):
            if not job.is_open and not job.active and not job.writing and not job.dirty and not job.recorded:
                self.picture.forget(job)
            elif job.state is JobState.CANCELLED:
                for task in job.active.values():
                    # A stop that got lost is repeated: within cancel_s all its tasks must be gone.
                    if task.state in PRESENT and now - task.stop_at > c.STOP_REPEAT_S:
                        task.stop_at = now
                        task.tell_stop(0.0)
                        self.stopper.add(task)

    def _check_machines(self, now: float) -> None:
        hears_anyone = not self.link.peers or self.link.hears_anyone(now)
        found = self.failure_detector.look(now, wall(), hears_anyone, self.link.hears_all(now))
        if found.deaf:
            self.duties.give_up()
            asyncio.ensure_future(self.election.resign("hears neither workers nor other nodes"))
        for mtype, zone in found.dark:
            log.info("new machines of %s in %s stay dark: others are rented elsewhere", mtype, zone)
        for machine, why in found.give_up:
            self.inventory.delete(machine, why)
        for machine in found.retry:
            machine.move(MachineEvent.HEARS)
        self.prober.ask(found.ask, found.controls)

    # -- commit and act ------------------------------------------------------------------------

    def _apply(self, plan: policy.Plan, now: float) -> None:
        self.executor.apply(plan, now)
        picture = self.picture
        self._replicas_wait = any(
            job.kind is Kind.SERVICE for ref in plan.waiting if (job := picture.jobs.get(ref)) is not None
        )
        for rental in merge_rentals(plan.rentals):
            self.inventory.rent(rental)
        self.leaving.return_idle(plan.spare, now)
        self.leaving.consolidate(plan.drain, now)
