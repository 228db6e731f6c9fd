"""The intent record: pending external operations and failover hints for a successor, encoded as one value. Does no I/O.

Machine names share a prefix and a number of digits, so consecutive names are packed as ranges: `vm-000407` to
`vm-000423` become `vm-|6|407-423`. A settled rental stays in the record, with the machines that it provided, until
every list of the cloud must show them.
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
    """A rental in the intent record."""

    name: str
    type: int  # index in the record's `types`
    zone: int  # index in the record's `zones`
    spot: int
    count: int
    at_s: int  # time of the intent, in s after the record's `base_time`
    machines: str | None = None  # packed names of the machines that it provided; None: no answer is known


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
    """The stored value of the intent log. Times are times of day in s. A successor does without omitted fields."""

    base_time: float  # when the leader that wrote the record began its term
    term: int  # the term of that leader
    types: list[str] = []
    zones: list[str] = []
    rentals: list[RentalIntent] = []
    deletions: str = ""  # packed names of the machines that this or an earlier term intended to delete
    # The remaining fields are the failover hints.
    draining: dict[str, str] = {}  # machine being drained: reason
    capacity_refusals: list[tuple[str, str, bool, float]] = []  # type, zone, spot, time until which it is not retried
    next_migration_at: float = 0.0
    stopping_gangs: dict[str, int] = {}  # gang whose stop may not have reached all its workers: attempt to be stopped
    reserved_for_gangs: dict[str, tuple[float, str]] = {}  # gang: start of its reservation, and machines (packed)
    failed_on: dict[str, list[str]] = {}  # job suspected of being faulty: machines where it failed


_decoder = msgspec.json.Decoder(IntentRecord)


def pack_names(names: Iterable[str]) -> str:
    """Pack names that end with a number of at most 15 digits as ranges, and quote the others one by one."""
    groups: dict[tuple[str, int], list[int]] = {}
    other_names: list[str] = []
    for name in names:
        match = _NUMBERED.fullmatch(name)
        if match is None:
            other_names.append(quote(name, safe=""))
        else:
            groups.setdefault((quote(match[1], safe=""), len(match[2])), []).append(int(match[2]))
    parts = [f"{prefix}|{width}|{pack_ranges(numbers)}" for (prefix, width), numbers in groups.items()]
    return " ".join(parts + [f"={name}" for name in other_names])


def unpack_names(text: str) -> list[str]:
    """Unpack names packed by `pack_names`. Raises InvalidRecord if the text has another format."""
    names: list[str] = []
    try:
        for part in text.split(" ") if text else ():
            if part.startswith("="):
                names.append(unquote(part[1:]))
                continue
            prefix, width, ranges = part.split("|")
            for number_range in ranges.split(","):
                first, _, last = number_range.partition("-")
                if int(last or first) - int(first) > MAX_NAMES_IN_RANGE:
                    raise ValueError("too many names in one range")
            prefix = unquote(prefix)
            names += [f"{prefix}{number:0{int(width)}d}" for number in unpack_ranges(ranges)]
    except ValueError as err:
        raise InvalidRecord(f"machine names: {err}") from None
    return names


def decode(value: bytes | msgspec.Raw) -> IntentRecord:
    """Decode a stored intent record. Raises InvalidRecord."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(f"intent record: {err}") from None


def encode(record: IntentRecord) -> bytes:
    """Encode an intent record for storage."""
    return msgspec.json.encode(record)
