"""Stand-in of the cloud: rents simulated machines, each with a worker of its own."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado import web

from winglift.net.runtime import monotonic_time

from .gangs import Gangs
from .processes import Processes
from .worker import Describe, Worker

TYPE: dict[str, Any] = {
    "name": "g4",
    "cpus": 32.0,
    "gpus": 4.0,
    "memGb": 256.0,
    "cacheGb": 60.0,
    "pullGbPerS": 100.0,
    "hourly": 12.0,
    "spotPrice": 4.0,
    "bootS": 0.2,
    "halls": ["a", "b"],
}


class Cloud:
    def __init__(
        self, controllers: list[tuple[str, str]], run_s: Callable[[str], float], processes: Processes | None = None
    ) -> None:
        self.processes = processes
        self.controllers = controllers
        self.run_s = run_s
        self.machines: dict[str, tuple[dict[str, Any], Worker | None, float]] = {}
        self.requests: dict[str, list[str]] = {}
        self.capacity = 20
        self.type = dict(TYPE)
        self.number = 0
        self.down = False
        self.list_lag_s = 0.0  # the list is as old as this
        self.gone: list[tuple[str, float, float, dict[str, Any]]] = []  # name, rented, gone, entry
        self.rentals = 0  # machines rented under new names
        # Where a machine's worker lives; in a simulated world each has a host of its own.
        self.place: Callable[[dict[str, Any], Callable[[], None]], None] = lambda entry, start: start()
        self.report_s = 0.2
        self.lease_s = 3.0
        self.describe: Describe = lambda ref: None  # jobs whose images are fetched and whose gangs wait
        self.gangs = Gangs()

    async def rent(self, body: dict[str, Any]) -> list[str] | None:
        if body["hire"] in self.requests:
            return self.requests[body["hire"]]
        names = []
        for _ in range(min(body["count"], self.capacity - len(self.machines))):
            name = f"vm-{self.number:06d}"
            self.number += 1
            entry = {
                "ref": name,
                "rigType": body["rigType"],
                "hall": body["hall"],
                "loaner": body["loaner"],
                "endpoint": "127.0.0.1:1",
                "status": "booting",
            }
            self.machines[name] = (entry, None, monotonic_time())
            asyncio.get_running_loop().call_later(self.type["bootS"], self._boot, name)
            names.append(name)
        if not names:
            return None
        self.requests[body["hire"]] = names
        self.rentals += len(names)
        return names

    def _boot(self, name: str) -> None:
        if name not in self.machines:
            return
        entry, _, began = self.machines[name]
        worker = Worker(
            entry, self.controllers, self.run_s, self.report_s, self.lease_s, self.processes, self.describe, self.gangs
        )
        worker.fetch_gb_per_s = self.type["pullGbPerS"]
        entry["status"] = "running"
        self.machines[name] = (entry, worker, began)
        self.place(entry, worker.start)

    def delete(self, names: list[str]) -> None:
        for name in names:
            found = self.machines.pop(name, None)
            if found is not None:
                self.gone.append((name, found[2], monotonic_time(), found[0]))
                if found[1] is not None:
                    found[1].kill()

    def listed(self) -> list[dict[str, Any]]:
        """The machines as they were `list_lag_s` ago."""
        at = monotonic_time() - self.list_lag_s
        found = [{**entry, "ageS": at - began} for entry, _, began in self.machines.values() if began <= at]
        found += [{**entry, "ageS": at - began} for _, began, until, entry in self.gone if began <= at < until]
        return sorted(found, key=lambda entry: entry["ref"])

    def workers(self) -> list[Worker]:
        return [w for _, w, _ in self.machines.values() if w is not None]


class _Handler(web.RequestHandler):
    def initialize(self, cloud: Cloud) -> None:
        self.cloud = cloud

    def prepare(self) -> None:
        if self.cloud.down:
            self.say(503, {"error": "trouble"})

    def say(self, status: int, value: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class _Flavors(_Handler):
    def get(self) -> None:
        self.say(200, {"rigTypes": [self.cloud.type]})


class _Hosts(_Handler):
    def get(self) -> None:
        after = self.get_argument("after", "")
        found = [entry for entry in self.cloud.listed() if entry["ref"] > after]
        self.say(200, {"rigs": found, "truncated": False})

    async def post(self) -> None:
        names = await self.cloud.rent(json.loads(self.request.body))
        if names is None:
            self.say(503, {"error": "no capacity"})
        else:
            self.say(200, {"rigs": names})


class _Delete(_Handler):
    def post(self) -> None:
        self.cloud.delete(json.loads(self.request.body)["rigs"])
        self.say(200, {})


def application(cloud: Cloud) -> web.Application:
    args = {"cloud": cloud}
    routes = [(r"/flavors", _Flavors, args), (r"/hosts", _Hosts, args), (r"/hosts/delete", _Delete, args)]
    return web.Application(routes, log_function=lambda handler: None)
