"""Stand-in of the state service: keys, revisions, leases, transactions and watches."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from tornado import web

from winglift.net.runtime import monotonic_time


class StateService:
    def __init__(self) -> None:
        self.revision = 1
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, tuple[float, float]] = {}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.next_lease = 1
        self.down = False
        self.refused: set[str] = set()  # nodes that alone get a 503; watches that are open wait on
        self.late_s: Callable[[], float | None] = lambda: None  # carry the next transaction out so late, unanswered
        self.reads = 0  # single records and looks at the changes that were asked for
        self.lose_answers = 0  # transactions to carry out without answering
        self.changed = asyncio.Condition()
        self.closed = False

    async def close(self) -> None:
        """Answer the watches that are open."""
        self.closed = True
        await self._notify()
        await asyncio.sleep(0.05)

    def keep(self) -> None:
        """After an outage every lease has its full time again."""
        self.leases = {lease: (life, monotonic_time() + life) for lease, (life, _) in self.leases.items()}

    def expire(self) -> None:
        now = monotonic_time()
        for lease in [n for n, (_, until) in self.leases.items() if until < now]:
            self.end(lease)

    def end(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        gone = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if gone:
            self.apply([{"drop": k} for k in gone])
        return True

    def apply(self, changes: list[dict[str, Any]]) -> int:
        self.revision += 1
        for change in changes:
            if "write" in change:
                self.keys[change["write"]] = (change["v"], self.revision, change.get("permit"))
                event = {"write": change["write"], "v": change["v"], "keyRev": self.revision}
            else:
                self.keys.pop(change["drop"], None)
                event = {"drop": change["drop"], "keyRev": self.revision}
            self.history.append((self.revision, event))
        asyncio.ensure_future(self._notify())
        return self.revision

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        self.expire()
        for change in body.get("then", []):
            if change.get("permit") is not None and change["permit"] not in self.leases:
                return 400, {"error": "no such lease"}
        failed = [c["k"] for c in body.get("if", []) if self.version(c["k"]) != c["keyRev"]]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        changes = body.get("then", [])
        return 200, {"ledgerRev": self.apply(changes) if changes else self.revision}

    def version(self, key: str) -> int:
        return self.keys[key][1] if key in self.keys else 0

    def news(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [e for r, e in self.history if r > after and (e.get("write") or e.get("drop") or "").startswith(prefix)]


class _Handler(web.RequestHandler):
    def initialize(self, service: StateService) -> None:
        self.service = service

    def prepare(self) -> None:
        if self.service.down:
            self.service.keep()
        else:
            self.service.expire()
        if self.service.down or self.request.headers.get("X-From") in self.service.refused:
            self.say(503, {"error": "trouble"})

    def say(self, status: int, value: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class _Key(_Handler):
    def get(self, key: str) -> None:
        key = unquote(key)
        self.service.reads += key.startswith("job/")
        if key not in self.service.keys:
            self.say(404, {"ledgerRev": self.service.revision})
            return
        value, version, lease = self.service.keys[key]
        self.say(200, {"k": key, "v": value, "keyRev": version, "permit": lease})


class _List(_Handler):
    def get(self) -> None:
        prefix, after = self.get_argument("prefix"), self.get_argument("after", "")
        limit = int(self.get_argument("limit", "1000"))
        names = sorted(k for k in self.service.keys if k.startswith(prefix) and k > after)
        items = [{"k": k, "v": self.service.keys[k][0], "keyRev": self.service.keys[k][1]} for k in names[:limit]]
        self.say(200, {"items": items, "truncated": len(names) > limit, "ledgerRev": self.service.revision})


class _Commit(_Handler):
    async def post(self) -> None:
        late = self.service.late_s()
        if late is not None:
            asyncio.get_running_loop().call_later(late, self.service.commit, json.loads(self.request.body))
            await asyncio.Event().wait()
        status, answer = self.service.commit(json.loads(self.request.body))
        if self.service.lose_answers > 0:
            self.service.lose_answers -= 1
            # Cut the connection instead of answering.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            await asyncio.Event().wait()
        self.say(status, answer)


class _Grants(_Handler):
    def post(self) -> None:
        life = json.loads(self.request.body)["lifeMs"] / 1000
        lease = self.service.next_lease
        self.service.next_lease += 1
        self.service.leases[lease] = (life, monotonic_time() + life)
        self.say(200, {"permit": lease})


class _Grant(_Handler):
    def post(self, lease: str) -> None:
        found = self.service.leases.get(int(lease))
        if found is None:
            self.say(404, {"error": "no such lease"})
            return
        self.service.leases[int(lease)] = (found[0], monotonic_time() + found[0])
        self.say(200, {})

    def delete(self, lease: str) -> None:
        self.say(200 if self.service.end(int(lease)) else 404, {})


class _Changes(_Handler):
    async def get(self) -> None:
        prefix, after = self.get_argument("prefix"), int(self.get_argument("after"))
        until = monotonic_time() + int(self.get_argument("blockMs", "0")) / 1000
        self.service.reads += self.get_argument("blockMs", "0") == "0"
        while True:
            news = self.service.news(prefix, after)
            left = until - monotonic_time()
            if news or left <= 0 or self.service.closed:
                self.say(200, {"ledgerRev": self.service.revision, "news": news})
                return
            async with self.service.changed:
                try:
                    await asyncio.wait_for(self.service.changed.wait(), left)
                except TimeoutError:
                    pass


def application(service: StateService) -> web.Application:
    args = {"service": service}
    return web.Application(
        [
            (r"/store/(.+)", _Key, args),
            (r"/store", _List, args),
            (r"/commit", _Commit, args),
            (r"/grants", _Grants, args),
            (r"/grants/([0-9]+)/touch", _Grant, args),
            (r"/grants/([0-9]+)", _Grant, args),
            (r"/changes", _Changes, args),
        ],
        log_function=lambda handler: None,
    )
