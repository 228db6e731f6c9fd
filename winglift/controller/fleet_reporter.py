"""The fleet summary, which the leader sends to the other nodes so that a successor knows the state of the machines."""

from __future__ import annotations

from .. import constants
from ..cluster.peer_connections import PeerConnections
from ..model.cluster_state import ClusterState
from ..policy.failure_detector import FailureDetector, last_contact
from ..store.image_cache_snapshots import ImageCacheSnapshots
from ..wire import peer as peer_messages


class FleetReporter:
    """Sends the fleet summary to the peers every `FLEET_SUMMARY_INTERVAL_S`, and saves the image caches when due."""

    def __init__(
        self,
        cluster: ClusterState,
        peers: PeerConnections,
        failure_detector: FailureDetector,
        image_cache_snapshots: ImageCacheSnapshots,
    ) -> None:
        self.cluster = cluster
        self.peers = peers
        self.failure_detector = failure_detector
        self.image_cache_snapshots = image_cache_snapshots
        self._next_report_at = 0.0

    def report_if_due(self, now: float) -> None:
        """Send the summary if the last one was sent `FLEET_SUMMARY_INTERVAL_S` before `now` (monotonic, s)."""
        if now < self._next_report_at:
            return
        self._next_report_at = now + constants.FLEET_SUMMARY_INTERVAL_S
        images_by_machine = {
            machine.name: dict(machine.images) for machine in self.cluster.machines.values() if machine.images
        }
        silent_s_by_machine = {
            machine.name: now - last_contact(machine) for machine in self.failure_detector.silent_machines(now)
        }
        self.peers.announce_fleet(peer_messages.FleetSummary(images_by_machine, silent_s_by_machine))
        if self.image_cache_snapshots.due(now):
            self.image_cache_snapshots.save(images_by_machine, now)
