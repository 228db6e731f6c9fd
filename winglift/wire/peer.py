"""Frames of the connections between controller nodes (PROTOCOL, "Controller nodes <-> controller nodes").

A frame is a header (magic, type, request number, body length) and a body, packed with struct. Numbers are
big-endian.
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
    """What a frame between two nodes carries."""

    PEER_STATE = 1  # a node's term, whether it leads, whether the state service answers it
    FORWARDED_REPORT = 2  # a worker's report, forwarded to the leader
    FORWARDED_ANSWER = 3  # the leader's answer to it
    JOB_RECORD = 4  # a committed job record; with a request number it is acknowledged by a FORWARDED_ANSWER
    FLEET_SUMMARY = 5  # what only the leader knows of machines, for nodes that may lead after it
    CANCELLATION_PROOFS = 6  # which machines are proven to run no tasks of which cancelled jobs


_KNOWN = frozenset(int(kind) for kind in FrameType)


class BadFrame(ValueError):
    """A malformed frame, which no correct peer sends."""


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a frame: type, request number (0: no answer is expected), length of the body in bytes."""

    type: FrameType | None  # None: a type of a later version, whose body is skipped
    request: int
    length: int


@dataclass(frozen=True, slots=True)
class PeerState:
    """A node's state, sent every PEER_STATE_INTERVAL_S."""

    term: int
    leads: bool
    state_service_ok: bool
    node: str


@dataclass(frozen=True, slots=True)
class RecordAnnouncement:
    """A committed job record, sent to another node."""

    version: int
    ref: str
    record: bytes


def frame(kind: FrameType, request: int, body: bytes) -> bytes:
    """Header and body of a frame. Raises BadFrame if the body is longer than MAX_FRAME."""
    if len(body) > MAX_FRAME:
        raise BadFrame("body too long")
    return HEADER.pack(MAGIC, kind, request, len(body)) + body


def parse_header(data: bytes) -> Header:
    """Parse a frame's header. Raises BadFrame."""
    if len(data) != HEADER.size:
        raise BadFrame("short header")
    magic, kind, request, length = HEADER.unpack(data)
    if magic != MAGIC or length > MAX_FRAME:
        raise BadFrame("not a winglift frame")
    return Header(FrameType(kind) if kind in _KNOWN else None, request, length)


def pack_state(state: PeerState) -> bytes:
    """Encode the body of a PEER_STATE frame."""
    return _STATE.pack(state.term, state.leads, state.state_service_ok) + state.node.encode()


def parse_state(body: bytes) -> PeerState:
    """Decode the body of a PEER_STATE frame. Raises BadFrame."""
    try:
        term, leads, state_service_ok = _STATE.unpack_from(body)
        return PeerState(term, bool(leads), bool(state_service_ok), body[_STATE.size :].decode())
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad state frame") from None


def pack_answer(status: int, body: bytes) -> bytes:
    """Encode the body of a FORWARDED_ANSWER frame: HTTP status and body of an answer."""
    return _STATUS.pack(status) + body


def parse_answer(body: bytes) -> tuple[int, bytes]:
    """Decode the body of a FORWARDED_ANSWER frame. Raises BadFrame."""
    try:
        return _STATUS.unpack_from(body)[0], body[_STATUS.size :]
    except struct.error:
        raise BadFrame("bad answer frame") from None


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """A leader's soft state about machines: images per machine (GB each), and seconds of silence of silent machines."""

    images: dict[str, dict[str, float]]
    silent: dict[str, float]


def pack_fleet(fleet: FleetSummary, most: int = MAX_FRAME) -> tuple[bytes, int]:
    """Encode the body of a FLEET_SUMMARY frame of at most `most` bytes.

    Returns the body and the number of machines whose images did not fit. Silence is included for all machines, since
    the rules for deleting machines depend on it.
    """
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


def parse_fleet(body: bytes) -> FleetSummary:
    """Decode the body of a FLEET_SUMMARY frame. Raises BadFrame."""
    images: dict[str, dict[str, float]] = {}
    silent: dict[str, float] = {}
    try:
        (machine_count,), offset = _COUNT.unpack_from(body), _COUNT.size
        for _ in range(machine_count):
            machine, offset = _parse_text(body, offset)
            (image_count,) = _COUNT.unpack_from(body, offset)
            offset += _COUNT.size
            held = images.setdefault(machine, {})
            for _ in range(image_count):
                image, offset = _parse_text(body, offset)
                (held[image],) = _SIZE.unpack_from(body, offset)
                offset += _SIZE.size
        # Frames of earlier versions stop at this point, without the silent machines.
        silent_count = _COUNT.unpack_from(body, offset)[0] if offset < len(body) else 0
        offset += _COUNT.size
        for _ in range(silent_count):
            machine, offset = _parse_text(body, offset)
            (silent[machine],) = _SIZE.unpack_from(body, offset)
            offset += _SIZE.size
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad fleet frame") from None
    return FleetSummary(images, silent)


def _pack_text(text: str) -> bytes:
    data = text.encode()
    return _COUNT.pack(len(data)) + data


def _parse_text(body: bytes, offset: int) -> tuple[str, int]:
    """Read a text at `offset`; returns it and the offset after it."""
    (size,) = _COUNT.unpack_from(body, offset)
    data = body[offset + _COUNT.size : offset + _COUNT.size + size]
    if len(data) != size:
        raise BadFrame("short text")
    return data.decode(), offset + _COUNT.size + size


def pack_proofs(proofs: list[tuple[str, str]]) -> bytes:
    """Encode the body of a CANCELLATION_PROOFS frame: pairs of job and machine.

    An empty job id means that the machine is gone, with all tasks on it.
    """
    return _COUNT.pack(len(proofs)) + b"".join(_pack_text(ref) + _pack_text(machine) for ref, machine in proofs)


def parse_proofs(body: bytes) -> list[tuple[str, str]]:
    """Decode the body of a CANCELLATION_PROOFS frame. Raises BadFrame."""
    try:
        (count,), offset = _COUNT.unpack_from(body), _COUNT.size
        proofs: list[tuple[str, str]] = []
        for _ in range(count):
            ref, offset = _parse_text(body, offset)
            machine, offset = _parse_text(body, offset)
            proofs.append((ref, machine))
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad frame of proofs") from None
    return proofs


def pack_job(note: RecordAnnouncement) -> bytes:
    """Encode the body of a JOB_RECORD frame."""
    ref = note.ref.encode()
    return _JOB.pack(note.version, len(ref)) + ref + note.record


def parse_job(body: bytes) -> RecordAnnouncement:
    """Decode the body of a JOB_RECORD frame. Raises BadFrame."""
    try:
        version, size = _JOB.unpack_from(body)
        ref = body[_JOB.size : _JOB.size + size]
        if len(ref) != size:
            raise BadFrame("bad job frame")
        return RecordAnnouncement(version, ref.decode(), body[_JOB.size + size :])
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("bad job frame") from None
