"""Moments that a leader hands to the next one by way of the book: what is being emptied, refused, stopped, kept.

None of them is a promise: what the book had no room for, or what changed since it was written, begins anew as it did
before. Times are times of day; a moment that lies further off than it ever may is cut to what it may be.
"""

from __future__ import annotations

import logging

from .. import constants as c
from ..cloud.inventory import Inventory
from ..duties.page import Page, pack_names, unpack_names
from ..model.failure_attribution import suspect
from ..model.machine import MachineEvent, MachineState
from ..model.picture import Picture
from ..model.records import BadRecord
from ..wire.users import Kind
from .leaving import Leaving
from .view import Kept, View

log = logging.getLogger(__name__)


class Handover:
    """Writes the moments that a successor must know into the duty page, and takes over those of the holder before."""

    def __init__(self, picture: Picture, inventory: Inventory, leaving: Leaving, view: View) -> None:
        self.picture = picture
        self.inventory = inventory
        self.leaving = leaving
        self.view = view
        self._draining: dict[str, str] = {}  # machines not seen yet that the holder before was emptying

    # -- for the next holder -------------------------------------------------------------------

    def note(self, page: Page, now: float, today: float) -> None:
        """Fill in what a successor should know, the first of each sort."""
        most = c.BOOK_NOTES_MOST
        # A notice comes with the machine's next report anyhow.
        draining = [
            (m.name, m.drain_reason)
            for m in self.picture.machines.values()
            if m.state is MachineState.DRAINING and m.drain_reason != "notice"
        ]
        page.leaving = dict([*draining, *self._draining.items()][:most])
        page.refused = [
            (*key, round(today + until - now, 1)) for key, until in self.inventory.refused.items() if until > now
        ][:most]
        page.next_move = round(today + self.leaving.next_move - now, 1) if self.leaving.next_move > now else 0.0
        stopping = [
            (j.ref, t.attempt)
            for j in self.picture.jobs.values()
            if j.kind is Kind.GANG and j.is_open
            for t in j.active.values()
            if t.stopping
        ]
        page.stopping = dict(list(dict(stopping).items())[:most])
        page.kept = {
            ref: (round(today + kept.since - now, 1), pack_names(kept.machines))
            for ref, kept in list(self.view.kept.items())[:most]
        }
        page.failed_on = {j.ref: list(j.failed_on) for j in self.picture.jobs.values() if j.is_open and suspect(j, now)}
        while len(page.failed_on) > most:
            page.failed_on.popitem()

    # -- from the holder before ----------------------------------------------------------------

    def recall(self, page: Page, now: float, today: float) -> None:
        """Go on where the holder before stopped. Records are loaded; nothing has been decided yet."""
        picture, inventory = self.picture, self.inventory
        self._draining = dict(page.leaving)
        self.watch()
        for mtype, zone, spot, until in page.refused:
            left = min(until - today, c.NO_CAPACITY_PAUSE_S)
            if left > 0:
                inventory.refused[mtype, zone, spot] = now + left
        if page.next_move > today:
            self.leaving.next_move = now + min(page.next_move - today, c.MOVE_MOST_S)
        for ref, attempt in page.stopping.items():
            job = picture.jobs.get(ref)
            # A later attempt has been placed since the book was written: it was not meant.
            if job is not None and job.is_open and any(t.attempt == attempt for t in job.active.values()):
                # Parts of it have been told: the others are told too, as soon as they are heard, so that the gang ends
                # in order and is not found in half.
                log.info("%s was being stopped when term %d began: the stop goes on", ref, picture.term)
                picture.stop_all(job, now, "an earlier term has begun to stop it", job.grace_s)
        for ref, (since, names) in page.kept.items():
            try:
                self.view.kept[ref] = Kept(unpack_names(names), now - max(0.0, today - since))
            except BadRecord as err:
                # A moment is no promise: it must not keep a holder from its duties.
                log.error("room kept for %s: %s", ref, err)
        for ref, machines in page.failed_on.items():
            job = picture.jobs.get(ref)
            if job is not None and job.is_open and not job.failed_on:
                job.failed_on = dict.fromkeys(machines[-c.AVOID_MOST :])

    def watch(self) -> None:
        """Machines that were being emptied go on being emptied once they are known here."""
        for name in [n for n in self._draining if n in self.picture.machines]:
            machine, reason = self.picture.machines[name], self._draining.pop(name)
            if machine.state in (MachineState.UP, MachineState.INHERITED, MachineState.BOOTING):
                machine.drain_reason = reason
                machine.move(MachineEvent.DRAIN)
                self.picture.changed = True
