"""One controller node: its servers, its clients, and the leader's work while it leads."""

from __future__ import annotations

import asyncio
import gc
import logging
from typing import Protocol

from . import constants
from .api.handlers import application
from .api.jobs import Jobs, status_of
from .api.report_fast_path import ReportFastPath
from .cloud.client import CloudClient, CloudError
from .cluster.peer_connections import PeerConnections
from .config.script import Script
from .config.settings import Settings, parse_addr
from .controller.leader_term import LeaderTerm
from .model import records
from .model.job_state import JobState
from .model.leadership import Role
from .net.runtime import Server, current_runtime, monotonic_time
from .store.client import Health, StateClient
from .store.election import Election
from .wire import peer as peer_messages
from .wire.cloud import MachineType
from .workers.cancellation_enforcement import CancellationEnforcer
from .workers.partition_detector import PartitionState as Stranding
from .workers.reports import ReportHandler

log = logging.getLogger(__name__)


class Extension(Protocol):
    """Something that a node serves beside its jobs. It is told of the node's role and gives routes of its own."""

    def routes(self) -> list[tuple]: ...

    def lead(self, controller: LeaderTerm) -> None:
        """This node leads from now on."""

    def follow(self) -> None:
        """It leads no more: nothing may be written for this term."""


class Node:
    def __init__(self, settings: Settings, script: Script | None = None) -> None:
        self.settings = settings
        self.script = script or Script()
        params = settings.settings
        self.state = StateClient(*parse_addr(settings.services.state, "services.state"), params.state, params.nodes)
        self.cloud = CloudClient(*parse_addr(settings.services.cloud, "services.cloud"), params.cloud, params.nodes)
        self.types: dict[str, MachineType] = {}
        self.withdrawn_types: dict[str, MachineType] = {}  # offered before, and not now
        self.leader_term: LeaderTerm | None = None
        self.election = Election(self.state, settings.node, self._on_change)
        self.cloud.may_change = lambda: self.leader_term is not None and self.leader_term.may_use_cloud()
        self.cloud.may_enforce_cancellations = lambda: (
            self.leader_term is not None and self.leader_term.may_only_enforce_cancellations()
        )
        self.peers = PeerConnections(
            settings.node,
            settings.seeds,
            self._mine,
            self._on_relay,
            self._on_job,
            self._on_peer,
            self._on_gone,
            lambda peer: self.cancellation_enforcer.on_peer_connected(peer),
            lambda proofs: self.cancellation_enforcer.on_proofs(proofs),
        )
        self.cancellation_enforcer = CancellationEnforcer(self)
        self.cloud.may_delete_unfenced = self.cancellation_enforcer.may_delete
        self.jobs = Jobs(
            settings,
            self.state,
            lambda: self.types,
            self._on_record,
            lambda: self.withdrawn_types,
            self._on_record_seen,
        )
        self.reports = ReportHandler(self)
        self._began = monotonic_time()
        self._server: Server | None = None
        self._extensions: list[Extension] = []

    def extend(self, extension: Extension) -> None:
        """Serve something more; before `run`."""
        self._extensions.append(extension)

    # -- what the parts ask --------------------------------------------------------------------

    def _mine(self) -> peer_messages.PeerState:
        # A leader in doubt goes on listening: reports that others hand over tell it who is alive.
        leads = self.leader_term is not None and self.election.leadership.role in (Role.LEADER, Role.DOUBTFUL)
        return peer_messages.PeerState(self.known_term(), leads, self.state.health() is Health.GOOD, self.settings.node)

    def known_term(self) -> int:
        return max(self.election.known_term, self.election.leadership.term, self.peers.term())

    def _on_relay(self, body: bytes) -> tuple[int, bytes]:
        return self.reports.answer_forwarded(body)

    def _on_job(self, note: peer_messages.JobNote) -> int:
        """A record that another node knows: 200 if this one sees to it as the leader, 202 if it knows it now."""
        try:
            record = records.decode(note.record)
            self._take_job(note.ref, note.version, record)
            self.cancellation_enforcer.add_record(note.ref, note.version, record)
        except records.InvalidRecord as err:
            log.warning("back link: %s", err)
            return 400
        return 200 if self.handles_cancellation(note.ref) else 202

    def _on_record_seen(self, ref: str, version: int, record: records.JobRecord) -> None:
        """A record as users are told of it here. A cancellation that they are told is this node's to see to."""
        if self.cancellation_enforcer.add_record(ref, version, record):
            self._take_job(ref, version, record)

    def _take_job(self, ref: str, version: int, record: records.JobRecord) -> None:
        if self.leader_term is not None and self.leader_term.loaded:
            self.leader_term.apply_record(ref, version, record)

    # -- what seeing to ends asks --------------------------------------------------------------

    def leader_by_record(self) -> str:
        return self.election.known_leader

    def handles_cancellation(self, ref: str) -> bool:
        return self.leader_term is not None and self.leader_term.handles_cancellation(ref)

    def has_cleared_job(self, ref: str) -> bool:
        return self.leader_term is not None and self.leader_term.has_cleared_job(ref)

    def on_machines_deleted(self, machines: list[str]) -> None:
        if self.leader_term is not None:
            self.leader_term.on_machines_deleted_elsewhere(machines)

    def _on_peer(self, state: peer_messages.PeerState) -> None:
        leadership = self.election.leadership
        if leadership.role in (Role.LEADER, Role.DOUBTFUL) and state.term > leadership.term:
            self.election.step_down(f"{state.node} knows term {state.term}")

    def _on_gone(self, node: str) -> None:
        """A peer's process seems to have ended. If it led, its lease need not be waited for.

        A filter between nodes refuses connections too: a node that it cut off from all others once ended a sound
        leader's lease, led deaf, and deleted 16 machines. So a node does this only while another one is in reach.
        """
        peer = self.peers.by_node[node]
        if peer.last_state is not None and peer.last_state.leads and self.peers.connected(but=node):
            asyncio.ensure_future(self.election.expire_lease_of(node))

    def _on_record(self, ref: str, version: int, record: records.JobRecord) -> None:
        """This node has committed a change of a job: the leader hears of it at once."""
        if self.leader_term is not None:
            self._take_job(ref, version, record)
        elif record.state != JobState.CANCELLED.value or not record.assignments:
            self.peers.notify_leader(peer_messages.JobNote(version, ref, records.encode(record)))
        # A cancellation with places is told to all nodes, and to each until it has it.
        self.cancellation_enforcer.add_record(ref, version, record)
        self.jobs.remember_end(ref, status_of(record, ref))

    def not_up(self) -> str | None:
        """Why this node can't serve requests, or None. In an outage that all nodes share, it is as good as any."""
        now = monotonic_time()
        if not self.types and now - self._began < constants.STARTUP_GRACE_S:
            return "machine types are not known yet"
        if self.state.health() is Health.DOWN and self.peers.state_works_elsewhere(now):
            return "the state service refuses this node"
        # A node that hears neither the state service nor any other node may be as good as any, or cut off alone: its
        # workers tell, by finding others or by being silent.
        quiet_s = now - max(self._began, self.reports.last_report_at)
        if (
            self.settings.seeds
            and not self.hears_others()
            and (
                self.reports.partition_detector.state is Stranding.REDIRECTING
                or quiet_s > self.settings.settings.workers.lease_s
            )
        ):
            return "neither the state service nor any node is in reach"
        return None

    def hears_others(self) -> bool:
        return self.state.health() is not Health.DOWN or self.peers.any_fresh(monotonic_time())

    def leader_elsewhere(self) -> str | None:
        """The node that leads by the state service's word, if this one can't hand it any report; None otherwise."""
        if self.leader_term is not None or self.peers.leader(monotonic_time()) is not None:
            return None
        name = self.election.known_leader
        return name if name in self.peers.by_node and self.state.health() is Health.GOOD else None

    def crowded(self) -> bool:
        """Are so many connections open that reports, peers and the services might soon find no socket?"""
        limit = self.settings.settings.machine_limits.sockets * constants.SOCKET_SHARE
        return self._server is not None and self._server.open > limit

    def _on_change(self) -> None:
        """The role has changed: begin or end the leader's work."""
        if self.election.leadership.role is Role.LEADER:
            self.leader_term = LeaderTerm(
                self.settings, self.state, self.cloud, self.election, self.types, self.peers, self.script
            )
            self.cloud.set_leading(True)
            self.leader_term.start()
            for extension in self._extensions:
                extension.lead(self.leader_term)
        elif self.leader_term is not None:
            self._end_leading()
            self.cloud.set_leading(False)

    def _end_leading(self) -> None:
        if self.leader_term is not None:
            for extension in self._extensions:
                extension.follow()
            self.leader_term.stop()
            self.leader_term = None

    # -- running -------------------------------------------------------------------------------

    async def _keep_types(self) -> None:
        while True:
            try:
                found = await self.cloud.types()
                self._take_types(found)
                for machine in self.leader_term.cluster.machines.values() if self.leader_term else ():
                    machine.type = found.get(machine.type_name, machine.type)
            except CloudError as err:
                log.info("machine types: %s", err)
            await asyncio.sleep(constants.TYPES_EVERY_S if self.types else constants.CLOUD_PAUSE_S)

    def _take_types(self, found: dict[str, MachineType]) -> None:
        gone = {name: t for name, t in (self.withdrawn_types | self.types).items() if name not in found}
        for name in gone.keys() - self.withdrawn_types.keys():
            log.info("the cloud no longer offers %s: none is rented, those that run go on", name)
        self.withdrawn_types = gone
        self.types.clear()
        self.types.update(found)

    async def run(self) -> None:
        front = ReportFastPath(
            application(self, [r for e in self._extensions for r in e.routes()]), self.reports.handle
        )
        self._server = current_runtime().serve(
            front,
            *parse_addr(self.settings.client_listen, "client_listen"),
            max_body_size=constants.MAX_BODY,
            idle_connection_timeout=constants.IDLE_CONNECTION_S,
        )
        self.peers.start(*parse_addr(self.settings.back, "back"))
        log.info("node %s in %s listens on %s", self.settings.node, self.settings.zone, self.settings.client_listen)
        # What start-up has built lives on: the collector need not look at it again.
        gc.collect()
        gc.freeze()
        await asyncio.gather(self._keep_types(), self.election.run(), self.cancellation_enforcer.run())

    def stop(self) -> None:
        """End at once, as a kill would: for programs that embed a node, and for tests."""
        self._end_leading()
        if self._server is not None:
            self._server.stop()
            asyncio.ensure_future(self._server.close_all_connections())
        self.peers.shut()
