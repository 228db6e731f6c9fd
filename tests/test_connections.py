"""Connections to a node: idle ones are closed, each forwarded report is answered once, a stopped node closes all."""

from __future__ import annotations

import asyncio

from tornado import web
from tornado.iostream import StreamClosedError
from tornado.testing import bind_unused_port

from standins.local_services import LocalServices
from standins.network import Host, Network
from winglift import constants
from winglift.cluster.peer import Peer
from winglift.cluster.peer_connections import PeerConnections
from winglift.config import settings as settings_module
from winglift.config.settings import Seed
from winglift.net.runtime import CountingServer
from winglift.node import Node
from winglift.wire import peer as peer_messages


class Hello(web.RequestHandler):
    def get(self) -> None:
        self.finish(b"hello")


def test_an_idle_connection_is_closed_and_one_in_use_is_not():
    async def scenario() -> None:
        server = CountingServer(
            web.Application([("/", Hello)], log_function=lambda handler: None), idle_connection_timeout=75.0
        )
        sock, port = bind_unused_port()
        server.add_sockets([sock])
        idle, _ = await asyncio.open_connection("127.0.0.1", port)
        while len(server.waiting_since) < 1:
            await asyncio.sleep(0)
        (first,) = server.waiting_since
        used, writer = await asyncio.open_connection("127.0.0.1", port)

        async def request() -> bytes:
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            return await used.readuntil(b"hello")

        assert (await request()).startswith(b"HTTP/1.1 200") and server.open_connections == 2
        timer = server._sweep_timer
        assert timer is not None and 0.0 < timer.when() - asyncio.get_running_loop().time() <= 15.0
        server._close_idle()  # neither connection has been idle that long
        assert server.open_connections == 2 and (await request()).startswith(b"HTTP/1.1 200")
        server.waiting_since[first] -= 75.0
        server._close_idle()
        assert await idle.read() == b"" and (await request()).startswith(b"HTTP/1.1 200")
        assert server.open_connections == 1 and first not in server.waiting_since and server._sweep_timer is not None
        # Receiving a request counts as use.
        (second,) = server.waiting_since
        waiting_since = server.waiting_since[second] = server.waiting_since[second] - 75.0
        assert (await request()).startswith(b"HTTP/1.1 200")
        while server.waiting_since[second] == waiting_since:
            await asyncio.sleep(0)
        server._close_idle()
        assert (await request()).startswith(b"HTTP/1.1 200")
        server.stop()
        server._sweep_timer.cancel()

    asyncio.run(scenario())


class FakeStream:
    """A stream that records what is written, and raises StreamClosedError once `broken` is set."""

    def __init__(self) -> None:
        self.broken = False
        self.written: list[bytes] = []

    def closed(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        if self.broken:
            raise StreamClosedError
        self.written.append(data)


def test_each_forwarded_report_is_answered_exactly_once():
    net = Network()
    host = Host(net, "node-0", "a")
    peers = PeerConnections(
        "node-0",
        [],
        lambda: None,
        lambda body: (200, b""),
        lambda note: 202,
        lambda state: None,
        lambda node: None,
        lambda node: None,
        lambda proofs: None,
        lambda: None,
    )
    peer = peers.by_node["node-1"] = Peer(Seed("node-1", "a", "10.0.0.2:8081"))
    answers: list[tuple[int, float, tuple[int, bytes] | None]] = []

    def forward(number: int) -> None:
        peers.forward_report(peer, b"report", lambda answer: answers.append((number, net.loop.now, answer)))

    async def scenario() -> None:
        forward(0)  # there is no connection yet
        stream = peer.stream = FakeStream()
        forward(1)
        await asyncio.sleep(0.4)
        forward(2)
        await asyncio.sleep(0.1)
        number = peer_messages.parse_header(stream.written[1][: peer_messages.HEADER.size]).request
        frames = [
            peer_messages.frame(peer_messages.FrameType.FORWARDED_ANSWER, n, peer_messages.pack_answer(200, b"yes"))
            for n in (number, number)
        ]

        class AnswerStream:
            def read_bytes(self, count):
                async def read():
                    if not data:
                        raise StreamClosedError
                    chunk, data[:] = bytes(data[:count]), data[count:]
                    return chunk

                return read()

            def close(self):
                pass

        data = bytearray(b"".join(frames))  # sent twice: a duplicate answer is ignored
        await peers._read_answers(peer, AnswerStream())
        forward(3)
        stream.broken = True
        forward(4)
        await asyncio.sleep(3.0)

    task = host.context.run(net.loop.create_task, scenario())
    assert net.loop.run(task.done)
    task.result()
    assert [(n, answer) for n, _, answer in answers] == [(0, None), (2, (200, b"yes")), (4, None), (1, None), (3, None)]
    answered_at = {n: when for n, when, _ in answers}
    assert (
        constants.FORWARD_TIMEOUT_S
        <= answered_at[1]
        <= constants.FORWARD_TIMEOUT_S + 2 * constants.FORWARD_CHECK_INTERVAL_S
        and not peer.pending_requests
    )


def test_a_node_that_is_stopped_closes_the_connections_that_peers_have_made_to_it():
    """A peer that still reached a stopped node forwarded reports to it, and it answered them with 503."""

    async def scenario() -> None:
        local_services = LocalServices(2, lambda task: 1.0)
        node = Node(settings_module.parse(local_services.settings(0)))
        host, port = settings_module.parse_addr(node.settings.back, "back")
        node.peers.start(host, port)
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(peer_messages.frame(peer_messages.FrameType.FORWARDED_REPORT, 1, b"{}"))
        header = peer_messages.parse_header(await reader.readexactly(peer_messages.HEADER.size))
        assert header.request == 1 and await reader.readexactly(header.length)
        node.stop()
        async with asyncio.timeout(5.0):
            assert await reader.read() == b""
        writer.close()
        await local_services.stop()

    asyncio.run(scenario())
