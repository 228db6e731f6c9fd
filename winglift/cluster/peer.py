"""State that this node keeps about another controller node: last heartbeat, connection, pending requests."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from tornado.iostream import StreamClosedError

from .. import constants
from ..config.settings import Seed
from ..net.runtime import Stream
from ..wire import peer as peer_messages

OnAnswer = Callable[[tuple[int, bytes] | None], None]  # status and body; None if no answer arrived


class PendingRequest(NamedTuple):
    """A request that was sent to a peer and is not answered yet."""

    deadline: float  # monotonic time in seconds at which the request is given up
    on_answer: OnAnswer


@dataclass
class Peer:
    """Another controller node, its last heartbeat, and this node's connection to it. Times are monotonic seconds."""

    seed: Seed
    last_state: peer_messages.PeerState | None = None
    last_state_at: float = 0.0
    reachable_since: float = 0.0  # time since which heartbeats have arrived without a gap
    stream: Stream | None = None
    acknowledges_records: bool = False  # has answered an announced record, as earlier versions never do
    pending_requests: dict[int, PendingRequest] = field(default_factory=dict)  # by request number, in sending order

    def fresh(self, now: float) -> bool:
        """Whether its last heartbeat is younger than PEER_STATE_MAX_AGE_S."""
        return self.last_state is not None and now - self.last_state_at < constants.PEER_STATE_MAX_AGE_S

    def connected(self) -> bool:
        """Whether this node's connection to it is open."""
        return self.stream is not None and not self.stream.closed()

    def send(self, frame_type: peer_messages.FrameType, body: bytes) -> None:
        """Send a frame that needs no answer; it is lost if there is no connection."""
        if self.stream is None or self.stream.closed():
            return
        try:
            self.stream.write(peer_messages.frame(frame_type, 0, body))
        except (StreamClosedError, peer_messages.BadFrame):
            pass

    def expire_requests(self, now: float) -> None:
        """Remove the requests whose deadline is not after `now`, and report that they got no answer."""
        for number, request in list(self.pending_requests.items()):
            if request.deadline > now:
                break
            del self.pending_requests[number]
            request.on_answer(None)
