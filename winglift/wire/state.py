"""Messages between controller nodes and the state service (PROTOCOL, "Controller nodes -> state service")."""

from __future__ import annotations

from typing import Any

import msgspec


class Item(msgspec.Struct, frozen=True, rename={"key": "k", "value": "v", "version": "keyRev", "lease": "permit"}):
    """A key with its value and the revision of its latest change."""

    key: str
    value: msgspec.Raw
    version: int
    lease: int | None = None


class Page(msgspec.Struct, frozen=True, rename={"more": "truncated", "revision": "ledgerRev"}):
    """One page of a listing."""

    items: list[Item]
    revision: int
    more: bool = False


class Condition(msgspec.Struct, frozen=True, rename={"key": "k", "version": "keyRev"}):
    """A condition of a transaction: the key's latest change has this version; 0: the key does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, frozen=True, omit_defaults=True, rename={"key": "write", "value": "v", "lease": "permit"}):
    """Write a value; with a lease, the key is removed when the lease expires."""

    key: str
    value: Any
    lease: int | None = None


class Delete(msgspec.Struct, frozen=True, rename={"key": "drop"}):
    """Delete a key."""

    key: str


class Transaction(msgspec.Struct, frozen=True, rename={"conditions": "if", "changes": "then"}):
    """Body of POST /commit."""

    conditions: list[Condition]
    changes: list[Any]  # Put and Delete


class Committed(msgspec.Struct, frozen=True, rename={"revision": "ledgerRev"}):
    """Answer of POST /commit: the transaction was executed at this revision."""

    revision: int


class Conflict(msgspec.Struct, frozen=True, rename={"revision": "ledgerRev"}):
    """Answer of POST /commit: the transaction was refused because these keys had other versions."""

    failed: list[str]
    revision: int = 0


class Grant(msgspec.Struct, frozen=True, rename={"lease": "permit"}):
    """Answer of POST /grants: the id of the new lease."""

    lease: int


class GrantRequest(msgspec.Struct, frozen=True, rename={"ttl_ms": "lifeMs"}):
    """Body of POST /grants."""

    ttl_ms: int


class Event(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "put": "write",
        "delete": "drop",
        "value": "v",
        "version": "keyRev",
    },
):
    """One change of a key: a write or a deletion."""

    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw(b"")  # empty for a deletion; msgspec allows no `Raw | None`
    version: int


class Changes(msgspec.Struct, frozen=True, rename={"revision": "ledgerRev", "events": "news"}):
    """Answer of GET /changes."""

    revision: int
    events: list[Event]
