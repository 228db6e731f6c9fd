"""All stand-ins on loopback, for `winglift try` and for tests: state service, cloud with workers, upload store."""

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


def reserve_port() -> socket.socket:
    """Reserve a port that the system assigns to no other process: it is bound, but not listened on.

    A node can still listen on it.
    """
    sock = socket.socket()
    # Lets a process bind this port too if it sets the same option, as tornado's servers do.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


class LocalServices:
    """Serves the stand-ins in the running event loop, for `count` controllers.

    `run_s` returns how long a task runs. If `tasks` is given, tasks with a description run as processes in folders
    below it. `extra_settings` is appended to the controllers' settings.
    """

    def __init__(
        self, count: int, run_s: Callable[[str], float], tasks: pathlib.Path | None = None, extra_settings: str = ""
    ) -> None:
        self.state, self.store = state.StateService(), files.UploadStore()
        self.processes = Processes(self.store, tasks) if tasks is not None else None
        self._reserved_ports = [reserve_port() for _ in range(2 * count)]
        ports = [sock.getsockname()[1] for sock in self._reserved_ports]
        self.nodes = [(f"node-{i}", ports[2 * i], ports[2 * i + 1]) for i in range(count)]
        self.addresses = [f"127.0.0.1:{port}" for _, port, _ in self.nodes]
        self.cloud = cloud.Cloud([(name, f"127.0.0.1:{port}") for name, port, _ in self.nodes], run_s, self.processes)
        self._extra_settings = extra_settings
        self._servers: list[HTTPServer] = []
        self._ports = {
            "state": self._serve(state.application(self.state)),
            "cloud": self._serve(cloud.application(self.cloud)),
        }
        self.files = f"127.0.0.1:{self._serve(files.application(self.store))}"

    def settings(self, number: int) -> str:
        """The contents of a controller's settings file."""
        name, port, peer_port = self.nodes[number]
        text = TEMPLATE.format(port=port, back=peer_port, **self._ports).replace("node-0", name)
        text = text.replace("nodes = 1", f"nodes = {len(self.nodes)}")
        text += "".join(
            f'\n[[seeds]]\nnode = "{n}"\nzone = "a"\naddr = "127.0.0.1:{b}"\n' for n, _, b in self.nodes if n != name
        )
        return text + self._extra_settings

    def workflows(self) -> str:
        """The contents of the settings file that enables workflows."""
        return f'files = "{self.files}"\n'

    def _serve(self, application: Application) -> int:
        listening_sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(application)
        server.add_sockets(listening_sockets)
        self._servers.append(server)
        return listening_sockets[0].getsockname()[1]

    async def stop(self) -> None:
        self.cloud.delete(list(self.cloud.machines))
        for server in self._servers:
            server.stop()
        for sock in self._reserved_ports:
            sock.close()
        await self.state.close()
