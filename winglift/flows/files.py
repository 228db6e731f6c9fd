"""Client of the store of uploads: contents by their SHA-256, descriptions of tasks, what tasks left.

PUT, GET /blobs/{sha256}             a content
PUT, GET /tasks/{job}/{page}         FLOW_UPLOAD_TASKS descriptions each; only the first upload counts
GET /results/{job}?after=N           what tasks left that succeeded, in pages
GET /results/{job}?failed=1          what attempts left that failed
"""

from __future__ import annotations

import hashlib

import msgspec

from .. import constants
from ..net.client import Unanswered
from ..net.runtime import current_runtime
from ..wire import flows as flow_messages


class UploadStoreError(Exception):
    """The store did not do what it was asked; it may be asked again."""


class UploadNotFound(UploadStoreError):
    """The store does not have it."""


class UploadStoreClient:
    def __init__(self, host: str, port: int) -> None:
        self._http = current_runtime().client(host, port)
        self._sent: set[str] = set()

    async def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        try:
            try:
                reply = await self._http.request(method, path, body, constants.FILES_TIMEOUT_S)
            except Unanswered:
                # Every request here can be repeated, and a kept connection may have been closed by the other side.
                reply = await self._http.request(method, path, body, constants.FILES_TIMEOUT_S)
        except Unanswered as err:
            raise UploadStoreError(f"store of uploads: {err}") from None
        if reply.status == 404:
            raise UploadNotFound(f"store of uploads: no {path}")
        if reply.status != 200:
            raise UploadStoreError(f"store of uploads: {reply.status} for {path}")
        return reply.body

    async def put(self, content: bytes) -> str:
        """Upload; the digest. What this client has uploaded already is not sent again."""
        digest = hashlib.sha256(content).hexdigest()
        if digest not in self._sent:
            await self._call("PUT", f"/blobs/{digest}", content)
            self._sent.add(digest)
        return digest

    async def get(self, digest: str) -> bytes:
        content = await self._call("GET", f"/blobs/{digest}")
        if hashlib.sha256(content).hexdigest() != digest:
            raise UploadStoreError(f"store of uploads: another content under {digest}")
        return content

    async def describe(self, job: str, page: int, works: list[flow_messages.TaskDescription]) -> None:
        await self._call("PUT", f"/tasks/{job}/{page}", flow_messages.encode(works))

    async def found(self, job: str, failed: bool = False) -> list[flow_messages.TaskResultItem]:
        items: list[flow_messages.TaskResultItem] = []
        while True:
            after = items[-1].number if items else -1
            body = await self._call("GET", f"/results/{job}?" + ("failed=1" if failed else f"after={after}"))
            try:
                page = flow_messages.task_results_decoder.decode(body)
            except msgspec.DecodeError as err:
                raise UploadStoreError(f"store of uploads: results of {job}: {err}") from None
            items += page.items
            if not page.more or not page.items:
                return items
