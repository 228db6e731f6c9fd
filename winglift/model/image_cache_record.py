"""The machines' image caches as records of the state service, a few values within its size limit.

Workers don't report their images: the leader follows their caches, and all of it was lost when all nodes ended at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from zlib import crc32

import msgspec

from .. import constants

PREFIX = "image/"


class ImageCacheRecord(msgspec.Struct, frozen=True, rename={"names": "n", "sizes": "g", "cached": "m"}):
    """`names` and `sizes` (GB) of images; `cached`: each machine's images as indexes, least recently used first."""

    names: list[str]
    sizes: list[float]
    cached: dict[str, list[int]]


_decoder = msgspec.json.Decoder(ImageCacheRecord)


def record_number(machine: str) -> int:
    """The number of the record that holds a machine: the same for every leader, so that a record has one key."""
    return crc32(machine.encode()) % constants.IMAGE_CACHE_RECORDS


def pack(images: Mapping[str, Mapping[str, float]], max_bytes: int) -> dict[str, bytes]:
    """Key and value of every record, of at most `max_bytes` each; the least recently used images are left out."""
    records: dict[int, dict[str, list[tuple[str, float]]]] = defaultdict(dict)
    for machine in sorted(images):
        records[record_number(machine)][machine] = list(images[machine].items())
    values = {}
    for number, held in records.items():
        value = _encode(held)
        while len(value) > max_bytes and any(held.values()):
            longest = max(len(own) for own in held.values())
            held = {machine: own[1:] if len(own) == longest else own for machine, own in held.items()}
            value = _encode(held)
        if len(value) <= max_bytes:
            values[f"{PREFIX}{number}"] = value
    return values


def _encode(held: Mapping[str, list[tuple[str, float]]]) -> bytes:
    sizes: dict[str, float] = {}
    for own in held.values():
        sizes.update(own)
    index_of = {name: number for number, name in enumerate(sizes)}
    cached = {machine: [index_of[name] for name, _ in own] for machine, own in held.items() if own}
    return msgspec.json.encode(ImageCacheRecord(list(sizes), [round(size, 3) for size in sizes.values()], cached))


def unpack(values: Iterable[bytes | msgspec.Raw]) -> dict[str, dict[str, float]]:
    """Machine: its images and their sizes in GB. Values that can't be decoded are skipped: caches are only a hint."""
    images: dict[str, dict[str, float]] = {}
    for value in values:
        try:
            record = _decoder.decode(value)
            for machine, held in record.cached.items():
                images[machine] = {record.names[i]: record.sizes[i] for i in held}
        except (msgspec.DecodeError, UnicodeDecodeError, IndexError):
            continue
    return images
