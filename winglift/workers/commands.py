"""Direct commands to workers: stops only. Starts never go this way, since commands may be executed late."""

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
from ..wire.users import Invalid

log = logging.getLogger(__name__)


async def command(
    addr: str, term: int, session: int, commands: list[worker_messages.Command]
) -> worker_messages.Report | None:
    """Send stops straight to a worker: its report after them, whether it took them or not; None: no sound answer."""
    host, _, port = addr.partition(":")
    body = msgspec.json.encode(worker_messages.DirectCommands(term, session, commands))
    try:
        reply = (
            await current_runtime()
            .client(host, int(port), most=0)
            .request("POST", "/commands", body, constants.COMMAND_TIMEOUT_S)
        )
        return worker_messages.parse_report(reply.body) if reply.status in (200, 409) else None
    except (Unanswered, Invalid) as err:
        log.debug("direct stop at %s: %s", addr, err)
        return None


class TaskStopper:
    """Tells workers to stop tasks at once; what gets lost is repeated by the next report's response."""

    def __init__(
        self, cluster: ClusterState, leadership: Leadership, ends_only: Callable[[], bool] = lambda: False
    ) -> None:
        self.cluster = cluster
        self.leadership = leadership
        self._may_only_enforce_cancellations = ends_only  # in doubt, may it still stop what is cancelled?
        self._queue: dict[str, list[Task]] = {}
        self._tasks: set[asyncio.Task] = set()
        cluster.on_stop = self.add

    def add(self, task: Task) -> None:
        queue = self._queue.setdefault(task.machine.name, [])
        queue.append(task)
        if len(queue) == 1:
            job = asyncio.ensure_future(self._send(task.machine))
            self._tasks.add(job)
            job.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send(self, machine: Machine) -> None:
        await asyncio.sleep(0)  # gather what is stopped in the same cycle
        tasks = self._queue.pop(machine.name, [])
        if not machine.addr or not machine.session:
            return
        if not self.leadership.entitled(monotonic_time()):
            if not self._may_only_enforce_cancellations():
                return
            tasks = [t for t in tasks if t.job.state is JobState.CANCELLED]
        states = PRESENT | {TaskState.SENT, TaskState.UNKNOWN}
        commands = [worker_messages.halt(t.name, t.attempt, t.stop_grace_s or 0) for t in tasks if t.state in states]
        if not commands:
            return
        report = await command(machine.addr, self.cluster.term, machine.session, commands)
        if report is not None:
            reconcile_report(self.cluster, report, monotonic_time(), direct=True)
