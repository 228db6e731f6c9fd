"""One controller node: its servers and clients, and the leader's work while the node leads."""

from __future__ import annotations

import asyncio
import gc
import logging
from typing import Protocol

from . import constants
from .api.handlers import application
from .api.jobs import Jobs
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
from .workers.partition_detector import PartitionState
from .workers.reports import ReportHandler

log = logging.getLogger(__name__)


class Extension(Protocol):
    """An optional service of a node. It adds HTTP routes and is notified when the node gains or loses leadership."""

    def routes(self) -> list[tuple]:
        """The tornado routes to add to the node's application."""
        ...

    def on_leadership_gained(self, leader_term: LeaderTerm) -> None:
        """Called when this node has become the leader."""

    def on_leadership_lost(self) -> None:
        """Called when this node no longer leads; nothing may be written for that term any more."""


class Node:
    """A controller node: it serves users and workers, and does the leader's work while it holds the leader lease."""

    def __init__(self, settings: Settings, script: Script | None = None) -> None:
        params = settings.settings
        self.settings = settings
        self.script = script or Script()
        self.types: dict[str, MachineType] = {}
        self.withdrawn_types: dict[str, MachineType] = {}  # offered earlier, but not at present
        self.leader_term: LeaderTerm | None = None  # the leader's work, while this node leads
        self._server: Server | None = None
        self._extensions: list[Extension] = []
        # Clients of the state service and the cloud, and the leader election.
        self.state = StateClient(*parse_addr(settings.services.state, "services.state"), params.state, params.nodes)
        self.cloud = CloudClient(*parse_addr(settings.services.cloud, "services.cloud"), params.cloud, params.nodes)
        self.election = Election(self.state, settings.node, self._on_role_change)
        # The other nodes, and the enforcement of cancellations.
        self.peers = self._new_peer_connections()
        self.cancellation_enforcer = CancellationEnforcer(self)
        # The cloud client calls these right before it sends a change, so that only an authorized node changes the
        # cloud (invariant 6).
        self.cloud.may_change = self._may_change_cloud
        self.cloud.may_enforce_cancellations = self._may_enforce_cancellations
        self.cloud.may_delete_unfenced = self.cancellation_enforcer.may_delete
        # Services for users and workers.
        self.jobs = self._new_jobs()
        self.reports = ReportHandler(self)
        self._started_at = monotonic_time()

    def _new_peer_connections(self) -> PeerConnections:
        return PeerConnections(
            self.settings.node,
            self.settings.seeds,
            self._own_state,
            self._on_forwarded_report,
            self._on_peer_job_record,
            self._on_peer_state,
            self._on_peer_gone,
            lambda peer: self.cancellation_enforcer.announcer.on_peer_connected(peer),
            lambda proofs: self.cancellation_enforcer.on_proofs(proofs),
            lambda: self.cancellation_enforcer.announcer.on_peer_synchronized(),
        )

    def _new_jobs(self) -> Jobs:
        return Jobs(
            self.settings,
            self.state,
            lambda: self.types,
            self._on_record_committed,
            lambda: self.withdrawn_types,
            self._on_record_reported,
            self.cancellation_enforcer.announcer.wait_until_known,
        )

    def _may_change_cloud(self) -> bool:
        return self.leader_term is not None and self.leader_term.may_use_cloud()

    def _may_enforce_cancellations(self) -> bool:
        return self.leader_term is not None and self.leader_term.may_only_enforce_cancellations()

    def add_extension(self, extension: Extension) -> None:
        """Register an extension. Call this before `run`."""
        self._extensions.append(extension)

    # -- callbacks of the components -----------------------------------------------------------

    def _own_state(self) -> peer_messages.PeerState:
        """The state that this node sends to its peers."""
        # A leader whose lease is in doubt still counts as leader: the reports that other nodes forward to it show which
        # machines are alive.
        leads = self.leader_term is not None and self.election.leadership.role in (Role.LEADER, Role.LEASE_IN_DOUBT)
        # A process that has had no answer yet must not claim one: peers without answers would fail their health checks.
        return peer_messages.PeerState(self.known_term(), leads, self.state.is_known_to_work(), self.settings.node)

    def known_term(self) -> int:
        """The highest leadership term that this node knows of."""
        return max(self.election.known_term, self.election.leadership.term, self.peers.term())

    def _on_forwarded_report(self, body: bytes) -> tuple[int, bytes]:
        return self.reports.answer_forwarded(body)

    def _on_peer_job_record(self, note: peer_messages.RecordAnnouncement) -> int:
        """Handle a committed record from a peer: 200 if handled as the leader, 202 if stored, else 503."""
        try:
            record = records.decode(note.record)
            self._apply_to_leader_term(note.ref, note.version, record)
            is_stored = self.cancellation_enforcer.add_record(note.ref, note.version, record)
        except records.InvalidRecord as err:
            log.warning("job record: from a peer, unreadable: ref=%r error=%s", note.ref, err)
            return 400
        if record.state == JobState.CANCELLED.value and record.assignments and not is_stored:
            return 503  # not acknowledged: this node has no space for it, and would keep the tasks alive
        return 200 if self.handles_cancellation(note.ref) else 202

    def _on_record_reported(self, ref: str, version: int, record: records.JobRecord) -> None:
        """Called with each record reported to a user; this node enforces a reported cancellation."""
        if self.cancellation_enforcer.add_record(ref, version, record):
            self._apply_to_leader_term(ref, version, record)

    def _apply_to_leader_term(self, ref: str, version: int, record: records.JobRecord) -> None:
        if self.leader_term is not None and self.leader_term.loaded:
            self.leader_term.apply_record(ref, version, record)

    # -- interface for the CancellationEnforcer and the ReportHandler ---------------------------

    def knows_current_cancellations(self) -> bool:
        """Whether this node knows every cancellation that was confirmed until a moment ago.

        As the leader it reads them from the state service; otherwise every other node announces them to it.
        """
        now = monotonic_time()
        reads_records = (
            self.leader_term is not None and self.leader_term.loaded and self.election.leadership.has_valid_lease(now)
        )
        return self.cancellation_enforcer.is_synchronized() and (reads_records or self.peers.all_fresh(now))

    def recorded_leader_name(self) -> str:
        """The leader's name according to the state service, or an empty string."""
        return self.election.known_leader

    def handles_cancellation(self, ref: str) -> bool:
        """Whether this node leads and enforces the cancellation of this job."""
        return self.leader_term is not None and self.leader_term.handles_cancellation(ref)

    def has_stopped_all_tasks(self, ref: str) -> bool:
        """Whether this node leads and knows that no machine runs tasks of this job any more."""
        return self.leader_term is not None and self.leader_term.has_stopped_all_tasks(ref)

    def on_machines_deleted(self, machines: list[str]) -> None:
        """Called after the CancellationEnforcer has deleted machines, to notify the leader's work."""
        if self.leader_term is not None:
            self.leader_term.on_machines_deleted_elsewhere(machines)

    def _on_peer_state(self, state: peer_messages.PeerState) -> None:
        leadership = self.election.leadership
        if leadership.role in (Role.LEADER, Role.LEASE_IN_DOUBT) and state.term > leadership.term:
            self.election.step_down(f"{state.node} knows term {state.term}")

    def _on_peer_gone(self, node: str) -> None:
        """Called when a peer refuses connections, as it does after its process has ended.

        If the peer led, its lease is revoked before it expires, but only while this node is connected to another peer.
        A packet filter between nodes refuses connections too: a node that was partitioned from all others once revoked
        a healthy leader's lease, became leader without receiving any report, and deleted 16 machines.
        """
        peer = self.peers.by_node[node]
        if peer.last_state is not None and peer.last_state.leads and self.peers.connected(except_node=node):
            asyncio.ensure_future(self.election.revoke_lease_of(node))

    def _on_record_committed(self, ref: str, version: int, record: records.JobRecord) -> None:
        """Called after this node has committed a change of a job, to notify the leader at once."""
        if self.leader_term is not None:
            self._apply_to_leader_term(ref, version, record)
        elif record.state != JobState.CANCELLED.value or not record.assignments:
            self.peers.notify_leader(peer_messages.RecordAnnouncement(version, ref, records.encode(record)))
        # A cancellation with assigned tasks is sent to all nodes, and repeated to each until it acknowledges.
        self.cancellation_enforcer.add_record(ref, version, record)

    def unavailable_reason(self) -> str | None:
        """The reason why this node can't serve requests, or None if it can.

        In an outage that affects all nodes it counts as available, since no other node could serve better.
        """
        now = monotonic_time()
        if not self.types and now - self._started_at < constants.STARTUP_GRACE_S:
            return "machine types are not known yet"
        if self.state.health() is Health.DOWN and self.peers.any_peer_reaches_state_service(now):
            return "the state service refuses this node"
        # A node that reaches neither the state service nor any peer is either in an outage of all nodes or alone in a
        # partition. Its workers show which: in a partition they find other nodes, or their reports cease.
        silent_s = now - max(self._started_at, self.reports.last_report_at)
        if (
            self.settings.seeds
            and not self.can_reach_others()
            and (
                self.reports.partition_detector.state is PartitionState.REDIRECTING
                or silent_s > self.settings.settings.workers.lease_s
            )
        ):
            return "neither the state service nor any node is in reach"
        return None

    def can_reach_others(self) -> bool:
        """Whether the state service or any peer has answered this node recently."""
        return self.state.health() is not Health.DOWN or self.peers.any_fresh(monotonic_time())

    def unreachable_leader_name(self) -> str | None:
        """The leader's name according to the state service if this node can't forward reports to it; None otherwise."""
        if self.leader_term is not None or self.peers.leader(monotonic_time()) is not None:
            return None
        name = self.election.known_leader
        return name if name in self.peers.by_node and self.state.health() is Health.GOOD else None

    def near_socket_limit(self) -> bool:
        """Whether open connections are near the socket limit: beyond it, reports, peers and services get no socket."""
        limit = self.settings.settings.machine_limits.sockets * constants.SOCKET_SHARE
        return self._server is not None and self._server.open_connections > limit

    def _on_role_change(self) -> None:
        """Start or stop the leader's work after a change of role."""
        if self.election.leadership.role is Role.LEADER:
            self.leader_term = LeaderTerm(
                self.settings,
                self.state,
                self.cloud,
                self.election,
                self.types,
                self.peers,
                self.script,
                self.cancellation_enforcer,
            )
            self.cloud.set_leading(True)
            self.leader_term.start()
            for extension in self._extensions:
                extension.on_leadership_gained(self.leader_term)
        elif self.leader_term is not None:
            self._end_leading()
            self.cloud.set_leading(False)

    def _end_leading(self) -> None:
        if self.leader_term is not None:
            for extension in self._extensions:
                extension.on_leadership_lost()
            self.leader_term.stop()
            self.leader_term = None

    # -- running -------------------------------------------------------------------------------

    async def _refresh_machine_types(self) -> None:
        while True:
            try:
                offered = await self.cloud.types()
                self._update_types(offered)
                for machine in self.leader_term.cluster.machines.values() if self.leader_term else ():
                    machine.type = offered.get(machine.type_name, machine.type)
            except CloudError as err:
                log.info("machine types: request failed: error=%s", err)
            await asyncio.sleep(constants.MACHINE_TYPES_INTERVAL_S if self.types else constants.CLOUD_RETRY_DELAY_S)

    def _update_types(self, offered: dict[str, MachineType]) -> None:
        known = self.withdrawn_types | self.types
        withdrawn = {name: machine_type for name, machine_type in known.items() if name not in offered}
        for name in withdrawn.keys() - self.withdrawn_types.keys():
            log.info("machine type: withdrawn, none is rented, running machines stay: type=%s", name)
        self.withdrawn_types = withdrawn
        self.types.clear()
        self.types.update(offered)

    async def run(self) -> None:
        """Serve users, workers and peers until cancelled. Raises OSError if an address is in use."""
        extension_routes = [route for extension in self._extensions for route in extension.routes()]
        self._server = current_runtime().serve(
            ReportFastPath(application(self, extension_routes), self.reports.handle),
            *parse_addr(self.settings.client_listen, "client_listen"),
            max_body_size=constants.REQUEST_BODY_MAX_BYTES,
            idle_connection_timeout=constants.SERVER_CONNECTION_IDLE_TIMEOUT_S,
        )
        self.peers.start(*parse_addr(self.settings.back, "back"))
        log.info(
            "node: listening: node=%s zone=%s address=%s",
            self.settings.node,
            self.settings.zone,
            self.settings.client_listen,
        )
        # Objects created at start-up are never freed, so the garbage collector need not scan them again.
        gc.collect()
        gc.freeze()
        await asyncio.gather(self._refresh_machine_types(), self.election.run(), self.cancellation_enforcer.run())

    def stop(self) -> None:
        """Stop immediately, as if the process were killed; for programs that embed a node, and for tests."""
        self._end_leading()
        if self._server is not None:
            self._server.stop()
            asyncio.ensure_future(self._server.close_all_connections())
        self.peers.shut_down()
