"""Frames of the connections between controller nodes (PROTOCOL, "Controller nodes <-> controller nodes").

A frame consists of a header (magic, type, request number, body length) and a body, packed with struct. All numbers are
big-endian.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from enum import IntEnum

MAGIC = 0x574C  # "WL"
HEADER = struct.Struct(">HBII")
MAX_FRAME = 128 * 1024  # bytes of a frame's body; reports and records are at most 64 KiB
_STATE = struct.Struct(">QBB")
_STATUS = struct.Struct(">H")
_JOB_HEADER = struct.Struct(">QH")
_UINT16 = struct.Struct(">H")
_FLOAT32 = struct.Struct(">f")


class FrameType(IntEnum):
    """The type of a frame, which says what its body contains."""

    PEER_STATE = 1  # heartbeat: a node's term, whether it leads, whether the state service answers it
    FORWARDED_REPORT = 2  # a worker's report, forwarded to the leader
    FORWARDED_ANSWER = 3  # the leader's answer to it
    JOB_RECORD = 4  # a committed job record; if it has a request number, a FORWARDED_ANSWER acknowledges it
    FLEET_SUMMARY = 5  # what only the leader knows about machines, for the node that leads next
    CANCELLATION_PROOFS = 6  # pairs of a cancelled job and a machine proven to run none of its tasks
    SYNCHRONIZED = 7  # the sender knows all confirmed cancellations and has sent them before this frame; no body


_KNOWN_TYPES = frozenset(int(frame_type) for frame_type in FrameType)


class BadFrame(ValueError):
    """A malformed frame, which no correct peer sends."""


@dataclass(frozen=True, slots=True)
class Header:
    """The header of a frame: type, request number (0: no answer expected), length of the body in bytes."""

    type: FrameType | None  # None: a type of a later version; the body is skipped
    request: int
    length: int


@dataclass(frozen=True, slots=True)
class PeerState:
    """Heartbeat of a node, sent every PEER_STATE_INTERVAL_S."""

    term: int
    leads: bool
    state_service_ok: bool
    node: str


@dataclass(frozen=True, slots=True)
class RecordAnnouncement:
    """A committed job record announced to another node."""

    version: int
    ref: str
    record: bytes


def frame(frame_type: FrameType, request: int, body: bytes) -> bytes:
    """Encode a frame from header fields and body. Raises BadFrame if the body is longer than MAX_FRAME."""
    if len(body) > MAX_FRAME:
        raise BadFrame("body too long")
    return HEADER.pack(MAGIC, frame_type, request, len(body)) + body


def parse_header(data: bytes) -> Header:
    """Decode a frame's header. Raises BadFrame."""
    if len(data) != HEADER.size:
        raise BadFrame("header too short")
    magic, type_number, request, length = HEADER.unpack(data)
    if magic != MAGIC or length > MAX_FRAME:
        raise BadFrame("wrong magic number, or body too long")
    return Header(FrameType(type_number) if type_number in _KNOWN_TYPES else None, request, length)


def pack_state(state: PeerState) -> bytes:
    """Encode the body of a PEER_STATE frame."""
    return _STATE.pack(state.term, state.leads, state.state_service_ok) + state.node.encode()


def parse_state(body: bytes) -> PeerState:
    """Decode the body of a PEER_STATE frame. Raises BadFrame."""
    try:
        term, leads, state_service_ok = _STATE.unpack_from(body)
        return PeerState(term, bool(leads), bool(state_service_ok), body[_STATE.size :].decode())
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("malformed PEER_STATE body") from None


def pack_answer(status: int, body: bytes) -> bytes:
    """Encode the body of a FORWARDED_ANSWER frame: HTTP status and body of the answer."""
    return _STATUS.pack(status) + body


def parse_answer(body: bytes) -> tuple[int, bytes]:
    """Decode the body of a FORWARDED_ANSWER frame. Raises BadFrame."""
    try:
        return _STATUS.unpack_from(body)[0], body[_STATUS.size :]
    except struct.error:
        raise BadFrame("malformed FORWARDED_ANSWER body") from None


@dataclass(frozen=True, slots=True)
class FleetSummary:
    """A leader's soft state: images per machine (GB each), and how long (s) each silent machine has not reported."""

    images: dict[str, dict[str, float]]
    silent: dict[str, float]


def pack_fleet(fleet: FleetSummary, max_bytes: int = MAX_FRAME) -> tuple[bytes, int]:
    """Encode the body of a FLEET_SUMMARY frame of at most `max_bytes` bytes.

    Returns the body and the number of machines whose images did not fit. All silent machines are included, since the
    rules for deleting machines depend on them.
    """
    silent = [_UINT16.pack(len(fleet.silent))]
    silent += [_pack_text(machine) + _FLOAT32.pack(seconds) for machine, seconds in fleet.silent.items()]
    bytes_left = max_bytes - _UINT16.size - sum(map(len, silent))
    images: list[bytes] = []
    for machine, images_gb in fleet.images.items():
        entry = b"".join(
            [
                _pack_text(machine),
                _UINT16.pack(len(images_gb)),
                *(_pack_text(image) + _FLOAT32.pack(gb) for image, gb in images_gb.items()),
            ]
        )
        if len(entry) > bytes_left:
            break
        bytes_left -= len(entry)
        images.append(entry)
    return b"".join([_UINT16.pack(len(images)), *images, *silent]), len(fleet.images) - len(images)


def parse_fleet(body: bytes) -> FleetSummary:
    """Decode the body of a FLEET_SUMMARY frame. Raises BadFrame."""
    images: dict[str, dict[str, float]] = {}
    silent: dict[str, float] = {}
    try:
        (machine_count,), offset = _UINT16.unpack_from(body), _UINT16.size
        for _ in range(machine_count):
            machine, offset = _parse_text(body, offset)
            (image_count,) = _UINT16.unpack_from(body, offset)
            offset += _UINT16.size
            images_gb = images.setdefault(machine, {})
            for _ in range(image_count):
                image, offset = _parse_text(body, offset)
                (images_gb[image],) = _FLOAT32.unpack_from(body, offset)
                offset += _FLOAT32.size
        # Frames of earlier versions stop at this point, without the silent machines.
        silent_count = _UINT16.unpack_from(body, offset)[0] if offset < len(body) else 0
        offset += _UINT16.size
        for _ in range(silent_count):
            machine, offset = _parse_text(body, offset)
            (silent[machine],) = _FLOAT32.unpack_from(body, offset)
            offset += _FLOAT32.size
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("malformed FLEET_SUMMARY body") from None
    return FleetSummary(images, silent)


def _pack_text(text: str) -> bytes:
    data = text.encode()
    return _UINT16.pack(len(data)) + data


def _parse_text(body: bytes, offset: int) -> tuple[str, int]:
    """Decode a text at `offset`; return it and the offset after it."""
    (length,) = _UINT16.unpack_from(body, offset)
    data = body[offset + _UINT16.size : offset + _UINT16.size + length]
    if len(data) != length:
        raise BadFrame("text is truncated")
    return data.decode(), offset + _UINT16.size + length


def pack_proofs(proofs: list[tuple[str, str]]) -> bytes:
    """Encode the body of a CANCELLATION_PROOFS frame: pairs of job id and machine.

    An empty job id means that the machine is deleted, so that no task runs on it.
    """
    return _UINT16.pack(len(proofs)) + b"".join(_pack_text(ref) + _pack_text(machine) for ref, machine in proofs)


def parse_proofs(body: bytes) -> list[tuple[str, str]]:
    """Decode the body of a CANCELLATION_PROOFS frame. Raises BadFrame."""
    try:
        (count,), offset = _UINT16.unpack_from(body), _UINT16.size
        proofs: list[tuple[str, str]] = []
        for _ in range(count):
            ref, offset = _parse_text(body, offset)
            machine, offset = _parse_text(body, offset)
            proofs.append((ref, machine))
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("malformed CANCELLATION_PROOFS body") from None
    return proofs


def pack_job(note: RecordAnnouncement) -> bytes:
    """Encode the body of a JOB_RECORD frame."""
    ref = note.ref.encode()
    return _JOB_HEADER.pack(note.version, len(ref)) + ref + note.record


def parse_job(body: bytes) -> RecordAnnouncement:
    """Decode the body of a JOB_RECORD frame. Raises BadFrame."""
    try:
        version, length = _JOB_HEADER.unpack_from(body)
        ref = body[_JOB_HEADER.size : _JOB_HEADER.size + length]
        if len(ref) != length:
            raise BadFrame("malformed JOB_RECORD body")
        return RecordAnnouncement(version, ref.decode(), body[_JOB_HEADER.size + length :])
    except (struct.error, UnicodeDecodeError):
        raise BadFrame("malformed JOB_RECORD body") from None
