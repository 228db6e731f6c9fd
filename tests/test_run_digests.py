"""What the nodes send in some simulated runs is byte for byte what the data file says: see `run_digests.py`."""

from __future__ import annotations

import pytest
from run_digests import CHECKPOINT_S, RUNS, Recorder, RunDigest, difference, load_expected, run_in_child

from standins.network import SentMessage


@pytest.mark.parametrize("name", RUNS)
def test_nodes_send_the_same_bytes_as_before(name):
    departure = difference(name, load_expected()[name], run_in_child(name))
    assert not departure, f"{departure}. If this is intended, run_digests.py says how to rewrite the digests."


def test_the_data_file_has_exactly_these_runs():
    assert list(load_expected()) == list(RUNS)


def digest_of(*messages: SentMessage) -> RunDigest:
    recorder = Recorder()
    for message in messages:
        recorder.record(message)
    recorder.advance(3 * CHECKPOINT_S)
    return recorder.result()


def test_each_part_of_a_message_is_in_the_digest():
    first, second = (
        SentMessage(1.0, "node-0", "services", "POST /commit", b"a"),
        SentMessage(12.0, "node-1", "users", "answer", b"b"),
    )
    digest = digest_of(first, second)
    assert digest_of(first, second) == digest
    assert digest_of(first, SentMessage(13.0, "vm-1", "node-0", "POST /v1/report", b""), second) == digest
    for other in (
        SentMessage(12.5, "node-1", "users", "answer", b"b"),
        SentMessage(12.0, "node-2", "users", "answer", b"b"),
        SentMessage(12.0, "node-1", "vm-1", "answer", b"b"),
        SentMessage(12.0, "node-1", "users", "answer 503", b"b"),
        SentMessage(12.0, "node-1", "users", "answer", b"c"),
    ):
        assert "departs between 10 and 20 simulated seconds" in difference("r", digest, digest_of(first, other))
    assert "departs between 0 and 10 " in difference("r", digest, digest_of(second, first))
