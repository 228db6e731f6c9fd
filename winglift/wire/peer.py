"""Frames of the link between controllers: packed by hand with struct.

A frame is a header (magic, type, request number, body length) and a body. Numbers are big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAGIC = 0x574C  # "WL"
HEADER = struct.Struct(">HBII")
MAX_FRAME = 128 * 1024  # bytes; a report or a record is at most 64 KiB
_STATE = struct.Struct(">QBB")
_STATUS = struct.Struct(">H")
_JOB = struct.Struct(">QH")
_COUNT = struct.Struct(">H")
_SIZE = struct.Struct(">f")


class FrameType(IntEnum):
    """What a frame between two nodes holds."""

    STATE = 1  # what a node knows: term, whether it leads, whether the state service answers it
    RELAY = 2  # a worker's report, handed to the leader
    RELAYED = 3  # the leader's answer to it
    JOB = 4  # a job record that is committed; with a request number it is answered (RELAYED)
    FLEET = 5  # what only the leader knows of machines, for those that may follow it
    PROOFS = 6  # which machines are proven free of which cancelled jobs


_KNOWN = frozenset(int(kind) for kind in FrameType)


class BadFrame(ValueError):
    """A frame that no sound peer would send."""


@dataclass(frozen=True, slots=True)
class Header:
    """The head of a frame: type, number of the request, length of the body."""

    type: FrameType | None  # None: one that a later version sends; its body is passed over
    request: int
    length: int


@dataclass(frozen=True, slots=True)
class PeerState:
    """What a node says of itself every PEER_STATE_INTERVAL_S."""

    term: int
    leads: bool
    state_ok: bool
    node: str


@dataclass(frozen=True, slots=True)
class JobNote:
    """A committed job record, told to another node."""

    version: int
    ref: str
    record: bytes


def frame(kind: FrameType, request: int, body: bytes) -> bytes:
    """A whole frame. Raises BadFrame if the body is too long."""
    if len(body) > MAX_FRAME:
        raise BadFrame("body too long")
    return HEADER.pack(MAGIC, kind, request, len(body)) + body


def parse_header(data: bytes) -> Header:
    """The head of a frame. Raises BadFrame."""
    if len(data) != HEADER.size:
        raise BadFrame("short header")
    magic, kind, request, length = HEADER.unpack(data)
    if magic != MAGIC or length > MAX_FRAME:
        raise BadFrame("not a winglift frame")
    return Header(FrameType(kind) if kind in _KNOWN else None, request, length)


def pack_state(state: PeerState) -> bytes:
    """The body of a STATE frame."""
    return _STATE.pack(state.term, state.leads, state.state_ok) + state.node.encode()


def parse_state(body: bytes) -> PeerState:
    """The reverse of `pack_state`. Raises BadFrame."""
    try:
        term, leads, state_ok = _STATE.unpack_from(body)
        return PeerState(term, bool(leads), bool(state_ok), body[_STATE.size :].decode())
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad state frame") from None


def pack_answer(status: int, body: bytes) -> bytes:
    """The body of a RELAYED frame: status and body of an answer."""
    return _STATUS.pack(status) + body


def parse_answer(body: bytes) -> tuple[int, bytes]:
    """The reverse of `pack_answer`. Raises BadFrame."""
    try:
        return _STATUS.unpack_from(body)[0], body[_STATUS.size :]
    except struct.error:
        raise BadFrame("bad answer frame") from None


@dataclass(frozen=True, slots=True)
class Fleet:
    """What a leader would take with it: images per machine (GB each), and seconds of silence of quiet machines."""

    images: dict[str, dict[str, float]]
    silent: dict[str, float]


def pack_fleet(fleet: Fleet, most: int = MAX_FRAME) -> tuple[bytes, int]:
    """The body, and how many machines' images it had no room for: silence is told of all, for rules rest on it."""
    silent = [_COUNT.pack(len(fleet.silent))]
    silent += [_pack_text(machine) + _SIZE.pack(seconds) for machine, seconds in fleet.silent.items()]
    left = most - _COUNT.size - sum(map(len, silent))
    images: list[bytes] = []
    for machine, held in fleet.images.items():
        part = b"".join(
            [
                _pack_text(machine),
                _COUNT.pack(len(held)),
                *(_pack_text(image) + _SIZE.pack(gb) for image, gb in held.items()),
            ]
        )
        if len(part) > left:
            break
        left -= len(part)
        images.append(part)
    return b"".join([_COUNT.pack(len(images)), *images, *silent]), len(fleet.images) - len(images)


def parse_fleet(body: bytes) -> Fleet:
    """The reverse of `pack_fleet`. Raises BadFrame."""
    found: dict[str, dict[str, float]] = {}
    silent: dict[str, float] = {}
    try:
        (machines,), at = _COUNT.unpack_from(body), _COUNT.size
        for _ in range(machines):
            machine, at = _parse_text(body, at)
            (count,) = _COUNT.unpack_from(body, at)
            at += _COUNT.size
            held = found.setdefault(machine, {})
            for _ in range(count):
                image, at = _parse_text(body, at)
                (held[image],) = _SIZE.unpack_from(body, at)
                at += _SIZE.size
        # A version that knew nothing of silence ends here.
        quiet = _COUNT.unpack_from(body, at)[0] if at < len(body) else 0
        at += _COUNT.size
        for _ in range(quiet):
            machine, at = _parse_text(body, at)
            (silent[machine],) = _SIZE.unpack_from(body, at)
            at += _SIZE.size
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad fleet frame") from None
    return Fleet(found, silent)


def _pack_text(text: str) -> bytes:
    data = text.encode()
    return _COUNT.pack(len(data)) + data


def _parse_text(body: bytes, at: int) -> tuple[str, int]:
    (size,) = _COUNT.unpack_from(body, at)
    data = body[at + _COUNT.size : at + _COUNT.size + size]
    if len(data) != size:
        raise BadFrame("short text")
    return data.decode(), at + _COUNT.size + size


def pack_proofs(proofs: list[tuple[str, str]]) -> bytes:
    """Job and machine; a job without a name: the machine is gone with all that was on it."""
    return _COUNT.pack(len(proofs)) + b"".join(_pack_text(ref) + _pack_text(machine) for ref, machine in proofs)


def parse_proofs(body: bytes) -> list[tuple[str, str]]:
    """The reverse of `pack_proofs`. Raises BadFrame."""
    try:
        (count,), at = _COUNT.unpack_from(body), _COUNT.size
        found: list[tuple[str, str]] = []
        for _ in range(count):
            ref, at = _parse_text(body, at)
            machine, at = _parse_text(body, at)
            found.append((ref, machine))
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad frame of proofs") from None
    return found


def pack_job(note: JobNote) -> bytes:
    """The body of a JOB frame."""
    ref = note.ref.encode()
    return _JOB.pack(note.version, len(ref)) + ref + note.record


def parse_job(body: bytes) -> JobNote:
    """The reverse of `pack_job`. Raises BadFrame."""
    try:
        version, size = _JOB.unpack_from(body)
        ref = body[_JOB.size : _JOB.size + size]
        if len(ref) != size:
            raise BadFrame("bad job frame")
        return JobNote(version, ref.decode(), body[_JOB.size + size :])
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad job frame") from None
