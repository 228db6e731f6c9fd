"""Which machines are late in coming up, and where they stay dark: there, no room is soon to come.

Of one zone's new machines some came up long after the others, and some never. Each of them counted as ready within a
second, for as long as it was not given back, and all that waited was promised to it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from zlib import crc32

from .. import constants
from ..wire.cloud import MachineType
from .entities import Machine
from .machine_state import MachineState

CapacityPool = tuple[str, str]  # machine type and zone


def usual_boot_s(machine: Machine) -> float:
    """The longest that a boot usually takes."""
    return constants.BOOT_USUAL * (machine.type.boot_s if machine.type else constants.BOOT_DEFAULT_S)


def boot_overdue(machine: Machine, now: float) -> bool:
    """Has the machine been booting for longer than boots usually take?"""
    return machine.state is MachineState.BOOTING and now - machine.rented_at > usual_boot_s(machine)


@dataclass
class BootTracker:
    """Where new machines stay dark: from two overdue ones on, until one that was rented later comes up in time."""

    failing_since: dict[CapacityPool, float] = field(default_factory=dict)  # since when
    _up_in_time: dict[CapacityPool, float] = field(
        default_factory=dict
    )  # when the last machine that came up so was rented

    def boot_completed(self, machine: Machine, now: float) -> bool:
        """A machine reports for the first time. True when this shows that its place is dark no more."""
        place = machine.type_name, machine.zone
        if now - machine.rented_at > usual_boot_s(machine):
            return False
        self._up_in_time[place] = max(self._up_in_time.get(place, machine.rented_at), machine.rented_at)
        since = self.failing_since.get(place)
        if since is not None and machine.rented_at >= since:
            del self.failing_since[place]
            return True
        return False

    def detect_failing_pools(self, machines: Iterable[Machine], now: float) -> set[CapacityPool]:
        """The places that have turned dark since the last look."""
        late: dict[CapacityPool, int] = {}
        for machine in machines:
            if boot_overdue(machine, now):
                place = machine.type_name, machine.zone
                # Rented no later than one that came up in time: it alone is at fault, not the place.
                if machine.rented_at > self._up_in_time.get(place, -math.inf):
                    late[place] = late.get(place, 0) + 1
        found = {
            place
            for place, count in late.items()
            if count >= constants.FAILING_POOL_MACHINES and place not in self.failing_since
        }
        for place in found:
            self.failing_since[place] = now
        return found

    def all_pools_failing(self, types: Iterable[MachineType]) -> bool:
        """Are all places dark? Then there is none better, and what is late is more likely to come than what is new."""
        return all((t.name, zone) in self.failing_since for t in types for zone in t.zones)

    def boot_timeout_s(self, machine: Machine, types: Iterable[MachineType]) -> float:
        """How long after its rental a machine that does not come up is given back.

        Where all are late, nobody can tell the late from those that never come: half of them are waited for longer.
        """
        boot = machine.type.boot_s if machine.type else constants.BOOT_DEFAULT_S
        longer = self.all_pools_failing(types) and crc32(machine.name.encode()) % 2
        return max(
            constants.FIRST_PAID_S, boot * (constants.BOOT_TIMEOUT_FAILING if longer else constants.BOOT_TIMEOUT)
        )

    def is_expected(self, machine: Machine, types: Iterable[MachineType], now: float) -> bool:
        """May work wait for this booting machine? Not for an overdue one, if another would be there sooner.

        With all places dark, replacing every overdue machine filled the cloud's capacity with dark ones, and services
        found no machine: 0.981 of their replica time in place of 0.9997.
        """
        return not boot_overdue(machine, now) or self.all_pools_failing(types)

    def probe_allowance(
        self, types: Iterable[MachineType], machines: Iterable[Machine], asked: Iterable[CapacityPool], now: float
    ) -> dict[CapacityPool, int]:
        """How many machines may be rented in each dark place now: one at a time shows whether it is better there."""
        if not self.failing_since or self.all_pools_failing(types):
            return {}
        left = {place: constants.FAILING_POOL_PROBES for place in self.failing_since}
        for place in asked:
            if place in left:
                left[place] -= 1
        for machine in machines:
            place = machine.type_name, machine.zone
            if place in left and machine.state is MachineState.BOOTING and not boot_overdue(machine, now):
                left[place] -= 1
        return {place: max(0, count) for place, count in left.items()}
