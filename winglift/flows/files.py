"""Client of the upload store: contents by their SHA-256, task descriptions and task results.

PUT, GET /blobs/{sha256}             one content
PUT, GET /tasks/{job}/{page}         FLOW_UPLOAD_TASKS task descriptions a page; only the first upload of a page counts
GET /results/{job}?after=N           results of tasks that succeeded, in pages
GET /results/{job}?failed=1          results of failed attempts
"""

from __future__ import annotations

import hashlib

import msgspec

from .. import constants
from ..net.client import Unanswered
from ..net.runtime import current_runtime
from ..wire import flows as flow_messages


class UploadStoreError(Exception):
    """A request to the upload store failed; it can be repeated."""


class UploadNotFound(UploadStoreError):
    """The upload store does not have the requested content."""


class UploadStoreClient:
    """Client of the upload store."""

    def __init__(self, host: str, port: int) -> None:
        self._http = current_runtime().client(host, port)
        self._sent: set[str] = set()

    async def _call(self, method: str, path: str, body: bytes | None = None) -> bytes:
        try:
            try:
                reply = await self._http.request(method, path, body, constants.FILES_TIMEOUT_S)
            except Unanswered:
                # All requests are idempotent, and the server may have closed a pooled connection.
                reply = await self._http.request(method, path, body, constants.FILES_TIMEOUT_S)
        except Unanswered as err:
            raise UploadStoreError(f"store of uploads: {err}") from None
        if reply.status == 404:
            raise UploadNotFound(f"store of uploads: no {path}")
        if reply.status != 200:
            raise UploadStoreError(f"store of uploads: {reply.status} for {path}")
        return reply.body

    async def put(self, content: bytes) -> str:
        """Upload a content and return its digest. A content that this client has uploaded before is not sent again."""
        digest = hashlib.sha256(content).hexdigest()
        if digest not in self._sent:
            await self._call("PUT", f"/blobs/{digest}", content)
            self._sent.add(digest)
        return digest

    async def get(self, digest: str) -> bytes:
        """Fetch a content and check its digest."""
        content = await self._call("GET", f"/blobs/{digest}")
        if hashlib.sha256(content).hexdigest() != digest:
            raise UploadStoreError(f"store of uploads: another content under {digest}")
        return content

    async def put_task_descriptions(
        self, job: str, page: int, descriptions: list[flow_messages.TaskDescription]
    ) -> None:
        """Upload one page of the task descriptions of a job."""
        await self._call("PUT", f"/tasks/{job}/{page}", flow_messages.encode(descriptions))

    async def task_results(self, job: str, failed: bool = False) -> list[flow_messages.TaskResultItem]:
        """Fetch the results of the tasks of a job that succeeded, or of its failed attempts."""
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
