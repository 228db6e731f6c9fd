"""Stand-in for the cloud: rents simulated machines, each with its own worker."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from tornado import web

from winglift.net.runtime import monotonic_time

from .gangs import Gangs
from .processes import Processes
from .worker import DescribeJob, Worker

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
        self.machines: dict[str, tuple[dict[str, Any], Worker | None, float]] = {}  # name: entry, worker, rented at
        self.requests: dict[str, list[str]] = {}  # rental request: names of its machines
        self.capacity = 20
        self.type = dict(TYPE)
        self.next_machine_number = 0
        self.down = False
        self.list_lag_s = 0.0  # a list shows the machines as they were this long ago
        self.deleted: list[tuple[str, float, float, dict[str, Any]]] = []  # name, rented at, deleted at, entry
        self.rentals = 0  # machines rented; a repeated request is not counted again
        # Starts a machine's worker on the machine's host. In simulated time each machine has its own host.
        self.start_on_host: Callable[[dict[str, Any], Callable[[], None]], None] = lambda entry, start: start()
        self.report_s = 0.2
        self.lease_s = 3.0
        self.describe_job: DescribeJob = lambda ref: None  # jobs for which fetches and gangs are simulated
        self.gangs = Gangs()

    async def rent(self, body: dict[str, Any]) -> list[str] | None:
        if body["hire"] in self.requests:
            return self.requests[body["hire"]]
        names = []
        for _ in range(min(body["count"], self.capacity - len(self.machines))):
            name = f"vm-{self.next_machine_number:06d}"
            self.next_machine_number += 1
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
        entry, _, rented_at = self.machines[name]
        worker = Worker(
            entry,
            self.controllers,
            self.run_s,
            self.report_s,
            self.lease_s,
            self.processes,
            self.describe_job,
            self.gangs,
        )
        worker.fetch_gb_per_s = self.type["pullGbPerS"]
        entry["status"] = "running"
        self.machines[name] = (entry, worker, rented_at)
        self.start_on_host(entry, worker.start)

    def delete(self, names: list[str]) -> None:
        for name in names:
            machine = self.machines.pop(name, None)
            if machine is not None:
                self.deleted.append((name, machine[2], monotonic_time(), machine[0]))
                if machine[1] is not None:
                    machine[1].kill()

    def listed(self) -> list[dict[str, Any]]:
        """The entries of the machines as they were `list_lag_s` ago."""
        listed_at = monotonic_time() - self.list_lag_s
        entries = [
            {**entry, "ageS": listed_at - rented_at}
            for entry, _, rented_at in self.machines.values()
            if rented_at <= listed_at
        ]
        entries += [
            {**entry, "ageS": listed_at - rented_at}
            for _, rented_at, deleted_at, entry in self.deleted
            if rented_at <= listed_at < deleted_at
        ]
        return sorted(entries, key=lambda entry: entry["ref"])

    def workers(self) -> list[Worker]:
        return [w for _, w, _ in self.machines.values() if w is not None]


class _Handler(web.RequestHandler):
    def initialize(self, cloud: Cloud) -> None:
        self.cloud = cloud

    def prepare(self) -> None:
        if self.cloud.down:
            self.respond(503, {"error": "trouble"})

    def respond(self, status: int, value: dict[str, Any]) -> None:
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(value))


class _Flavors(_Handler):
    def get(self) -> None:
        self.respond(200, {"rigTypes": [self.cloud.type]})


class _Hosts(_Handler):
    def get(self) -> None:
        after = self.get_argument("after", "")
        entries = [entry for entry in self.cloud.listed() if entry["ref"] > after]
        self.respond(200, {"rigs": entries, "truncated": False})

    async def post(self) -> None:
        names = await self.cloud.rent(json.loads(self.request.body))
        if names is None:
            self.respond(503, {"error": "no capacity"})
        else:
            self.respond(200, {"rigs": names})


class _Delete(_Handler):
    def post(self) -> None:
        self.cloud.delete(json.loads(self.request.body)["rigs"])
        self.respond(200, {})


def application(cloud: Cloud) -> web.Application:
    args = {"cloud": cloud}
    routes = [(r"/flavors", _Flavors, args), (r"/hosts", _Hosts, args), (r"/hosts/delete", _Delete, args)]
    return web.Application(routes, log_function=lambda handler: None)
