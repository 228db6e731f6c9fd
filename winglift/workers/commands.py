"""Direct commands to workers: stops only. Starts never go this way, since commands may be executed late."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

import msgspec

from .. import constants as c
from ..model.entities import Machine, Task
from ..model.job import JobState
from ..model.leadership import Leadership
from ..model.picture import Picture
from ..model.reported import on_report
from ..model.task import PRESENT, TaskState
from ..net.client import Unanswered
from ..net.outside import here, steady
from ..wire import workers as w
from ..wire.users import Invalid

log = logging.getLogger(__name__)


async def command(addr: str, term: int, session: int, commands: list[w.Command]) -> w.Report | None:
    """Send stops straight to a worker: its report after them, whether it took them or not; None: no sound answer."""
    host, _, port = addr.partition(":")
    body = msgspec.json.encode(w.DirectCommands(term, session, commands))
    try:
        reply = await here().client(host, int(port), most=0).request("POST", "/commands", body, c.COMMAND_TIMEOUT_S)
        return w.parse_report(reply.body) if reply.status in (200, 409) else None
    except (Unanswered, Invalid) as err:
        log.debug("direct stop at %s: %s", addr, err)
        return None


class Stopper:
    """Tells workers to stop tasks at once; what gets lost is repeated by the next report's response."""

    def __init__(self, picture: Picture, me: Leadership, ends_only: Callable[[], bool] = lambda: False) -> None:
        self.picture = picture
        self.me = me
        self._ends_only = ends_only  # in doubt, may it still stop what is cancelled?
        self._queue: dict[str, list[Task]] = {}
        self._tasks: set[asyncio.Task] = set()
        picture.on_stop = self.add

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
        if not self.me.entitled(steady()):
            if not self._ends_only():
                return
            tasks = [t for t in tasks if t.job.state is JobState.CANCELLED]
        states = PRESENT | {TaskState.SENT, TaskState.UNKNOWN}
        commands = [w.halt(t.name, t.attempt, t.stop_grace or 0) for t in tasks if t.state in states]
        if not commands:
            return
        report = await command(machine.addr, self.picture.term, machine.session, commands)
        if report is not None:
            on_report(self.picture, report, steady(), direct=True)
