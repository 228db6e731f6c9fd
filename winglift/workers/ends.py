"""Sees to confirmed cancellations, on every node that knows of them, until their tasks are proven off.

Whoever confirms one is answerable for it. It tells all nodes; each answers reports that list such a task with its stop,
leader or not. While no leader that can act has taken it over, each node also asks the machines that it has heard, and
deletes in good time those that nobody has proven free (docs/recovery.md, "Cancellations and who answers for them").
"""

from __future__ import annotations

import asyncio
import logging
import math
from dataclasses import dataclass
from typing import Protocol

from .. import constants as c
from ..cloud.client import CloudClient, CloudError
from ..cluster.link import Link, Peer
from ..config.settings import Settings
from ..model import records
from ..model.ends import End, Ends, Event, State
from ..net.outside import steady, wall
from ..store.client import Health, Refused, StateClient, Unknown
from ..wire import back
from ..wire import workers as w
from .commands import command

log = logging.getLogger(__name__)


class Service(Protocol):
    """What seeing to ends needs of the node."""

    @property
    def settings(self) -> Settings: ...

    @property
    def link(self) -> Link: ...

    @property
    def state(self) -> StateClient: ...

    @property
    def cloud(self) -> CloudClient: ...

    def known_term(self) -> int:
        """The highest term that this node has heard of."""

    def leader_by_record(self) -> str:
        """The node that leads by the state service's word, as this one has last read it; empty: none."""

    def sees_to(self, ref: str) -> bool:
        """Does this node lead, and can it act, and has it the cancellation in its picture?"""

    def has_ended(self, ref: str) -> bool:
        """Has this node, as a leader that can act, proven all tasks of the job off?"""

    def deleted(self, machines: list[str]) -> None:
        """These machines have been deleted past the leader."""


@dataclass(slots=True)
class Heard:
    """Where a machine answers questions."""

    addr: str
    session: int
    at: float
    asked: float = -math.inf


class EndsKeeper:
    def __init__(self, node: Service) -> None:
        self.node = node
        params = node.settings.settings
        cancel_s = params.workers.cancel_s
        self.ends = Ends(params.skew_ms / 1000, cancel_s, int(params.state.write_rps * cancel_s * c.ENDS_KEPT_SHARE))
        self.heard: dict[str, Heard] = {}
        self._asking: dict[str, asyncio.Task] = {}
        self._deleting: asyncio.Task | None = None
        self._listing: asyncio.Task | None = None
        self._next_list = 0.0
        self._wake = asyncio.Event()
        self._next_sweep = 0.0
        self._next_read = 0.0

    # -- what is heard -------------------------------------------------------------------------

    def take(self, ref: str, version: int, record: records.JobRecord) -> bool:
        """A record that is committed. If it is a cancellation with places, the other nodes are told at once, and the
        user after that. True: this node has it."""
        now = steady()
        end = self.ends.note(ref, version, record, now)
        if end is None or end.state is State.SETTLED:
            return end is not None
        self._tell(end, now)
        self._wake.set()
        return True

    def on_link(self, node: str) -> None:
        """It may be another process than the one that knew."""
        for end in self.ends.all.values():
            end.told.pop(node, None)

    def on_proofs(self, proofs: list[tuple[str, str]]) -> None:
        """What another node has proven."""
        now = steady()
        for ref, machine in proofs:
            if ref:
                self.ends.free(ref, machine, now, told=True)
            else:
                self.ends.gone(machine, now, told=True)
        gone = [machine for ref, machine in proofs if not ref]
        if gone:
            self.node.deleted(gone)

    def on_report(self, report: w.Report) -> list[w.Command]:
        """The stops that its answer must carry, whoever gives it."""
        now = steady()
        heard = self.heard.get(report.machine)
        if heard is None or heard.session <= report.session:
            asked = heard.asked if heard is not None else -math.inf
            self.heard[report.machine] = Heard(report.addr, report.session, now, asked)
        if now >= self._next_sweep:
            self._next_sweep = now + c.HEARD_KEPT_S / 4
            self.heard = {name: one for name, one in self.heard.items() if now - one.at < c.HEARD_KEPT_S}
        return self.ends.on_report(report, now)

    # -- what is done --------------------------------------------------------------------------

    async def run(self) -> None:
        while True:
            if not self.ends.all:
                self._wake.clear()
                await self._wake.wait()
            try:
                await self._look(steady(), wall())
            except Exception:
                # One end that can't be seen to must not keep the others waiting.
                log.exception("fault in seeing to cancellations")
            await asyncio.sleep(c.ENDS_LOOK_S)

    async def _look(self, now: float, at: float) -> None:
        for end in list(self.ends.all.values()):
            if end.state is State.SETTLED:
                continue
            self._tell(end, now)
            if self.node.has_ended(end.ref):
                self.ends.settle(end.ref, now)
            else:
                end.move(Event.TAKEN if self._is_left(end, now) else Event.ORPHANED, now)
        self._ask(now)
        names = self._due(now, at)
        if names and (self._deleting is None or self._deleting.done()):
            self._deleting = asyncio.ensure_future(self._delete(names[: c.DELETE_MOST]))
        proofs, self.ends.proofs = self.ends.proofs, []
        self.node.link.tell_proofs(proofs)
        self.ends.forget(now)
        await self._reread(now, at)

    def _tell(self, end: End, now: float) -> None:
        leader = self.node.link.leader(now)
        for name, peer in self.node.link.peers.items():
            # A node that knew before it led has yet to take it over.
            offered = peer is leader and end.taken_by != _led(peer) and end.told.get(name) == math.inf
            if offered or end.told.get(name, -math.inf) <= now:
                end.told[name] = now + c.ENDS_TELL_S
                self.node.link.tell_job(
                    peer,
                    back.JobNote(end.version, end.ref, end.record),
                    lambda answer, peer=peer: self._told(end, peer, answer),  # type: ignore[misc]
                )

    def _told(self, end: End, peer: Peer, answer: tuple[int, bytes] | None) -> None:
        if answer is None:
            return
        if answer[0] == 200:
            end.taken_by = _led(peer)
        # A leader that can't act yet is asked again; anybody else knows it for as long as its process lasts.
        if answer[0] == 200 or peer is not self.node.link.leader(steady()):
            end.told[peer.seed.node] = math.inf

    def _is_left(self, end: End, now: float) -> bool:
        """Is there a leader that sees to it? One that has it and is in hearing, or one that the state service names,
        since it follows the records; in an outage nobody can tell the latter."""
        if self.node.sees_to(end.ref):
            return True
        leader = self.node.link.leader(now)
        if leader is not None and end.taken_by == _led(leader):
            return True
        named = self.node.leader_by_record()
        return self.node.state.health() is Health.GOOD and named not in ("", self.node.settings.node)

    def _ask(self, now: float) -> None:
        """Tell the machines of open ends to stop, at once and, once their answer is a proof, until it is one."""
        for end in self.ends.open():
            settled = end.known_s(now) >= self.ends.settle_s
            for machine in end.halts:
                heard = self.heard.get(machine)
                if heard is None:
                    self._learn(now)
                elif machine not in self._asking and (
                    heard.asked < end.since or (settled and now - heard.asked > c.ENDS_ASK_S)
                ):
                    if len(self._asking) >= c.PROBES_AT_ONCE:
                        return
                    heard.asked = now
                    self._asking[machine] = asyncio.ensure_future(self._question(machine, heard))

    def _learn(self, now: float) -> None:
        """The cloud tells where machines answer that report to another node, perhaps one that nobody can tell anything:
        without it they were deleted, with all the other work on them."""
        if now < self._next_list or (self._listing is not None and not self._listing.done()):
            return
        self._next_list = now + c.ENDS_LIST_S
        self._listing = asyncio.ensure_future(self._list())

    async def _list(self) -> None:
        try:
            for entry in await self.node.cloud.list():
                if entry.addr:
                    # Its session is not known: the refusal of a first word tells it.
                    self.heard.setdefault(entry.name, Heard(entry.addr, 0, steady()))
        except CloudError as err:
            log.info("where machines answer: %s", err)

    async def _question(self, machine: str, heard: Heard) -> None:
        try:
            halts = [halt for end in self.ends.holding(machine) for halt in end.halts[machine]]
            # Its last word may be of an earlier session, or it knows a higher term: it is told once more then.
            left, report = await self._told_to_stop(machine, heard.addr, self.node.known_term(), heard.session, halts)
            if left and report is not None:
                term = max(self.node.known_term(), report.token)
                await self._told_to_stop(machine, heard.addr, term, report.session, left)
        finally:
            self._asking.pop(machine, None)

    async def _told_to_stop(
        self,
        machine: str,
        addr: str,
        term: int,
        session: int,
        halts: list[w.Command],
    ) -> tuple[list[w.Command], w.Report | None]:
        """What the machine still lists after these stops, and its report; none without a sound answer."""
        asked = steady()
        report = await command(addr, term, session, halts)
        if report is None or report.machine != machine:
            return [], None
        return self.ends.answered(report, asked, steady()), report

    def _due(self, now: float, at: float) -> list[str]:
        own, peers = self.node.settings.node, self.node.link.peers.items()
        rank = sum(name < own and peer.fresh(now) for name, peer in peers)
        return self.ends.due(now, at, rank, c.CANCEL_HEAR_REPORTS * self.node.settings.settings.workers.report_s)

    def answerable(self, names: list[str]) -> bool:
        """Asked as the last thing before they are deleted: is all that is said of them still so?"""
        return set(names) <= set(self._due(steady(), wall()))

    async def _delete(self, names: list[str]) -> None:
        log.info(
            "deletes %s past the leader: they may hold tasks of cancelled jobs, and nobody else sees to it",
            " ".join(names),
        )
        try:
            await self.node.cloud.delete_held(names)
        except CloudError as err:
            # Unanswered is not undone, and no proof: it is tried again.
            log.info("deletion: %s", err)
            await asyncio.sleep(c.CLOUD_PAUSE_S)
            return
        now = steady()
        for name in names:
            self.ends.gone(name, now)
        self.node.deleted(names)

    async def _reread(self, now: float, at: float) -> None:
        """What has been left to a leader for long is looked up: it takes out of the record what it has proven."""
        if now < self._next_read or self.node.state.health() is not Health.GOOD:
            return
        after_s = self.ends.cancel_s * c.ENDS_REREAD_SHARE
        end = next(
            (e for e in self.ends.all.values() if e.state is State.LEFT and e.age_s(at, self.ends.skew_s) > after_s),
            None,
        )
        if end is None:
            return
        self._next_read = now + c.ENDS_REREAD_S
        try:
            item = await self.node.state.get(records.JOB + end.ref)
            if item is not None:
                self.ends.note(end.ref, item.version, records.decode(item.value), steady())
        except (Refused, Unknown, records.BadRecord) as err:
            log.debug("%s: %s", end.ref, err)


def _led(peer: Peer) -> tuple[str, int]:
    return peer.seed.node, peer.heard.term if peer.heard is not None else 0
