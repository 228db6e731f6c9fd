"""Direct commands to workers (PROTOCOL, "POST /commands"): stops only.

Starts are never sent this way, since direct commands may be executed late.
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


async def command(
    addr: str, term: int, session: int, commands: list[worker_messages.Command]
) -> worker_messages.Report | None:
    """Send stops to a worker's address and return the report that it answers with.

    The worker answers with a report whether it executed the commands (200) or not (409). None: there was no valid
    answer within COMMAND_TIMEOUT_S.
    """
    host, _, port = addr.partition(":")
    body = msgspec.json.encode(worker_messages.DirectCommands(term, session, commands))
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
    """Sends stops to workers at once; what gets lost is repeated by the response to the next report."""

    def __init__(
        self,
        cluster: ClusterState,
        leadership: Leadership,
        may_only_enforce_cancellations: Callable[[], bool] = lambda: False,
    ) -> None:
        """Take over the cluster state's `on_stop`.

        `may_only_enforce_cancellations`: whether a leader in doubt may still stop the tasks of cancelled jobs.
        """
        self.cluster = cluster
        self.leadership = leadership
        self._may_only_enforce_cancellations = may_only_enforce_cancellations
        self._queue: dict[str, list[Task]] = {}
        self._tasks: set[asyncio.Task] = set()
        cluster.on_stop = self.add

    def add(self, task: Task) -> None:
        """Queue a task to be stopped; all that is queued for a machine within a cycle goes in one command."""
        queue = self._queue.setdefault(task.machine.name, [])
        queue.append(task)
        if len(queue) == 1:
            sender = asyncio.ensure_future(self._send(task.machine))
            self._tasks.add(sender)
            sender.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Cancel all commands under way."""
        for task in self._tasks:
            task.cancel()

    async def _send(self, machine: Machine) -> None:
        await asyncio.sleep(0)  # collect what is stopped in the same cycle
        tasks = self._queue.pop(machine.name, [])
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
        report = await command(machine.addr, self.cluster.term, machine.session, commands)
        if report is not None:
            reconcile_report(self.cluster, report, monotonic_time(), direct=True)
