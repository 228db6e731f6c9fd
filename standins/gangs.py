"""Gangs of simulated workers: tasks of one attempt wait for one another, run together and notice who is lost."""

from __future__ import annotations

import asyncio
import contextvars
from dataclasses import dataclass, field
from typing import Any, Protocol

Key = tuple[str, int]  # task and attempt
CHECK_S = 1.0  # s between two looks whether a member's machine still executes its task


class Member(Protocol):
    """What a gang needs of the worker that runs one of its tasks."""

    context: contextvars.Context
    tasks: dict[Key, dict[str, Any]]

    def go(self, key: Key) -> None:
        """Run a task that waited for its gang."""

    def exit(self, key: Key, why: str) -> None:
        """End a task, with the reason that its report gives."""

    def stands_still(self) -> bool:
        """Does the machine hang?"""
        ...


@dataclass(eq=False)
class Gang:
    """One attempt of a gang."""

    size: int
    members: dict[Key, Member] = field(default_factory=dict)
    running: bool = False
    broken: bool = False


class Gangs:
    """The gangs of a deployment: `wait_s` and `peer_s` as PROTOCOL's `gang_wait_s` and `gang_peer_s`."""

    def __init__(self, wait_s: float = 50.0, peer_s: float = 5.0) -> None:
        self.wait_s, self.peer_s = wait_s, peer_s
        self._gangs: dict[tuple[str, int], Gang] = {}  # job and attempt

    def join(self, worker: Member, key: Key, size: int) -> None:
        """A task has its image and waits for the others; the last one starts them all."""
        gang = self._gangs.setdefault((key[0].partition("/")[0], key[1]), Gang(size))
        gang.members[key] = worker
        loop = asyncio.get_running_loop()
        if gang.broken:
            loop.call_later(self.peer_s, worker.exit, key, "peers")
        elif len(gang.members) == size:
            gang.running = True
            for other, where in gang.members.items():
                where.context.run(where.go, other)
            worker.context.run(loop.call_later, CHECK_S, self._check, gang)
        else:
            loop.call_later(self.wait_s, self._give_up, gang, worker, key)

    def leave(self, worker: Member, key: Key) -> None:
        """A task is no longer there. The others of a gang that runs notice it; one that waits goes on waiting."""
        gang = self._gangs.get((key[0].partition("/")[0], key[1]))
        if gang is None or gang.members.get(key) is not worker:
            return
        task = worker.tasks.get(key)
        if task is not None and task.get("exitCause") == "done":
            return
        del gang.members[key]
        if gang.running and not gang.broken:
            self._break(gang)

    def _check(self, gang: Gang) -> None:
        """A machine that hangs does not execute its task: the others of its gang notice that."""
        ended = any(w.tasks.get(k, {}).get("status") == "ended" for k, w in gang.members.items())
        if gang.broken or ended or not gang.members:
            return
        if any(worker.stands_still() for worker in gang.members.values()):
            self._break(gang)
            return
        worker = next(iter(gang.members.values()))
        asyncio.get_running_loop().call_later(CHECK_S, self._check, gang, context=worker.context)

    def _break(self, gang: Gang) -> None:
        gang.broken = True
        loop = asyncio.get_running_loop()
        for key, worker in list(gang.members.items()):
            loop.call_later(self.peer_s, worker.exit, key, "peers", context=worker.context)

    @staticmethod
    def _give_up(gang: Gang, worker: Member, key: Key) -> None:
        if not gang.running:
            worker.exit(key, "alone")
