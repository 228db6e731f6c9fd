"""Simulated gangs: the tasks of an attempt wait for one another, run together and end if one of them is lost."""

from __future__ import annotations

import asyncio
import contextvars
from dataclasses import dataclass, field
from typing import Any, Protocol

Key = tuple[str, int]  # task and attempt
CHECK_S = 1.0  # s between checks whether each member's machine still executes its task


class Member(Protocol):
    """The part of a worker's interface that a gang uses."""

    context: contextvars.Context
    tasks: dict[Key, dict[str, Any]]

    def run_task(self, key: Key) -> None:
        """Run a task that has waited for its gang."""

    def end_task(self, key: Key, cause: str) -> None:
        """End a task, with the cause that its report gives."""

    def is_suspended(self) -> bool:
        """Whether the machine hangs."""
        ...


@dataclass(eq=False)
class Gang:
    """One attempt of a gang."""

    size: int
    members: dict[Key, Member] = field(default_factory=dict)
    running: bool = False
    has_lost_member: bool = False


class Gangs:
    """The gangs of a deployment.

    `wait_s` and `peer_s` are the protocol's settings `gang_wait_s` and `gang_peer_s`: how long a task waits for its
    gang to start, and how long after the loss of a member the others end.
    """

    def __init__(self, wait_s: float = 50.0, peer_s: float = 5.0) -> None:
        self.wait_s, self.peer_s = wait_s, peer_s
        self._gangs: dict[tuple[str, int], Gang] = {}  # job and attempt

    def join(self, worker: Member, key: Key, size: int) -> None:
        """Add a task that has its image and waits for the others. The last one to join starts them all."""
        gang = self._gangs.setdefault((key[0].partition("/")[0], key[1]), Gang(size))
        gang.members[key] = worker
        loop = asyncio.get_running_loop()
        if gang.has_lost_member:
            loop.call_later(self.peer_s, worker.end_task, key, "peers")
        elif len(gang.members) == size:
            gang.running = True
            for member_key, member in gang.members.items():
                member.context.run(member.run_task, member_key)
            worker.context.run(loop.call_later, CHECK_S, self._check, gang)
        else:
            loop.call_later(self.wait_s, self._end_if_not_started, gang, worker, key)

    def leave(self, worker: Member, key: Key) -> None:
        """Remove a task that has ended or was lost.

        If its gang is running, the other tasks end; if its gang is waiting, they go on waiting.
        """
        gang = self._gangs.get((key[0].partition("/")[0], key[1]))
        if gang is None or gang.members.get(key) is not worker:
            return
        task = worker.tasks.get(key)
        if task is not None and task.get("exitCause") == "done":
            return
        del gang.members[key]
        if gang.running and not gang.has_lost_member:
            self._end_all_members(gang)

    def _check(self, gang: Gang) -> None:
        """End the gang if one of its machines hangs, since that machine does not execute its task."""
        ended = any(w.tasks.get(k, {}).get("status") == "ended" for k, w in gang.members.items())
        if gang.has_lost_member or ended or not gang.members:
            return
        if any(worker.is_suspended() for worker in gang.members.values()):
            self._end_all_members(gang)
            return
        worker = next(iter(gang.members.values()))
        asyncio.get_running_loop().call_later(CHECK_S, self._check, gang, context=worker.context)

    def _end_all_members(self, gang: Gang) -> None:
        gang.has_lost_member = True
        loop = asyncio.get_running_loop()
        for key, worker in list(gang.members.items()):
            loop.call_later(self.peer_s, worker.end_task, key, "peers", context=worker.context)

    @staticmethod
    def _end_if_not_started(gang: Gang, worker: Member, key: Key) -> None:
        if not gang.running:
            worker.end_task(key, "alone")
