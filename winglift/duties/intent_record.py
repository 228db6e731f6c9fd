"""The book's page: effects under way, and moments that a successor should know, packed into one value. Pure.

Machine names share a beginning and a width, so runs of them are packed as ranges: `vm-000407` to `vm-000423` are
`vm-|6|407-423`. A rental that is over keeps the machines that it brought until every list must show them.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from urllib.parse import quote, unquote

import msgspec

from ..model.records import InvalidRecord, pack_ranges, unpack_ranges

INTENT_LOG_KEY = "duty"  # the key of the book
MAX_NAMES_IN_RANGE = 100_000  # machines in one range; more is not this program's writing

_NUMBERED = re.compile(r"(.*?)([0-9]{1,15})")


class RentalIntent(msgspec.Struct, frozen=True, array_like=True):
    """A rental as the book holds it."""

    name: str
    type: int  # place in `types`
    zone: int  # place in `zones`
    spot: int
    count: int
    at_s: int  # of the intent, after the page's `base`
    machines: str | None = None  # what it brought, packed; None: no answer is known


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
    """All times are times of day. What is missing is not known, and begins anew."""

    base_time: float  # since this holder began
    term: int  # of the holder that wrote it
    types: list[str] = []
    zones: list[str] = []
    rentals: list[RentalIntent] = []
    deletions: str = ""  # machines that some term has intended to delete, packed
    draining: dict[str, str] = {}  # machine being emptied: why
    capacity_refusals: list[tuple[str, str, bool, float]] = []  # type, zone, spot, until
    next_migration_at: float = 0.0
    stopping_gangs: dict[str, int] = {}  # gang told to stop, of which parts may not have heard it: the attempt
    reserved_for_gangs: dict[str, tuple[float, str]] = {}  # gang: since when room is being made for it, and where
    failed_on: dict[str, list[str]] = {}  # job that looks mistaken: machines where it failed


_decoder = msgspec.json.Decoder(IntentRecord)


def pack_names(names: Iterable[str]) -> str:
    """Names as ranges where they end with a number of at most 15 digits; the others stand as they are."""
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
    """Raises BadRecord for what `pack_names` does not write."""
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
    """The page of a stored value. Raises BadRecord."""
    try:
        return _decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        raise InvalidRecord(f"the book of duties: {err}") from None


def encode(record: IntentRecord) -> bytes:
    """The value to be stored."""
    return msgspec.json.encode(record)
