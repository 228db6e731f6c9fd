"""Wire formats under generated inputs: valid messages round-trip, invalid ones raise only the documented error."""

from __future__ import annotations

import json

import pytest
from helpers import SUBMISSION_JSON, spec
from hypothesis import given
from hypothesis import strategies as st

from winglift.model import records
from winglift.model.job_state import CompletedTasks
from winglift.wire import peer as peer_messages
from winglift.wire import users as user_messages
from winglift.wire import workers as worker_messages

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=8,
)


def test_valid_submission_is_parsed():
    sub = user_messages.parse_submission(json.dumps(SUBMISSION_JSON | {"novel": 1}).encode())
    assert (sub.ref, sub.kind, sub.tasks, sub.due_s, sub.zone) == (
        "wk-000412",
        user_messages.Kind.ARRAY,
        3,
        900.0,
        None,
    )
    without = {k: v for k, v in SUBMISSION_JSON.items() if v is not None}
    assert user_messages.parse_submission(json.dumps(without).encode()) == sub


@given(st.sampled_from(sorted(set(SUBMISSION_JSON) - {"rigTypes", "hall", "dueS"})))
def test_a_missing_field_is_named(field):
    with pytest.raises(user_messages.InvalidMessage, match=field):
        user_messages.parse_submission(json.dumps({k: v for k, v in SUBMISSION_JSON.items() if k != field}).encode())


NUMBERS = ["cpus", "gpus", "memGb", "pullGb", "expectedS", "snapshotEveryS", "snapshotS", "dueS", "pieces"]


@given(st.sampled_from(NUMBERS), st.sampled_from(["-1", "-0.5", "1e999", '"3"', "[]", "true", "1e300"]))
def test_an_amount_out_of_range_is_named(field, text):
    body = json.dumps(SUBMISSION_JSON | {field: "@"}).replace('"@"', text).encode()
    with pytest.raises(user_messages.InvalidMessage, match=field if text != "1e999" else r"\$|range|finite|[a-z]"):
        user_messages.parse_submission(body)


@given(st.binary(max_size=200) | JSON.map(lambda v: json.dumps(v).encode()))
def test_random_input_raises_only_invalid(body):
    for parse in (user_messages.parse_submission, worker_messages.parse_report):
        with pytest.raises(user_messages.InvalidMessage):
            parse(body)


@pytest.mark.parametrize("ref", ["wk-", "wk-1a", "job-1", "wk-1 ", "wk-1\n", "wk-" + "1" * 40, ""])
def test_malformed_job_id_is_refused(ref):
    assert not user_messages.is_job_ref(ref)
    with pytest.raises(user_messages.InvalidMessage, match="ref"):
        user_messages.parse_submission(json.dumps(SUBMISSION_JSON | {"ref": ref}).encode())


@given(st.integers(0, 2**64 - 1), st.booleans(), st.booleans(), st.text(max_size=20))
def test_peer_state_frames_round_trip(term, leads, ok, node):
    state = peer_messages.PeerState(term, leads, ok, node)
    assert peer_messages.parse_state(peer_messages.pack_state(state)) == state


@given(st.integers(0, 2**64 - 1), st.text(max_size=20), st.binary(max_size=200))
def test_job_record_frames_round_trip(version, ref, record):
    note = peer_messages.RecordAnnouncement(version, ref, record)
    data = peer_messages.frame(peer_messages.FrameType.JOB_RECORD, 7, peer_messages.pack_job(note))
    header = peer_messages.parse_header(data[: peer_messages.HEADER.size])
    assert (header.type, header.request) == (peer_messages.FrameType.JOB_RECORD, 7)
    assert peer_messages.parse_job(data[peer_messages.HEADER.size :][: header.length]) == note


SIZES = st.dictionaries(st.text(max_size=9), st.floats(0, 100, width=32))


@given(st.dictionaries(st.text(max_size=9), SIZES), SIZES)
def test_fleet_summaries_round_trip(images, silent):
    """Including the format of earlier versions, which lacks the silent machines."""
    earlier_format = peer_messages.pack_fleet(peer_messages.FleetSummary(images, {}))[0][:-2]
    assert peer_messages.parse_fleet(earlier_format) == peer_messages.FleetSummary(images, {})
    assert peer_messages.parse_fleet(
        peer_messages.pack_fleet(peer_messages.FleetSummary(images, silent))[0]
    ) == peer_messages.FleetSummary(images, silent)


@pytest.mark.parametrize("machines", [50, 970, 2000])
def test_fleet_summary_of_any_size_fits_into_a_frame(machines):
    """With 970 machines of ten images each, the summary was too long for a frame and was dropped silently."""
    names = [f"vm-{n:06d}" for n in range(machines)]
    fleet = peer_messages.FleetSummary(
        {name: {f"image-of-class-{n}": 6.0 for n in range(10)} for name in names}, dict.fromkeys(names, 7.5)
    )
    body, omitted = peer_messages.pack_fleet(fleet)
    assert (
        len(peer_messages.frame(peer_messages.FrameType.FLEET_SUMMARY, 0, body))
        <= peer_messages.MAX_FRAME + peer_messages.HEADER.size
    )
    parsed = peer_messages.parse_fleet(body)
    assert parsed.silent == fleet.silent  # includes all machines: the rules for deletions depend on it
    assert parsed.images == {name: fleet.images[name] for name in names[: machines - omitted]}
    assert (omitted > 0) == (machines > 50)


@given(st.binary(max_size=40))
def test_random_frames_raise_only_bad_frame(data):
    for parse in (
        peer_messages.parse_header,
        peer_messages.parse_state,
        peer_messages.parse_job,
        peer_messages.parse_answer,
        peer_messages.parse_fleet,
        peer_messages.parse_proofs,
    ):
        try:
            parse(data)
        except peer_messages.BadFrame:
            continue


@given(st.lists(st.tuples(st.text(max_size=20), st.text(max_size=20)), max_size=30), st.integers(0, 200))
def test_cancellation_proofs_round_trip_and_a_truncated_frame_is_refused(proofs, short):
    body = peer_messages.pack_proofs(proofs)
    assert peer_messages.parse_proofs(body) == proofs
    if 0 < short < len(body) and proofs:
        with pytest.raises(peer_messages.BadFrame):
            peer_messages.parse_proofs(body[:-short])


@given(st.integers(0, 255), st.integers(0, 2**32 - 1), st.integers(0, peer_messages.MAX_FRAME))
def test_frame_of_a_later_version_has_a_length_and_no_type(kind, request, length):
    header = peer_messages.parse_header(peer_messages.HEADER.pack(peer_messages.MAGIC, kind, request, length))
    assert (header.request, header.length) == (request, length)
    assert header.type is None or header.type == kind
    assert (header.type is None) == (kind not in {int(known) for known in peer_messages.FrameType})


@given(st.sets(st.integers(0, 3000), min_size=1))
def test_ranges_round_trip(numbers):
    assert set(records.unpack_ranges(records.pack_ranges(sorted(numbers)))) == numbers


@given(st.integers(1, 100_000), st.sets(st.integers(0, 1500)))
def test_completed_tasks_round_trip_through_a_record(count, done):
    numbers = CompletedTasks(count)
    for number in done:
        if number < count:
            numbers.add(number)
    first_open, bitmap = records.pack_done(numbers)
    unpacked = records.unpack_done(count, first_open, bitmap)
    assert (unpacked.first_open, unpacked.above) == (numbers.first_open, numbers.above)


def test_the_largest_job_fits_into_one_value():
    """A job may have 100,000 tasks; its record must fit the smaller of the known value limits (4 KiB)."""
    done = CompletedTasks(100_000)
    for number in range(1, 2000, 2):
        done.add(number)
    first_open, bitmap = records.pack_done(done)
    assignments = [(f"vm-{i:06d}", i, records.pack_ranges([2 * i, 2 * i + 40])) for i in range(60)]
    record = records.JobRecord(
        submitted_at=1e9, spec=spec(tasks=100_000), first_open=first_open, done_bitmap=bitmap, assignments=assignments
    )
    assert len(records.encode(record)) < 4096
    assert records.done_count(record) == 1000 and records.assigned_count(record) == 120


@given(st.binary(max_size=100))
def test_a_malformed_record_raises_invalid_record(value):
    with pytest.raises(records.InvalidRecord):
        records.unpack(records.decode(value))
