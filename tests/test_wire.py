"""Formats under generated inputs: what is valid survives, what is not is named, and nothing else escapes."""

from __future__ import annotations

import json

import pytest
from helpers import WIRE, spec
from hypothesis import given
from hypothesis import strategies as st

from winglift.model import records
from winglift.model.job import DoneSet
from winglift.wire import back, users, workers

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def test_a_sound_submission_is_understood():
    sub = users.parse_submission(json.dumps(WIRE | {"novel": 1}).encode())
    assert (sub.ref, sub.kind, sub.tasks, sub.due_s, sub.zone) == ("wk-000412", users.Kind.ARRAY, 3, 900.0, None)
    without = {k: v for k, v in WIRE.items() if v is not None}
    assert users.parse_submission(json.dumps(without).encode()) == sub


@given(st.sampled_from(sorted(set(WIRE) - {"rigTypes", "hall", "dueS"})))
def test_a_missing_field_is_named(field):
    with pytest.raises(users.Invalid, match=field):
        users.parse_submission(json.dumps({k: v for k, v in WIRE.items() if k != field}).encode())


NUMBERS = ["cpus", "gpus", "memGb", "pullGb", "expectedS", "snapshotEveryS", "snapshotS", "dueS", "pieces"]


@given(st.sampled_from(NUMBERS), st.sampled_from(["-1", "-0.5", "1e999", '"3"', "[]", "true", "1e300"]))
def test_an_amount_out_of_range_is_named(field, text):
    body = json.dumps(WIRE | {field: "@"}).replace('"@"', text).encode()
    with pytest.raises(users.Invalid, match=field if text != "1e999" else r"\$|range|finite|[a-z]"):
        users.parse_submission(body)


@given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
def test_noise_is_invalid_and_nothing_else(body):
    for parse in (users.parse_submission, workers.parse_report):
        with pytest.raises(users.Invalid):
            parse(body)


@pytest.mark.parametrize("ref", ["wk-", "wk-1a", "job-1", "wk-1 ", "wk-1\n", "wk-" + "1" * 40, ""])
def test_an_odd_id_is_refused(ref):
    assert not users.is_ref(ref)
    with pytest.raises(users.Invalid, match="ref"):
        users.parse_submission(json.dumps(WIRE | {"ref": ref}).encode())


@given(st.integers(0, 2**64 - 1), st.booleans(), st.booleans(), st.text(max_size=20))
def test_state_frames_survive(term, leads, ok, node):
    state = back.PeerState(term, leads, ok, node)
    assert back.parse_state(back.pack_state(state)) == state


@given(st.integers(0, 2**64 - 1), st.text(max_size=20), st.binary(max_size=200))
def test_job_frames_survive(version, ref, record):
    note = back.JobNote(version, ref, record)
    data = back.frame(back.FrameType.JOB, 7, back.pack_job(note))
    header = back.parse_header(data[: back.HEADER.size])
    assert (header.type, header.request) == (back.FrameType.JOB, 7)
    assert back.parse_job(data[back.HEADER.size :][: header.length]) == note


SIZES = st.dictionaries(st.text(max_size=9), st.floats(0, 100, width=32))


@given(st.dictionaries(st.text(max_size=9), SIZES), SIZES)
def test_what_is_told_of_the_fleet_survives(images, silent):
    """Also as an earlier version told it, which knew nothing of silence."""
    before = back.pack_fleet(back.Fleet(images, {}))[0][:-2]
    assert back.parse_fleet(before) == back.Fleet(images, {})
    assert back.parse_fleet(back.pack_fleet(back.Fleet(images, silent))[0]) == back.Fleet(images, silent)


@pytest.mark.parametrize("machines", [50, 970, 2000])
def test_what_is_told_of_a_fleet_of_any_size_fits_a_frame(machines):
    """At 970 machines of ten images each the word of them was too long for a frame, and was dropped without a word."""
    names = [f"vm-{n:06d}" for n in range(machines)]
    fleet = back.Fleet(
        {name: {f"image-of-class-{n}": 6.0 for n in range(10)} for name in names}, dict.fromkeys(names, 7.5)
    )
    body, left_out = back.pack_fleet(fleet)
    assert len(back.frame(back.FrameType.FLEET, 0, body)) <= back.MAX_FRAME + back.HEADER.size
    told = back.parse_fleet(body)
    assert told.silent == fleet.silent  # of every machine: it is what silence is judged by
    assert told.images == {name: fleet.images[name] for name in names[: machines - left_out]}
    assert (left_out > 0) == (machines > 50)


@given(st.binary(max_size=40))
def test_noise_on_the_back_link_is_a_bad_frame(data):
    for parse in (
        back.parse_header,
        back.parse_state,
        back.parse_job,
        back.parse_answer,
        back.parse_fleet,
        back.parse_proofs,
    ):
        try:
            parse(data)
        except back.BadFrame:
            continue


@given(st.lists(st.tuples(st.text(max_size=20), st.text(max_size=20)), max_size=30), st.integers(0, 200))
def test_proofs_survive_their_frame_and_a_short_one_is_refused(proofs, short):
    body = back.pack_proofs(proofs)
    assert back.parse_proofs(body) == proofs
    if 0 < short < len(body) and proofs:
        with pytest.raises(back.BadFrame):
            back.parse_proofs(body[:-short])


@given(st.integers(0, 255), st.integers(0, 2**32 - 1), st.integers(0, back.MAX_FRAME))
def test_a_frame_of_a_later_version_has_a_length_and_no_type(kind, request, length):
    header = back.parse_header(back.HEADER.pack(back.MAGIC, kind, request, length))
    assert (header.request, header.length) == (request, length)
    assert header.type is None or header.type == kind
    assert (header.type is None) == (kind not in {int(known) for known in back.FrameType})


@given(st.sets(st.integers(0, 3000), min_size=1))
def test_ranges_survive(numbers):
    assert set(records.unpack_ranges(records.pack_ranges(sorted(numbers)))) == numbers


@given(st.integers(1, 100_000), st.sets(st.integers(0, 1500)))
def test_the_done_set_survives_its_record(count, done):
    numbers = DoneSet(count)
    for number in done:
        if number < count:
            numbers.add(number)
    low, bits = records.pack_done(numbers)
    again = records.unpack_done(count, low, bits)
    assert (again.low, again.above) == (numbers.low, numbers.above)


def test_the_largest_job_fits_into_one_value():
    """100,000 tasks are a valid job: its record must fit the smaller of the known value limits (4 KiB)."""
    done = DoneSet(100_000)
    for number in range(1, 2000, 2):
        done.add(number)
    low, bits = records.pack_done(done)
    places = [(f"vm-{i:06d}", i, records.pack_ranges([2 * i, 2 * i + 40])) for i in range(60)]
    record = records.JobRecord(submitted=1e9, spec=spec(tasks=100_000), low=low, bits=bits, places=places)
    assert len(records.encode(record)) < 4096
    assert records.done_count(record) == 1000 and records.held_count(record) == 120


@given(st.binary(max_size=100))
def test_a_foreign_record_is_a_bad_record(value):
    with pytest.raises(records.BadRecord):
        records.unpack(records.decode(value))
