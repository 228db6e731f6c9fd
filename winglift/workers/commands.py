"""Direct commands to workers (PROTOCOL, "POST /commands"), used for stops only.

Starts are never sent this way, since a direct command may be executed late.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants
from ..model.cluster_state import ClusterState
from ..model.entities import Machine, Task
from ..model.job_state import JobState
from ..model.leadership import Leadership
from ..model.report_reconciliation import reconcile_report
from ..model.task_state import PRESENT, TaskState
from ..net.client import Unanswered
from ..net.runtime import current_runtime, monotonic_time
from ..wire import workers as worker_messages
from ..wire.users import InvalidMessage

log = logging.getLogger(__name__)


async def send_direct_commands(
    addr: str, token: int, session: int, commands: list[worker_messages.Command]
) -> worker_messages.Report | None:
    """Send stop commands to a worker's address and return the report that it answers with.

    The worker answers with a report both if it has executed the commands (200) and if it has rejected them (409). If it
    has rejected them because its token is the provisional one of the same term, they are sent once more with that. None
    is returned if there was no valid answer within `COMMAND_TIMEOUT_S`.
    """
    report = await _post_commands(addr, token, session, commands)
    if report is not None and token < report.token == worker_messages.provisional(token):
        report = await _post_commands(addr, report.token, session, commands)
    return report


async def _post_commands(
    addr: str, token: int, session: int, commands: list[worker_messages.Command]
) -> worker_messages.Report | None:
    host, _, port = addr.partition(":")
    body = msgspec.json.encode(worker_messages.DirectCommands(token, session, commands))
    try:
        reply = (
            await current_runtime()
            .client(host, int(port), max_idle=0)
            .request("POST", "/commands", body, constants.COMMAND_TIMEOUT_S)
        )
        return worker_messages.parse_report(reply.body) if reply.status in (200, 409) else None
    except (Unanswered, InvalidMessage) as err:
        log.debug("direct command: no valid answer: addr=%s error=%s", addr, err)
        return None


class TaskStopper:
    """Sends stop commands to workers at once; a lost one is repeated in the answer to the worker's next report."""

    def __init__(
        self,
        cluster: ClusterState,
        leadership: Leadership,
        may_only_enforce_cancellations: Callable[[], bool] = lambda: False,
    ) -> None:
        """Register as the `on_stop` callback of the cluster state.

        `may_only_enforce_cancellations`: whether a leader in doubt may still stop the tasks of cancelled jobs.
        """
        self.cluster = cluster
        self.leadership = leadership
        self._may_only_enforce_cancellations = may_only_enforce_cancellations
        self._queued_tasks: dict[str, list[Task]] = {}
        self._send_tasks: set[asyncio.Task] = set()
        cluster.on_stop = self.add

    def add(self, task: Task) -> None:
        """Queue a task to be stopped; all tasks queued for a machine within a cycle are stopped by one request."""
        queued = self._queued_tasks.setdefault(task.machine.name, [])
        queued.append(task)
        if len(queued) == 1:
            sender = asyncio.ensure_future(self._send(task.machine))
            self._send_tasks.add(sender)
            sender.add_done_callback(self._send_tasks.discard)

    def stop(self) -> None:
        """Cancel all commands in flight."""
        for task in self._send_tasks:
            task.cancel()

    async def _send(self, machine: Machine) -> None:
        await asyncio.sleep(0)  # let the same cycle queue further tasks
        tasks = self._queued_tasks.pop(machine.name, [])
        if not machine.addr or not machine.session:
            return
        if not self.leadership.has_valid_lease(monotonic_time()):
            if not self._may_only_enforce_cancellations():
                return
            tasks = [task for task in tasks if task.job.state is JobState.CANCELLED]
        states = PRESENT | {TaskState.SENT, TaskState.UNKNOWN}
        commands = [
            worker_messages.halt_command(task.name, task.attempt, task.stop_grace_s or 0)
            for task in tasks
            if task.state in states
        ]
        if not commands:
            return
        report = await send_direct_commands(machine.addr, self.cluster.term, machine.session, commands)
        if report is not None:
            reconcile_report(self.cluster, report, monotonic_time(), direct=True)
