"""Stand-in for the upload store: contents by SHA-256, descriptions of tasks, and the results of tasks."""

from __future__ import annotations

import hashlib
import json
from typing import Any

from tornado import web

RESULTS_PER_PAGE = 200


class UploadStore:
    def __init__(self) -> None:
        self.blobs: dict[str, bytes] = {}
        self.tasks: dict[tuple[str, int], bytes] = {}  # (job, page): descriptions
        self.found: dict[str, dict[int, Any]] = {}  # job: task number: result of the first success
        self.failed: dict[str, list[tuple[int, Any]]] = {}  # job: (task number, result) of each failure
        self.down = False

    def put(self, content: bytes) -> str:
        digest = hashlib.sha256(content).hexdigest()
        self.blobs[digest] = content
        return digest

    def add_result(self, job: str, number: int, result: dict[str, Any]) -> None:
        """Add the result of a task. Of several successful attempts, the first result is kept."""
        if result["ok"]:
            self.found.setdefault(job, {}).setdefault(number, result)
        else:
            self.failed.setdefault(job, []).append((number, result))


class _Handler(web.RequestHandler):
    def initialize(self, store: UploadStore) -> None:
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
            items, has_more = [{"number": n, "found": result} for n, result in self.store.failed.get(job, [])], False
        else:
            after = int(self.get_argument("after", "-1"))
            later_results = sorted((n, result) for n, result in self.store.found.get(job, {}).items() if n > after)
            items, has_more = (
                [{"number": n, "found": result} for n, result in later_results[:RESULTS_PER_PAGE]],
                len(later_results) > RESULTS_PER_PAGE,
            )
        self.finish(json.dumps({"items": items, "more": has_more}))


def application(store: UploadStore) -> web.Application:
    args = {"store": store}
    return web.Application(
        [
            (r"/blobs/([0-9a-f]{64})", _Blob, args),
            (r"/tasks/([^/]+)/([0-9]+)", _Tasks, args),
            (r"/results/([^/]+)", _Results, args),
        ],
        log_function=lambda handler: None,
    )
