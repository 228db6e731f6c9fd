"""Stand-in for the state service: keys, revisions, leases, transactions and watches."""

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
        self.refused: set[str] = set()  # nodes that get 503 for each new request; their open watches go on
        # The delay after which the next transaction is carried out, without an answer; None: at once, with an answer.
        self.late_s: Callable[[], float | None] = lambda: None
        self.reads = 0  # requests for a single job record, or for changes without waiting
        self.lose_answers = 0  # number of further transactions that are carried out without an answer
        self.changed = asyncio.Condition()
        self.closed = False

    async def close(self) -> None:
        """Answer all open watches."""
        self.closed = True
        await self._notify()
        await asyncio.sleep(0.05)

    def renew_all_leases(self) -> None:
        """Restart the full duration of every lease. Called during an outage: no lease expires in it."""
        self.leases = {
            lease: (duration_s, monotonic_time() + duration_s) for lease, (duration_s, _) in self.leases.items()
        }

    def expire(self) -> None:
        now = monotonic_time()
        for lease in [lease_id for lease_id, (_, expires_at) in self.leases.items() if expires_at < now]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        dropped = [k for k, (_, _, owner) in self.keys.items() if owner == lease]
        if dropped:
            self.apply([{"drop": k} for k in dropped])
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

    def changes_after(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [e for r, e in self.history if r > after and (e.get("write") or e.get("drop") or "").startswith(prefix)]


class _Handler(web.RequestHandler):
    def initialize(self, service: StateService) -> None:
        self.service = service

    def prepare(self) -> None:
        if self.service.down:
            self.service.renew_all_leases()
        else:
            self.service.expire()
        if self.service.down or self.request.headers.get("X-From") in self.service.refused:
            self.respond(503, {"error": "trouble"})

    def respond(self, status: int, value: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class _Key(_Handler):
    def get(self, key: str) -> None:
        key = unquote(key)
        self.service.reads += key.startswith("job/")
        if key not in self.service.keys:
            self.respond(404, {"ledgerRev": self.service.revision})
            return
        value, version, lease = self.service.keys[key]
        self.respond(200, {"k": key, "v": value, "keyRev": version, "permit": lease})


class _List(_Handler):
    def get(self) -> None:
        prefix, after = self.get_argument("prefix"), self.get_argument("after", "")
        limit = int(self.get_argument("limit", "1000"))
        names = sorted(k for k in self.service.keys if k.startswith(prefix) and k > after)
        items = [{"k": k, "v": self.service.keys[k][0], "keyRev": self.service.keys[k][1]} for k in names[:limit]]
        self.respond(200, {"items": items, "truncated": len(names) > limit, "ledgerRev": self.service.revision})


class _Commit(_Handler):
    async def post(self) -> None:
        delay_s = self.service.late_s()
        if delay_s is not None:
            asyncio.get_running_loop().call_later(delay_s, self.service.commit, json.loads(self.request.body))
            await asyncio.Event().wait()
        status, answer = self.service.commit(json.loads(self.request.body))
        if self.service.lose_answers > 0:
            self.service.lose_answers -= 1
            # Close the connection instead of answering.
            self.request.connection.stream.close()  # type: ignore[union-attr]
            await asyncio.Event().wait()
        self.respond(status, answer)


class _Grants(_Handler):
    def post(self) -> None:
        duration_s = json.loads(self.request.body)["lifeMs"] / 1000
        lease = self.service.next_lease
        self.service.next_lease += 1
        self.service.leases[lease] = (duration_s, monotonic_time() + duration_s)
        self.respond(200, {"permit": lease})


class _Grant(_Handler):
    def post(self, lease: str) -> None:
        lease_times = self.service.leases.get(int(lease))
        if lease_times is None:
            self.respond(404, {"error": "no such lease"})
            return
        self.service.leases[int(lease)] = (lease_times[0], monotonic_time() + lease_times[0])
        self.respond(200, {})

    def delete(self, lease: str) -> None:
        self.respond(200 if self.service.end_lease(int(lease)) else 404, {})


class _Changes(_Handler):
    async def get(self) -> None:
        prefix, after = self.get_argument("prefix"), int(self.get_argument("after"))
        deadline = monotonic_time() + int(self.get_argument("blockMs", "0")) / 1000
        self.service.reads += self.get_argument("blockMs", "0") == "0"
        while True:
            changes = self.service.changes_after(prefix, after)
            remaining_s = deadline - monotonic_time()
            if changes or remaining_s <= 0 or self.service.closed:
                self.respond(200, {"ledgerRev": self.service.revision, "news": changes})
                return
            async with self.service.changed:
                try:
                    await asyncio.wait_for(self.service.changed.wait(), remaining_s)
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
