"""The stand-ins together, for `winglift try` and for tests: state service, cloud with workers, store of uploads."""

from __future__ import annotations

import pathlib
import socket
from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from . import cloud, files, state
from .__main__ import TEMPLATE
from .processes import Processes


def keep_port() -> socket.socket:
    """A port that nobody is given by chance: bound here, never listened on, so that a node can still serve there."""
    sock = socket.socket()
    # Shared with who asks for this very port and has set this too, as tornado's servers do.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class LocalServices:
    """Serves within the running event loop, for `count` controllers. Tasks run for as long as `run_s` says; with a
    folder for them, described ones run as processes. `more` is added to the controllers' settings."""

    def __init__(
        self, count: int, run_s: Callable[[str], float], tasks: pathlib.Path | None = None, more: str = ""
    ) -> None:
        self.state, self.store = state.StateService(), files.Store()
        self.processes = Processes(self.store, tasks) if tasks is not None else None
        self._kept = [keep_port() for _ in range(2 * count)]
        ports = [sock.getsockname()[1] for sock in self._kept]
        self.nodes = [(f"node-{i}", ports[2 * i], ports[2 * i + 1]) for i in range(count)]
        self.addresses = [f"127.0.0.1:{port}" for _, port, _ in self.nodes]
        self.cloud = cloud.Cloud([(name, f"127.0.0.1:{port}") for name, port, _ in self.nodes], run_s, self.processes)
        self._more = more
        self._servers: list[HTTPServer] = []
        self._ports = {
            "state": self._serve(state.application(self.state)),
            "cloud": self._serve(cloud.application(self.cloud)),
        }
        self.files = f"127.0.0.1:{self._serve(files.application(self.store))}"

    def settings(self, number: int) -> str:
        """The settings file of a controller."""
        name, port, back = self.nodes[number]
        text = TEMPLATE.format(port=port, back=back, **self._ports).replace("node-0", name)
        text = text.replace("nodes = 1", f"nodes = {len(self.nodes)}")
        text += "".join(
            f'\n[[seeds]]\nnode = "{n}"\nzone = "a"\naddr = "127.0.0.1:{b}"\n' for n, _, b in self.nodes if n != name
        )
        return text + self._more

    def workflows(self) -> str:
        """The file that switches workflows on."""
        return f'files = "{self.files}"\n'

    def _serve(self, application: Application) -> int:
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(application)
        server.add_sockets(sockets)
        self._servers.append(server)
        return sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self.cloud.delete(list(self.cloud.machines))
        for server in self._servers:
            server.stop()
        for sock in self._kept:
            sock.close()
        await self.state.close()
