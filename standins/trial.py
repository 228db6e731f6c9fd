"""The stand-ins together, for `winglift try` and for tests: state service, cloud with workers, store of uploads."""

from __future__ import annotations

import pathlib

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.testing import bind_unused_port
from tornado.web import Application

from . import cloud, files, state
from .__main__ import TEMPLATE
from .processes import Processes


def free_port() -> int:
    sock, port = bind_unused_port()
    sock.close()
    return port


class Stage:
    """Serves within the running event loop and writes the settings of `count` controllers; `more` is added to them."""

    def __init__(self, folder: pathlib.Path, count: int, flows: bool, run_s: float = 1.0,
                 more: str = "") -> None:
        self.state, self.store = state.StateService(), files.Store()
        self.processes = Processes(self.store, folder / "tasks") if flows else None
        nodes = [(f"node-{i}", free_port(), free_port()) for i in range(count)]
        self.addresses = [f"127.0.0.1:{port}" for _, port, _ in nodes]
        self.cloud = cloud.Cloud([(name, f"127.0.0.1:{port}") for name, port, _ in nodes], lambda task: run_s,
                                 self.processes)
        self._servers: list[HTTPServer] = []
        ports = {"state": self._serve(state.application(self.state)),
                 "cloud": self._serve(cloud.application(self.cloud))}
        self.files = f"127.0.0.1:{self._serve(files.application(self.store))}"
        self.workflows = folder / "workflows.toml"
        self.workflows.write_text(f'files = "{self.files}"\n')
        self.configs = []
        for name, port, back in nodes:
            text = TEMPLATE.format(port=port, back=back, **ports).replace("node-0", name)
            text = text.replace("nodes = 1", f"nodes = {count}")
            text += "".join(f'\n[[seeds]]\nnode = "{n}"\nzone = "a"\naddr = "127.0.0.1:{b}"\n'
                            for n, _, b in nodes if n != name)
            text += more
            self.configs.append(folder / f"{name}.toml")
            self.configs[-1].write_text(text)

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
        await self.state.close()
