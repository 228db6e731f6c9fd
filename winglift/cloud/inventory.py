"""Machines of the leader: renting, returning, and reconciling the list with what reports show."""

from __future__ import annotations

import asyncio
import logging

from msgspec.structs import replace

from .. import constants as c
from ..duties.book import Book, FenceLost
from ..duties.effect import Effect, Event, State
from ..model.entities import Machine
from ..model.job import JobState
from ..model.machine import MachineEvent, MachineState
from ..model.picture import Picture
from ..net.outside import steady
from ..policy.snapshot import Rental
from ..wire import cloud as wire
from .client import CloudClient, CloudError, NoCapacity

log = logging.getLogger(__name__)

Place = tuple[str, str, bool]  # type, zone, spot


class Inventory:
    """Rents and deletes machines for one term, and reconciles them with the cloud's list."""

    def __init__(self, cloud: CloudClient, picture: Picture, list_lag_s: float, book: Book) -> None:
        self.cloud = cloud
        self.picture = picture
        self.list_lag_s = list_lag_s
        self.book = book
        self.asked: dict[str, Effect] = {}  # rentals without an answer: their machines count as booting
        self.refused: dict[Place, float] = {}  # until when it is not asked for again
        self._in_a_row: dict[Place, int] = {}  # refusals since anything was to be had there
        self.listed_once = False
        self._number = 0
        self._tasks: set[asyncio.Task] = set()
        self._unsent: dict[Place, Effect] = {}
        self._to_delete: dict[str, Machine] = {}
        self._sender: asyncio.Task | None = None

    def spawn(self, coroutine) -> asyncio.Task:  # type: ignore[no-untyped-def, type-arg]
        """Start a coroutine that ends with this term."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def stop(self) -> None:
        """End all calls of this term."""
        for task in self._tasks:
            task.cancel()

    # -- renting -------------------------------------------------------------------------------

    def rent(self, rental: Rental) -> None:
        """Ask for machines. What waits for its turn within the cloud's rate grows into one large request.

        In the first rush every cycle once queued calls of its own, of one to four machines each, for 40 s.
        """
        key = (rental.type, rental.zone, rental.spot)
        waiting = self._unsent.get(key)
        if waiting is not None and waiting.request is not None:
            waiting.request = replace(waiting.request, count=min(waiting.request.count + rental.count, c.RENT_MOST))
            return
        self._number += 1
        # The name holds the term, which no other node ever has: a name is never reused (invariant 6).
        name = f"t{self.picture.term}-{self._number}"
        request = wire.Rent(name, rental.type, rental.zone, rental.spot, min(rental.count, c.RENT_MOST))
        self.asked[name] = self._unsent[key] = Effect(name, steady(), request)
        if self._sender is None or self._sender.done():
            # One at a time: a second one once found that the first had sent all that there was.
            self._sender = self.spawn(self._send())

    async def _send(self) -> None:
        """Send what waits, the largest request first, one whenever the cloud's rate allows a call."""
        while self._unsent:
            await self.cloud.turn()
            if not self._still_wanted():
                continue
            key = max(self._unsent, key=lambda k: _count(self._unsent[k]))
            # From here on its request stays as it is: a name stands for one request, for ever.
            effect = self.book.intend(self._unsent.pop(key))
            try:
                # Recorded under the fence before it is sent: whoever follows repeats the same name, and rents nothing
                # twice.
                await self.book.record([effect])
            except FenceLost:
                return
            self.spawn(self._rent(effect))
            await asyncio.sleep(0)  # let the call take its turn

    def _still_wanted(self) -> bool:
        """Leave out what was refused since it was asked for: what waits on it finds the next choice at once.

        Such requests once went out all the same, while their tasks counted on machines that never came: in the first
        95 s of a day 95 calls were refused.
        """
        for key in [k for k in self._unsent if self.refused.get(k, 0.0) > steady()]:
            effect = self._unsent.pop(key)
            self.asked.pop(effect.name, None)
            self.picture.changed = True
        return bool(self._unsent)

    def _refuse(self, key: Place, now: float) -> None:
        """All of a type, zone and kind is taken: ask again later, and ever more rarely while that stays so."""
        row = self._in_a_row[key] = self._in_a_row.get(key, 0) + 1
        self.refused[key] = now + min(c.NO_CAPACITY_PAUSE_S * 2 ** (row - 1), c.NO_CAPACITY_MOST_S)

    def _freed(self, machine: Machine) -> None:
        """One of its kind was given back: it can be had again."""
        key = (machine.type_name, machine.zone, machine.spot)
        self.refused.pop(key, None)
        self._in_a_row.pop(key, None)

    async def _rent(self, effect: Effect) -> None:
        request = effect.request
        assert request is not None
        key = (request.type, request.zone, request.spot)
        try:
            while True:
                try:
                    effect.move(Event.SEND, steady())
                    names = await self.cloud.rent(request)
                    break
                except NoCapacity:
                    self.book.abandon(effect, steady())
                    log.info(
                        "cloud refuses %d %s in %s (%s)",
                        request.count,
                        request.type,
                        request.zone,
                        "spot" if request.spot else "ordinary",
                    )
                    self._refuse(key, steady())
                    return
                except CloudError as err:
                    # The same name again: if it was carried out, the answer is the same and nothing more is rented.
                    log.info("rental %s: %s", request.request, err)
                    await asyncio.sleep(c.CLOUD_PAUSE_S)
            now = steady()
            if len(names) < request.count:
                self._refuse(key, now)
            else:
                self._in_a_row.pop(key, None)
            log.info(
                "rented %s in %s (%s): %s",
                request.type,
                request.zone,
                "spot" if request.spot else "ordinary",
                " ".join(names),
            )
            effect.machines = tuple(names)
            self.book.settle(effect, now)
            self._booting(effect, now)
        finally:
            self.asked.pop(request.request, None)
            self.picture.changed = True

    def _booting(self, effect: Effect, now: float) -> None:
        """The machines that a rental has brought."""
        request = effect.request
        assert request is not None
        for name in effect.machines:
            if name in self.picture.deleted or name in self.book.deletions:
                continue
            machine = self.picture.adopt(
                name, request.type, request.zone, request.spot, now, now - effect.at if effect.taken_over else 0.0
            )
            if machine.state is MachineState.INHERITED and machine.last_heard is None:
                machine.state = MachineState.BOOTING

    def take_over(self, now: float) -> None:
        """Go on with what earlier holders had begun; the book is loaded."""
        for effect in [e for e in self.book.deletions.values() if e.is_open]:
            machine = self.picture.adopt(effect.name, "", "", False, now, None)
            self.delete(machine, "an earlier term has begun to delete it")
        for effect in list(self.book.rentals.values()):
            if effect.is_open:
                self.asked[effect.name] = effect
                self.spawn(self._rent(effect))
            else:
                self._booting(effect, now)
        self.picture.changed = True

    def asked_places(self) -> list[tuple[str, str]]:
        """Type and zone of each machine that is asked for and not answered yet."""
        return [
            (a.request.type, a.request.zone)
            for a in self.asked.values()
            if a.request is not None
            for _ in range(a.request.count)
        ]

    def refused_now(self, now: float) -> set[tuple[str, str, bool]]:
        """Type, zone and kind (spot) of what the cloud has refused lately."""
        self.refused = {k: t for k, t in self.refused.items() if t > now}
        return set(self.refused)

    # -- returning -----------------------------------------------------------------------------

    def delete(self, machine: Machine, why: str) -> None:
        """Delete a machine: nothing is placed there from now on, whatever becomes of the call."""
        if machine.state is MachineState.DELETING or machine.name in self._to_delete:
            return
        effect = self.book.intend(Effect(machine.name, steady()))
        # What an earlier term has begun is told in one line (`take_over`): most of it is gone already.
        log.log(
            logging.DEBUG if effect.taken_over and not machine.tasks else logging.INFO,
            "deletes %s in %s: %s (%d tasks)",
            machine.name,
            machine.zone,
            why,
            len(machine.tasks),
        )
        # From here on nothing is placed there, by this holder or by a later one (invariant 2): once its deletion may
        # have been sent, it may be carried out minutes from now.
        machine.move(MachineEvent.DELETE)
        self._to_delete[machine.name] = machine
        if len(self._to_delete) == 1:
            self.spawn(self._delete())

    async def _delete(self) -> None:
        while self._to_delete:
            # What holds a cancelled task goes first, and by itself: a leader in doubt may still delete that.
            urgent = [n for n, m in self._to_delete.items() if holds_cancelled(m)]
            batch = {n: self._to_delete[n] for n in (urgent or list(self._to_delete))[: c.DELETE_MOST]}
            effects = [self.book.deletions[n] for n in batch]
            try:
                async with asyncio.timeout(c.DELETE_RECORD_S):
                    await self.book.record(effects)
            except TimeoutError:
                # What a committed cancellation demands is recorded in the job: it goes without the book.
                if not urgent:
                    continue
            except FenceLost:
                return
            for effect in effects:
                effect.move(Event.SEND if effect.state is not State.INTENDED else Event.SEND_UNRECORDED, steady())
            try:
                await self.cloud.delete(list(batch), ends=bool(urgent))
            except CloudError as err:
                # Unanswered is not undone: the machines stay out of use, and the deletion is repeated.
                log.info("deletion: %s", err)
                await asyncio.sleep(c.CLOUD_PAUSE_S)
                continue
            now = steady()
            for effect in effects:
                self.book.settle(effect, now)
            for name, machine in batch.items():
                self._to_delete.pop(name, None)
                self._freed(machine)
                self.picture.machine_gone(machine, now)

    # -- the list ------------------------------------------------------------------------------

    async def run(self) -> None:
        """Reconcile with the list every LIST_EVERY_S."""
        while True:
            try:
                asked = steady()
                listed = await self.cloud.list()
                self.reconcile(listed, steady(), asked)
                self.listed_once = True
            except CloudError as err:
                log.info("machine list: %s", err)
            await asyncio.sleep(c.LIST_EVERY_S)

    def reconcile(self, listed: list[wire.Listed], now: float, asked: float) -> None:
        """Take in a list that was asked for at that time; it is up to twice its lag older."""
        picture = self.picture
        shown = {entry.name for entry in listed}
        oldest = asked - 2 * self.list_lag_s - c.BOOK_KEEP_MARGIN_S
        for machine in list(picture.machines.values()):
            if (
                machine.name not in shown
                and machine.state is MachineState.BOOTING
                and not machine.tasks
                and machine.rented_at < oldest
            ):
                # It must have been listed, and would be still: it was taken before it came up.
                self.delete(machine, "in no list any more")
        for entry in listed:
            if entry.name in picture.deleted:
                continue
            known = entry.name in picture.machines
            machine = picture.adopt(entry.name, entry.type, entry.zone, entry.spot, now, entry.age_s)
            if not known:
                log.info("the list shows %s (%s, %s)", entry.name, entry.zone, entry.state)
                if entry.state == "booting":
                    machine.state = MachineState.BOOTING
                picture.changed = True
            if entry.addr and not machine.addr:
                machine.addr = entry.addr
            if entry.state == "failed":
                self.delete(machine, "stopped on its own")
        # A name that was deleted long ago can't show up in a list any more.
        horizon = now - 600.0
        for name in [n for n, t in picture.deleted.items() if t < horizon]:
            del picture.deleted[name]


def _count(effect: Effect) -> int:
    return effect.request.count if effect.request is not None else 0


def holds_cancelled(machine: Machine) -> bool:
    """Does the machine hold a task of a cancelled job?"""
    return any(t.job.state is JobState.CANCELLED for t in machine.tasks.values())
