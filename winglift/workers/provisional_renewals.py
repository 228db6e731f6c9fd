"""Renewals of workers' leases by a process that does not know the confirmed cancellations.

After a restart in an outage, a node can't know which of a worker's tasks are cancelled. It may renew the lease all the
same for a short time (invariant 8):

- The worker's session has not ended, so an answer to a report that it sent at most `lease_s` earlier was accepted.
- If the worker's token is not provisional, that answer came from a node that knew the cancellations, and carried the
  stops. Only a job cancelled since then can have a task there that nobody has stopped.
- So such a task need not be gone before `cancel_s - lease_s` after the worker's report, and a lease that ends by then
  breaks no rule.

Such a renewal makes the worker's token provisional. Other processes see that, also those that start later: otherwise
each restart within an outage would prolong the leases once more. The same holds for renewals by a node that knows the
cancellations but may have missed the latest ones, since it does not hear from all other nodes. A process goes on
renewing under its own mark: it knows it by the report being the next one after a report that it has answered so. A
delayed copy of a report from before the mark does not pass for that one, as the worker has reported since.
"""

from __future__ import annotations

from .. import constants
from ..wire import workers as worker_messages


class ProvisionalRenewals:
    """Decides which renewals a process may grant before it knows the cancellations. Times are monotonic seconds."""

    def __init__(self, started_at: float, lease_s: float, cancel_s: float) -> None:
        """`started_at`: when this process began, before it received any report; `lease_s`: of the workers."""
        longest_lease_s = lease_s * (1 + 2 * constants.CLOCK_DRIFT)
        self.ends_at = started_at + cancel_s - 2 * longest_lease_s - constants.PROVISIONAL_RENEWAL_MARGIN_S
        # By machine: session and sequence number of the latest report that was answered with a renewal.
        self._renewed: dict[str, tuple[int, int]] = {}

    def may_renew(self, report: worker_messages.Report, now: float) -> bool:
        """Whether the lease of the worker that sent this report may be renewed under a provisional token."""
        if now >= self.ends_at:
            self._renewed.clear()
            return False
        number = (report.session, report.seq)
        renewed = self._renewed.get(report.machine, (0, 0))
        is_next = number == (renewed[0], renewed[1] + 1)
        if number <= renewed or (report.has_provisional_token() and not is_next):
            return False
        self._renewed[report.machine] = number
        return True
