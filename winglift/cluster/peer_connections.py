"""The `back` link: controllers tell one another what they know and hand reports to the leader."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError

from .. import constants
from ..config.settings import Seed, parse_addr
from ..net.runtime import Stream, current_runtime, monotonic_time
from ..wire import peer as peer_messages

log = logging.getLogger(__name__)


OnAnswer = Callable[[tuple[int, bytes] | None], None]  # status and body; None: there is no answer


@dataclass
class Peer:
    seed: Seed
    last_state: peer_messages.PeerState | None = None
    last_state_at: float = 0.0
    reachable_since: float = 0.0  # heard without a gap since then
    stream: Stream | None = None
    answers: bool = False  # it has answered a word about a record: one of an earlier version never does
    # Reports handed over: until when an answer is waited for, and who is told; in the order of handing over.
    waiting: dict[int, tuple[float, OnAnswer]] = field(default_factory=dict)

    def fresh(self, now: float) -> bool:
        return self.last_state is not None and now - self.last_state_at < constants.PEER_FRESH_S


class PeerConnections:
    def __init__(
        self,
        node: str,
        seeds: list[Seed],
        mine: Callable[[], peer_messages.PeerState],
        on_relay: Callable[[bytes], tuple[int, bytes]],
        on_job: Callable[[peer_messages.JobNote], int],
        on_state: Callable[[peer_messages.PeerState], None],
        on_gone: Callable[[str], None],
        on_link: Callable[[str], None],
        on_proofs: Callable[[list[tuple[str, str]]], None],
    ) -> None:
        self.node = node
        self.by_node = {s.node: Peer(s) for s in seeds if s.node != node}
        self._mine = mine
        self._on_relay = on_relay
        self._on_job = on_job
        self._on_state = on_state
        self._on_gone = on_gone
        self._on_link = on_link  # a connection to this node has been made: it may be another process
        self._on_proofs = on_proofs
        self._fleet: peer_messages.Fleet | bytes = peer_messages.Fleet(
            {}, {}
        )  # what a leader last told about its machines,
        self.fleet_at = 0.0  # and when
        self._left_out = 0  # machines whose images did not fit into the last word of them
        self._sweeping = False
        self._request = 0
        self._keepers: list[asyncio.Task] = []
        self._stop_listening: Callable[[], None] | None = None

    # -- what the peers say --------------------------------------------------------------------

    def leader(self, now: float) -> Peer | None:
        found: Peer | None = None
        for peer in self.by_node.values():
            if (
                peer.last_state is not None
                and peer.last_state.leads
                and peer.fresh(now)
                and (found is None or found.last_state is None or peer.last_state.term > found.last_state.term)
            ):
                found = peer
        return found

    def connected(self, but: str = "") -> bool:
        """Is there an open connection to any other node?"""
        return any(p.stream is not None and not p.stream.closed() for n, p in self.by_node.items() if n != but)

    def hears_anyone(self, now: float) -> bool:
        return any(p.fresh(now) for p in self.by_node.values())

    def hears_all(self, now: float) -> bool:
        return all(p.fresh(now) for p in self.by_node.values())

    def in_zone(self, zone: str, now: float) -> str | None:
        """A node there that has been heard of steadily and just now."""
        found = [
            p.seed.node
            for p in self.by_node.values()
            if p.seed.zone == zone and p.fresh(now) and now - p.reachable_since > constants.PEER_REACHABLE_S
        ]
        return min(found, default=None)

    def term(self) -> int:
        return max((p.last_state.term for p in self.by_node.values() if p.last_state), default=0)

    def state_works_elsewhere(self, now: float) -> bool:
        return any(p.fresh(now) and p.last_state is not None and p.last_state.state_ok for p in self.by_node.values())

    # -- serving -------------------------------------------------------------------------------

    async def _serve(self, stream: Stream, address: tuple) -> None:
        stream.set_nodelay(True)
        try:
            while True:
                header, body = await self._read(stream)
                if header.type is peer_messages.FrameType.PEER_STATE:
                    self._heard(peer_messages.parse_state(body))
                elif header.type is peer_messages.FrameType.JOB_RECORD:
                    status = self._on_job(peer_messages.parse_job(body))
                    if header.request:
                        stream.write(
                            peer_messages.frame(
                                peer_messages.FrameType.FORWARDED_ANSWER,
                                header.request,
                                peer_messages.pack_answer(status, b""),
                            )
                        )
                elif header.type is peer_messages.FrameType.CANCELLATION_PROOFS:
                    self._on_proofs(peer_messages.parse_proofs(body))
                elif header.type is peer_messages.FrameType.FLEET_SUMMARY:
                    # Read only by who leads next: at 970 machines reading each word took a tenth of a follower's work.
                    self._fleet, self.fleet_at = body, monotonic_time()
                elif header.type is peer_messages.FrameType.FORWARDED_REPORT:
                    try:
                        status, answer = self._on_relay(body)
                    except Exception:
                        # A fault over one machine's report must not end the link that all the others come by.
                        log.exception("fault in a report handed over")
                        status, answer = 503, b"{}"
                    # Not waited for: the next report is read meanwhile, and a closed stream ends the loop.
                    stream.write(
                        peer_messages.frame(
                            peer_messages.FrameType.FORWARDED_ANSWER,
                            header.request,
                            peer_messages.pack_answer(status, answer),
                        )
                    )
        except StreamClosedError:
            pass
        except peer_messages.BadFrame as err:
            log.warning("back link from %s: %s", address, err)
        finally:
            stream.close()

    @staticmethod
    async def _read(stream: Stream) -> tuple[peer_messages.Header, bytes]:
        header = peer_messages.parse_header(await stream.read_bytes(peer_messages.HEADER.size))
        return header, await stream.read_bytes(header.length) if header.length else b""

    def _heard(self, state: peer_messages.PeerState) -> None:
        peer = self.by_node.get(state.node)
        if peer is None:
            log.warning("back link: unknown node %r", state.node)
            return
        # Frames held back by a cut may arrive late: an older term says nothing about the present.
        if peer.last_state is not None and state.term < peer.last_state.term:
            return
        now = monotonic_time()
        if not peer.fresh(now):
            peer.reachable_since = now
        peer.last_state, peer.last_state_at = state, now
        self._on_state(state)

    # -- asking --------------------------------------------------------------------------------

    def start(self, host: str, port: int) -> None:
        """Listen there, and keep a connection to each peer."""
        self._stop_listening = current_runtime().listen(host, port, self._serve)
        self._keepers = [asyncio.ensure_future(self._keep(peer)) for peer in self.by_node.values()]

    def shut(self) -> None:
        for keeper in self._keepers:
            keeper.cancel()
        if self._stop_listening is not None:
            self._stop_listening()

    async def _keep(self, peer: Peer) -> None:
        host, port = parse_addr(peer.seed.addr, "seeds")
        closed = False  # the last connection was closed by the other side
        while True:
            stream: Stream | None = None
            try:
                async with asyncio.timeout(constants.PEER_CONNECT_S):
                    stream = await current_runtime().connect(host, port)
                closed = True
                stream.set_nodelay(True)
                peer.stream, peer.answers = stream, False
                self._on_link(peer.seed.node)
                reader = asyncio.ensure_future(self._read_answers(peer, stream))
                try:
                    while not stream.closed():
                        async with asyncio.timeout(constants.PEER_WRITE_S):
                            # Shielded: tornado logs an error for each write that is cancelled.
                            await asyncio.shield(
                                stream.write(
                                    peer_messages.frame(
                                        peer_messages.FrameType.PEER_STATE, 0, peer_messages.pack_state(self._mine())
                                    )
                                )
                            )
                        await asyncio.sleep(constants.PEER_STATE_INTERVAL_S)
                finally:
                    reader.cancel()
            except TimeoutError:
                closed = False
            except (StreamClosedError, OSError) as err:
                refused = isinstance(getattr(err, "real_error", err), ConnectionRefusedError)
                if closed and refused:
                    # Closed and then refused: most likely its process has ended.
                    closed = False
                    self._on_gone(peer.seed.node)
            finally:
                peer.stream = None
                if stream is not None:
                    stream.close()
                self._give_up(peer, math.inf)
            await asyncio.sleep(constants.PEER_RECONNECT_S if closed else constants.PEER_RETRY_S)

    async def _read_answers(self, peer: Peer, stream: Stream) -> None:
        try:
            while True:
                header, body = await self._read(stream)
                waits = peer.waiting.pop(header.request, None)
                if waits is not None:
                    waits[1](
                        peer_messages.parse_answer(body)
                        if header.type is peer_messages.FrameType.FORWARDED_ANSWER
                        else None
                    )
        except StreamClosedError:
            pass
        except peer_messages.BadFrame as err:
            log.warning("back link to %s: %s", peer.seed.node, err)
        finally:
            stream.close()

    def forward_report(self, peer: Peer, report: bytes, done: OnAnswer) -> None:
        """Hand a worker's report to the leader; `done` is told the answer, or that there is none, exactly once.

        Without a task and a timer of its own: with 400 reports a second they were a sixth of a follower's work.
        """
        self._ask(peer, peer_messages.FrameType.FORWARDED_REPORT, report, done)

    def announce_record(self, peer: Peer, note: peer_messages.JobNote, done: OnAnswer) -> None:
        """Tell a node of a record and hear whether it has it: 200, it sees to it as the leader; 202, it knows."""

        def heard(answer: tuple[int, bytes] | None) -> None:
            peer.answers = peer.answers or answer is not None
            done(answer)

        self._ask(peer, peer_messages.FrameType.JOB_RECORD, peer_messages.pack_job(note), heard)

    def announce_proofs(self, proofs: list[tuple[str, str]]) -> None:
        """To those that know such a frame: it would end the link to an earlier version, each time anew."""
        for peer in self.by_node.values():
            for at in range(0, len(proofs) if peer.answers else 0, constants.CANCELLATION_PROOFS_MAX):
                self._tell(
                    peer,
                    peer_messages.FrameType.CANCELLATION_PROOFS,
                    peer_messages.pack_proofs(proofs[at : at + constants.CANCELLATION_PROOFS_MAX]),
                )

    def _ask(self, peer: Peer, kind: peer_messages.FrameType, body: bytes, done: OnAnswer) -> None:
        if peer.stream is None or peer.stream.closed():
            done(None)
            return
        self._request = self._request % (2**32 - 1) + 1  # never 0, which asks for no answer
        number = self._request
        peer.waiting[number] = monotonic_time() + constants.FORWARD_TIMEOUT_S, done
        try:
            # Not waited for: what can't be written in time gets no answer in time either.
            peer.stream.write(peer_messages.frame(kind, number, body))
        except (StreamClosedError, peer_messages.BadFrame):
            if peer.waiting.pop(number, None) is not None:
                done(None)
            return
        self._sweep_later()

    def _sweep_later(self) -> None:
        if not self._sweeping:
            self._sweeping = True
            asyncio.get_running_loop().call_later(constants.FORWARD_SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        """Reports that were handed over too long ago get no answer."""
        self._sweeping = False
        now = monotonic_time()
        for peer in self.by_node.values():
            self._give_up(peer, now)
        if any(peer.waiting for peer in self.by_node.values()):
            self._sweep_later()

    @staticmethod
    def _give_up(peer: Peer, now: float) -> None:
        """Wait no longer for the answers that were due by now."""
        for number, (until, done) in list(peer.waiting.items()):
            if until > now:
                break
            del peer.waiting[number]
            done(None)

    def notify_leader(self, note: peer_messages.JobNote) -> None:
        """A hint that spares the leader the wait for its watch. Loss does no harm."""
        peer = self.leader(monotonic_time())
        if peer is not None:
            self._tell(peer, peer_messages.FrameType.JOB_RECORD, peer_messages.pack_job(note))

    @property
    def fleet(self) -> peer_messages.Fleet:
        """What a leader last told about its machines."""
        if isinstance(self._fleet, bytes):
            try:
                self._fleet = peer_messages.parse_fleet(self._fleet)
            except peer_messages.BadFrame as err:
                log.warning("back link: %s", err)
                self._fleet = peer_messages.Fleet({}, {})
        return self._fleet

    def announce_fleet(self, fleet: peer_messages.Fleet) -> None:
        """Workers don't report their images, and a silent one nothing: what the leader knows would be lost with it."""
        self._fleet, self.fleet_at = fleet, monotonic_time()
        body, left_out = peer_messages.pack_fleet(fleet)
        if left_out and not self._left_out:
            log.info(
                "images of %d of %d machines are not told to the other nodes: a frame holds no more",
                left_out,
                len(fleet.images),
            )
        self._left_out = left_out
        for peer in self.by_node.values():
            self._tell(peer, peer_messages.FrameType.FLEET_SUMMARY, body)

    @staticmethod
    def _tell(peer: Peer, kind: peer_messages.FrameType, body: bytes) -> None:
        if peer.stream is None or peer.stream.closed():
            return
        try:
            peer.stream.write(peer_messages.frame(kind, 0, body))
        except (StreamClosedError, peer_messages.BadFrame):
            pass
