"""Detection of overdue boots and of capacity pools (machine type and zone) whose new machines fail to boot.

Keeps the planner from counting on capacity that may never arrive. In one zone some new machines booted much later than
the others, and some never did; each was expected to be ready within a second until it was deleted, so all waiting tasks
were planned onto it. All times are monotonic times in s.
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
    """Upper bound in s of the usual boot time of the machine's type."""
    return constants.BOOT_EXPECTED_RATIO * (machine.type.boot_s if machine.type else constants.BOOT_DEFAULT_S)


def boot_overdue(machine: Machine, now: float) -> bool:
    """Whether the machine has been booting for longer than boots usually take."""
    return machine.state is MachineState.BOOTING and now - machine.rented_at > usual_boot_s(machine)


@dataclass
class BootTracker:
    """Tracks failing capacity pools.

    A pool fails once `FAILING_POOL_MACHINES` of its machines are overdue, until a machine rented later boots in time.
    """

    failing_since: dict[CapacityPool, float] = field(default_factory=dict)
    # Of the machines that booted in time: when the most recently rented one was rented.
    _latest_timely_rental: dict[CapacityPool, float] = field(default_factory=dict)

    def record_boot(self, machine: Machine, now: float) -> bool:
        """Record a machine's first report; return whether it shows that the machine's pool has recovered."""
        pool = machine.type_name, machine.zone
        if now - machine.rented_at > usual_boot_s(machine):
            return False
        self._latest_timely_rental[pool] = max(
            self._latest_timely_rental.get(pool, machine.rented_at), machine.rented_at
        )
        since = self.failing_since.get(pool)
        if since is not None and machine.rented_at >= since:
            del self.failing_since[pool]
            return True
        return False

    def detect_failing_pools(self, machines: Iterable[Machine], now: float) -> set[CapacityPool]:
        """Mark the pools that fail now but did not at the last call, and return them."""
        overdue: dict[CapacityPool, int] = {}
        for machine in machines:
            if boot_overdue(machine, now):
                pool = machine.type_name, machine.zone
                # If a machine rented at the same time or later booted in time, this machine is at fault, not the pool.
                if machine.rented_at > self._latest_timely_rental.get(pool, -math.inf):
                    overdue[pool] = overdue.get(pool, 0) + 1
        failing = {
            pool
            for pool, count in overdue.items()
            if count >= constants.FAILING_POOL_MACHINES and pool not in self.failing_since
        }
        for pool in failing:
            self.failing_since[pool] = now
        return failing

    def all_pools_failing(self, types: Iterable[MachineType]) -> bool:
        """Whether all pools fail.

        In that case renting elsewhere does not help, and an overdue machine is likelier to boot than a new one.
        """
        return all((t.name, zone) in self.failing_since for t in types for zone in t.zones)

    def boot_timeout_s(self, machine: Machine, types: Iterable[MachineType]) -> float:
        """The time in s after its rental at which a machine that has not booted is deleted.

        With all pools failing, machines that boot late can't be told apart from those that never boot, so half of them
        are kept longer.
        """
        boot_s = machine.type.boot_s if machine.type else constants.BOOT_DEFAULT_S
        keep_longer = self.all_pools_failing(types) and crc32(machine.name.encode()) % 2
        return max(
            constants.MINIMUM_CHARGE_S,
            boot_s * (constants.FAILING_POOL_BOOT_TIMEOUT_RATIO if keep_longer else constants.BOOT_TIMEOUT_RATIO),
        )

    def is_boot_expected(self, machine: Machine, types: Iterable[MachineType], now: float) -> bool:
        """Whether tasks may be planned onto this booting machine.

        An overdue machine does not count, as a new one would be ready sooner, unless all pools fail. In that case
        replacing every overdue machine once filled the cloud's capacity with machines that did not boot, and services
        got 0.981 of their replica time instead of 0.9997.
        """
        return not boot_overdue(machine, now) or self.all_pools_failing(types)

    def probe_allowance(
        self, types: Iterable[MachineType], machines: Iterable[Machine], requested: Iterable[CapacityPool], now: float
    ) -> dict[CapacityPool, int]:
        """The number of machines that may be rented in each failing pool now, to detect its recovery.

        `requested`: the pools of the rental requests that are in progress.
        """
        if not self.failing_since or self.all_pools_failing(types):
            return {}
        remaining = {pool: constants.FAILING_POOL_PROBES_MAX for pool in self.failing_since}
        for pool in requested:
            if pool in remaining:
                remaining[pool] -= 1
        for machine in machines:
            pool = machine.type_name, machine.zone
            if pool in remaining and machine.state is MachineState.BOOTING and not boot_overdue(machine, now):
                remaining[pool] -= 1
        return {pool: max(0, count) for pool, count in remaining.items()}
