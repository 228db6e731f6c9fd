"""The machines' image caches, stored in a few records of the state service, each within its size limit.

Workers don't report their images, so the leader tracks their caches. Without these records that knowledge was lost when
all nodes ended at once.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from zlib import crc32

import msgspec

from .. import constants

PREFIX = "image/"


class ImageCacheRecord(msgspec.Struct, frozen=True, rename={"names": "n", "sizes": "g", "cached": "m"}):
    """Image caches of some machines.

    `names` and `sizes` (GB) list the images; `cached` holds each machine's images as indices into them, the least
    recently used first.
    """

    names: list[str]
    sizes: list[float]
    cached: dict[str, list[int]]


_decoder = msgspec.json.Decoder(ImageCacheRecord)


def record_number(machine: str) -> int:
    """The number of the record that holds a machine's images. Every leader computes the same number."""
    return crc32(machine.encode()) % constants.IMAGE_CACHE_RECORDS


def pack(images: Mapping[str, Mapping[str, float]], max_bytes: int) -> dict[str, bytes]:
    """The records by key, of at most `max_bytes` each.

    Where the images of a record's machines don't fit, the least recently used ones are left out.
    """
    records: dict[int, dict[str, list[tuple[str, float]]]] = defaultdict(dict)
    for machine in sorted(images):
        records[record_number(machine)][machine] = list(images[machine].items())
    values = {}
    for number, caches in records.items():
        value = _encode(caches)
        while len(value) > max_bytes and any(caches.values()):
            most_images = max(len(cache) for cache in caches.values())
            caches = {machine: cache[1:] if len(cache) == most_images else cache for machine, cache in caches.items()}
            value = _encode(caches)
        if len(value) <= max_bytes:
            values[f"{PREFIX}{number}"] = value
    return values


def _encode(caches: Mapping[str, list[tuple[str, float]]]) -> bytes:
    sizes: dict[str, float] = {}
    for cache in caches.values():
        sizes.update(cache)
    index_of = {name: index for index, name in enumerate(sizes)}
    cached = {machine: [index_of[name] for name, _ in cache] for machine, cache in caches.items() if cache}
    return msgspec.json.encode(ImageCacheRecord(list(sizes), [round(size, 3) for size in sizes.values()], cached))


def unpack(values: Iterable[bytes | msgspec.Raw]) -> dict[str, dict[str, float]]:
    """Each machine's images and their sizes in GB.

    Values that can't be decoded are skipped, as the caches are only a hint.
    """
    images: dict[str, dict[str, float]] = {}
    for value in values:
        try:
            record = _decoder.decode(value)
            for machine, indices in record.cached.items():
                images[machine] = {record.names[i]: record.sizes[i] for i in indices}
        except (msgspec.DecodeError, UnicodeDecodeError, IndexError):
            continue
    return images
