"""The preemptible tasks and movable replicas of one machine, for the policy's snapshot."""

from __future__ import annotations

from dataclasses import dataclass

from ..model.cluster_state import zone_counts
from ..model.entities import Machine, MachineUsage
from ..policy import snapshot as policy_snapshot
from ..wire.users import Kind
from .stop_cost import loses_gang_start, lost_work_s


@dataclass(frozen=True, slots=True)
class MachineInspection:
    """The preemptible tasks and movable replicas of a machine at `inspected_at` (monotonic, s).

    It is valid while the machine's usage is `machine_usage`.
    """

    machine_usage: MachineUsage
    inspected_at: float
    victims: list[policy_snapshot.Victim]
    movable_replicas: list[policy_snapshot.MovableReplica]


def inspect_tasks(
    machine: Machine, jobs_within_guarantee: set[str], now: float
) -> tuple[list[policy_snapshot.Victim], list[policy_snapshot.MovableReplica]]:
    """The tasks on a machine that may be preempted, and its replicas that could be migrated.

    `jobs_within_guarantee` are the jobs that their teams' guarantees cover; `now` is monotonic time (s).
    """
    victims: list[policy_snapshot.Victim] = []
    replicas: list[policy_snapshot.MovableReplica] = []
    for task in machine.tasks.values():
        spec = task.job.spec
        if task.preemptible:
            victims.append(
                policy_snapshot.Victim(
                    task.job.ref,
                    task.index,
                    spec.priority,
                    spec.team,
                    spec.cpus,
                    spec.gpus,
                    spec.memory_gb,
                    lost_work_s(task, now),
                    spec.tasks if spec.kind is Kind.GANG else 1,
                    task.job.ref in jobs_within_guarantee,
                    loses_gang_start(task, now),
                )
            )
        elif task.is_running_replica:
            ran_s = now - (task.running_since if task.running_since is not None else now)
            replicas.append(
                policy_snapshot.MovableReplica(task.job.ref, spec, zone_counts(task.job), ran_s, task.index)
            )
    return victims, replicas
