"""Stand-in of the store of uploads: contents by SHA-256, descriptions of tasks, what tasks left."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from tornado import web

PAGE = 200  # results in one answer


class Store:
    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}
        self.tasks: dict[tuple[str, int], bytes] = {}
        self.found: dict[str, dict[int, Any]] = {}
        self.failed: dict[str, list[tuple[int, Any]]] = {}
        self.down = False

    def put(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    def result(self, job: str, number: int, found: dict[str, Any]) -> None:
        """The first success counts."""
        if found["ok"]:
            self.found.setdefault(job, {}).setdefault(number, found)
        else:
            self.failed.setdefault(job, []).append((number, found))


class _Handler(web.RequestHandler):
    def initialize(self, store: Store) -> None:
        self.store = store

    def prepare(self) -> None:
        if self.store.down:
            self.send_error(503)


class _Blob(_Handler):
    def put(self, digest: str) -> None:
        if hashlib.sha256(self.request.body).hexdigest() != digest:
            raise web.HTTPError(400)
        self.store.put(self.request.body)

    def get(self, digest: str) -> None:
        if digest not in self.store.blobs:
            raise web.HTTPError(404)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(self.store.blobs[digest])


class _Tasks(_Handler):
    def put(self, job: str, page: str) -> None:
        self.store.tasks.setdefault((job, int(page)), self.request.body)

    def get(self, job: str, page: str) -> None:
        if (job, int(page)) not in self.store.tasks:
            raise web.HTTPError(404)
        self.finish(self.store.tasks[job, int(page)])


class _Results(_Handler):
    def get(self, job: str) -> None:
        if self.get_argument("failed", ""):
            items, more = [{"number": n, "found": f} for n, f in self.store.failed.get(job, [])], False
        else:
            after = int(self.get_argument("after", "-1"))
            later = sorted((n, f) for n, f in self.store.found.get(job, {}).items() if n > after)
            items, more = [{"number": n, "found": f} for n, f in later[:PAGE]], len(later) > PAGE
        self.finish(json.dumps({"items": items, "more": more}))


def application(store: Store) -> web.Application:
    args = {"store": store}
    return web.Application(
        [
            (r"/blobs/([0-9a-f]{64})", _Blob, args),
            (r"/tasks/([^/]+)/([0-9]+)", _Tasks, args),
            (r"/results/([^/]+)", _Results, args),
        ],
        log_function=lambda handler: None,
    )
