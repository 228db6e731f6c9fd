"""Another controller node as this one knows it: its last heartbeat, the connection to it, requests under way."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from .. import constants
from ..config.settings import Seed
from ..net.runtime import Stream
from ..wire import peer as peer_messages

OnAnswer = Callable[[tuple[int, bytes] | None], None]  # status and body; None: there is no answer


class PendingRequest(NamedTuple):
    """A request sent to a peer and not answered yet."""

    deadline: float  # monotonic time in seconds after which no answer is waited for
    on_answer: OnAnswer


@dataclass
class Peer:
    """Another controller node, its last heartbeat, and this node's connection to it. Times are monotonic seconds."""

    seed: Seed
    last_state: peer_messages.PeerState | None = None
    last_state_at: float = 0.0
    reachable_since: float = 0.0  # heartbeats have arrived without a gap since then
    stream: Stream | None = None
    acknowledges_records: bool = False  # it has answered an announced record: an earlier version never does
    pending_requests: dict[int, PendingRequest] = field(default_factory=dict)  # by request number, in order of sending

    def fresh(self, now: float) -> bool:
        """Whether its last heartbeat is younger than PEER_STATE_MAX_AGE_S."""
        return self.last_state is not None and now - self.last_state_at < constants.PEER_STATE_MAX_AGE_S
