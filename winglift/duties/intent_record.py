"""The intent record: pending external operations and failover hints for a successor, packed into one value. Pure.

Machine names share a beginning and a width, so runs of them are packed as ranges: `vm-000407` to `vm-000423` are
`vm-|6|407-423`. A settled rental keeps the machines that it brought until every list of the cloud must show them.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from urllib.parse import quote, unquote

import msgspec

from ..model.records import InvalidRecord, pack_ranges, unpack_ranges

INTENT_LOG_KEY = "duty"  # the key of the intent log in the state service
MAX_NAMES_IN_RANGE = 100_000  # machines in one range; this program writes no larger one

_NUMBERED = re.compile(r"(.*?)([0-9]{1,15})")


class RentalIntent(msgspec.Struct, frozen=True, array_like=True):
    """A rental as the intent record holds it."""

    name: str
    type: int  # index in `types`
    zone: int  # index in `zones`
    spot: int
    count: int
    at_s: int  # of the intent, in s after the record's `base_time`
    machines: str | None = None  # that it brought, packed; None: no answer is known


class IntentRecord(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "base_time": "w",
        "term": "t",
        "types": "y",
        "zones": "z",
        "rentals": "r",
        "deletions": "d",
        "draining": "l",
        "capacity_refusals": "x",
        "next_migration_at": "m",
        "stopping_gangs": "s",
        "reserved_for_gangs": "k",
        "failed_on": "f",
    },
):
    """Stored value of the intent log. Times are times of day in s; a successor starts without the fields left out."""

    base_time: float  # when the leader that wrote it began its term
    term: int  # of the leader that wrote it
    types: list[str] = []
    zones: list[str] = []
    rentals: list[RentalIntent] = []
    deletions: str = ""  # machines that this or an earlier term intended to delete, packed
    draining: dict[str, str] = {}  # machine being drained: reason
    capacity_refusals: list[tuple[str, str, bool, float]] = []  # type, zone, spot, until
    next_migration_at: float = 0.0
    stopping_gangs: dict[str, int] = {}  # gang whose stop may not have reached all workers: its attempt
    reserved_for_gangs: dict[str, tuple[float, str]] = {}  # gang: since when capacity is reserved for it, and where
    failed_on: dict[str, list[str]] = {}  # job suspected of failing by itself: machines where it failed


_decoder = msgspec.json.Decoder(IntentRecord)


def pack_names(names: Iterable[str]) -> str:
    """Pack names as ranges where they end with a number of at most 15 digits; the others are quoted one by one."""
    groups: dict[tuple[str, int], list[int]] = {}
    plain: list[str] = []
    for name in names:
        found = _NUMBERED.fullmatch(name)
        if found is None:
            plain.append(quote(name, safe=""))
        else:
            groups.setdefault((quote(found[1], safe=""), len(found[2])), []).append(int(found[2]))
    parts = [f"{prefix}|{width}|{pack_ranges(numbers)}" for (prefix, width), numbers in groups.items()]
    return " ".join(parts + [f"={name}" for name in plain])


def unpack_names(text: str) -> list[str]:
    """The names packed by `pack_names`. Raises InvalidRecord for text in another format."""
    names: list[str] = []
    try:
        for part in text.split(" ") if text else ():
            if part.startswith("="):
                names.append(unquote(part[1:]))
                continue
            prefix, width, ranges = part.split("|")
            for piece in ranges.split(","):
                first, _, last = piece.partition("-")
                if int(last or first) - int(first) > MAX_NAMES_IN_RANGE:
                    raise ValueError("too many names in one range")
            prefix = unquote(prefix)
            names += [f"{prefix}{number:0{int(width)}d}" for number in unpack_ranges(ranges)]
    except ValueError as err:
        raise InvalidRecord(f"machine names: {err}") from None
    return names


def decode(value: bytes | msgspec.Raw) -> IntentRecord:
    """The intent record of a stored value. Raises InvalidRecord."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(f"intent record: {err}") from None


def encode(record: IntentRecord) -> bytes:
    """The value to be stored for an intent record."""
    return msgspec.json.encode(record)
