"""The book of duties: what the holder intends to do to the cloud, committed under its fence before anything is sent.

One value of the state service. Every write of it is conditional on the leadership key and on the book's own revision,
so a replaced holder records nothing more, and sends nothing that is not recorded. Effects that come together share a
write; an effect's end rides in the next one.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable

import msgspec

from .. import constants as c
from ..config.settings import State as Limits
from ..model.records import LEADER, BadRecord
from ..net.outside import steady, wall
from ..store.client import Health, LeaseGone, Malformed, Refused, StateClient, Unknown
from ..wire import state as wire
from ..wire.cloud import Rent
from . import page as pages
from .duty import Fence
from .effect import Effect, Event, State

log = logging.getLogger(__name__)


class FenceLost(Exception):
    """Another node holds the leadership key: nothing can be recorded any more."""


class Book:
    """The intent log: what is under way at the cloud, committed before it is sent."""

    def __init__(self, state: StateClient, limits: Limits, fence: Fence, list_lag_s: float) -> None:
        self.state = state
        self.fence = fence
        self.lost = False  # the leadership key has another revision
        self.loaded = False
        self.taken_over = pages.Page(0.0, 0)  # as an earlier holder left it
        self.rentals: dict[str, Effect] = {}
        self.deletions: dict[str, Effect] = {}
        self.notes: Callable[[pages.Page], None] = lambda page: None  # fills in the moments worth knowing
        self._limits = limits
        self._most_bytes = int(limits.value_kb * 1024) - c.RECORD_SPARE_BYTES
        # Lists are up to twice their lag old: what ended longer ago is in every list that is asked for from now on.
        self._keep_s = 2 * list_lag_s + c.BOOK_KEEP_MARGIN_S
        self._version = 0
        self._base = wall()
        self._written = b""
        self._written_at = 0.0
        self._wanted = asyncio.Event()
        self._written_once = asyncio.Condition()
        self._due: set[Effect] = set()  # wait to be recorded

    # -- reading -------------------------------------------------------------------------------

    async def load(self) -> None:
        """Read what earlier holders intended; until this is known, nothing is placed and nothing is sent."""
        while not self.loaded:
            try:
                item = await self.state.get(pages.BOOK, urgent=True)
            except (Refused, Unknown) as err:
                log.debug("book of duties: %s", err)
                await asyncio.sleep(c.BOOK_AGAIN_S)
                continue
            self._version = item.version if item is not None else 0
            if item is not None:
                try:
                    self._take_over(pages.decode(item.value))
                except BadRecord as err:
                    # Not written by this program. What it may have said is learnt from the list, as before the book.
                    log.error("%s", err)
            self.loaded = True

    def _take_over(self, page: pages.Page) -> None:
        now, today = steady(), wall()
        for name in pages.unpack_names(page.deletions):
            # What this holder has decided meanwhile, an earlier one has recorded already.
            effect = self.deletions.setdefault(name, Effect(name, now, taken_over=True))
            effect.move(Event.RECORD, now)
        for note in page.rentals:
            if not (0 <= note.type < len(page.types) and 0 <= note.zone < len(page.zones)):
                raise BadRecord(f"the book of duties: rental {note.name} names no type or zone")
            request = Rent(note.name, page.types[note.type], page.zones[note.zone], bool(note.spot), note.count)
            effect = Effect(note.name, now - max(0.0, today - page.base - note.at_s), request, taken_over=True)
            effect.move(Event.RECORD, now)
            if note.machines is not None:
                effect.machines = tuple(pages.unpack_names(note.machines))
                effect.move(Event.SEND, now)
                effect.move(Event.ANSWER, now)
            self.rentals[note.name] = effect
        self.taken_over = page

    # -- writing -------------------------------------------------------------------------------

    def intend(self, effect: Effect) -> Effect:
        """Take an effect in, without recording it yet. The same machine's deletion is intended once."""
        book = self.rentals if effect.request is not None else self.deletions
        return book.setdefault(effect.name, effect)

    async def record(self, effects: Iterable[Effect]) -> None:
        """Return once all of these are committed under the fence; raises FenceLost if they never will be."""
        waiting = {e for e in effects if e.state is State.INTENDED}
        self._due |= waiting
        self._wanted.set()
        async with self._written_once:
            while any(e.state is State.INTENDED for e in waiting):
                if self.lost:
                    raise FenceLost
                await self._written_once.wait()

    def settle(self, effect: Effect, now: float) -> None:
        """Answered. Its end is written with what comes next, or a little later by itself."""
        effect.move(Event.ANSWER, now)
        self._wanted.set()

    def abandon(self, effect: Effect, now: float) -> None:
        """Certainly not done."""
        effect.move(Event.REFUSE if effect.state is State.SENT else Event.WITHDRAW, now)
        self._due.discard(effect)
        self._wanted.set()

    async def run(self) -> None:
        """Write whenever something waits for it; what only ended, and the moments, when the budget leaves it over."""
        while not self.lost:
            try:
                async with asyncio.timeout(c.BOOK_LOOK_S):
                    await self._wanted.wait()
            except TimeoutError:
                pass
            self._wanted.clear()
            if not self.loaded:
                continue
            if self._due:
                await self._write(hurried=True)
            elif (
                steady() - self._written_at >= c.BOOK_REST_S
                and self.state.health() is Health.GOOD
                and self.state.writes_free() >= self._limits.write_rps * c.START_WRITES_KEPT
            ):
                await self._write(hurried=False)

    async def _write(self, hurried: bool) -> None:
        held = self._held()
        value = self._page(held)
        if not hurried and value == self._written:
            return
        # Every write of a duty is conditional on the leadership key at its revision (invariant 1), and on the book's
        # own: a write of ours that is applied late fails, and is not taken for the newer one.
        txn = wire.Transaction(
            [self.fence.condition(), wire.Condition(pages.BOOK, self._version)],
            [wire.Put(pages.BOOK, msgspec.Raw(value))],
        )
        try:
            result = await self.state.commit(txn, max_wait=c.BOOK_WAIT_S)
        except (Refused, LeaseGone) as err:
            log.log(logging.WARNING if isinstance(err, Malformed) else logging.DEBUG, "book of duties: %s", err)
            await self._later()
            return
        except Unknown as err:
            log.info("book of duties: write without an answer, reading again: %s", err)
            await self._reread(value, held)
            return
        if isinstance(result, wire.Committed):
            await self._took(result.revision, value, held)
        elif LEADER in result.failed:
            await self._lose()
        else:
            await self._reread(value, held)

    async def _reread(self, value: bytes, held: list[Effect]) -> None:
        """Was it applied? Only holders of the fence write the book, so its version tells."""
        try:
            item = await self.state.get(pages.BOOK, urgent=True)
        except (Refused, Unknown):
            await self._later()
            return
        if item is not None and bytes(item.value) == value:
            await self._took(item.version, value, held)
            return
        self._version = item.version if item is not None else 0
        await self._later()

    async def _took(self, version: int, value: bytes, held: list[Effect]) -> None:
        now = steady()
        self._version, self._written, self._written_at = version, value, now
        recorded = any(e.state is State.INTENDED for e in held)
        for effect in held:
            effect.move(Event.RECORD, now)
        self._due = {e for e in self._due if e.state is State.INTENDED}
        kept = {e.name for e in held}
        for book in (self.rentals, self.deletions):
            for name in [n for n, e in book.items() if not e.is_open and n not in kept]:
                del book[name]
        async with self._written_once:
            self._written_once.notify_all()
        if self._due and recorded:
            self._wanted.set()
        elif self._due:
            # The book is full. What waits comes in once something has ended; each try costs a change.
            await self._later()

    async def _later(self) -> None:
        await asyncio.sleep(c.BOOK_AGAIN_S)
        self._wanted.set()

    async def _lose(self) -> None:
        self.lost = True
        async with self._written_once:
            self._written_once.notify_all()

    # -- the page ------------------------------------------------------------------------------

    def _held(self) -> list[Effect]:
        """What the next page holds: all that is open, and what ended too lately for every list to show it."""
        now = steady()
        found = [
            e
            for book in (self.deletions, self.rentals)
            for e in book.values()
            if e.is_open or (e.state is State.SETTLED and now - e.ended_at < self._keep_s)
        ]
        if self._fit(found):
            return found
        # What is recorded and open always fits, as it did when it was recorded. Then what waits, in the order of
        # asking, then what has ended, the latest first.
        kept = [e for e in found if e.is_open and e.state is not State.INTENDED]
        rest = sorted((e for e in found if e.state is State.INTENDED), key=lambda e: e.at)
        rest += sorted((e for e in found if not e.is_open), key=lambda e: -e.ended_at)
        low, high = 0, len(rest)
        while low < high:
            middle = (low + high + 1) // 2
            if self._fit(kept + rest[:middle]):
                low = middle
            else:
                high = middle - 1
        return kept + rest[:low]

    def _fit(self, effects: list[Effect]) -> bool:
        return len(pages.encode(self._bare(effects))) <= self._most_bytes - c.BOOK_NOTES_BYTES

    def _bare(self, effects: list[Effect]) -> pages.Page:
        now, since = steady(), wall() - self._base
        page = pages.Page(self._base, self.fence.term)
        types: dict[str, int] = {}
        zones: dict[str, int] = {}
        for effect in effects:
            request = effect.request
            if request is None:
                continue
            page.rentals.append(
                pages.RentalNote(
                    effect.name,
                    types.setdefault(request.type, len(types)),
                    zones.setdefault(request.zone, len(zones)),
                    int(request.spot),
                    request.count,
                    round(since - (now - effect.at)),
                    pages.pack_names(effect.machines) if effect.state is State.SETTLED else None,
                )
            )
        page.types, page.zones = list(types), list(zones)
        page.deletions = pages.pack_names(e.name for e in effects if e.request is None)
        return page

    def _page(self, effects: list[Effect]) -> bytes:
        page = self._bare(effects)
        bare = pages.encode(page)
        self.notes(page)
        noted = pages.encode(page)
        # Moments are worth knowing, effects must be known: with too little room the moments are left out.
        return noted if len(noted) <= self._most_bytes else bare
