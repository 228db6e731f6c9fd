"""The faults that a generated run may have, each a function that schedules it `delay_s` seconds from now.

Their names are part of the seeds of generated runs (`FaultRun`) and of test ids. `FAULTS` and `FURTHER_FAULTS` list
them in the order of the operators' page.
"""

from __future__ import annotations

import json
from collections.abc import Callable

from meeting import FaultRun

from winglift.net.client import Unanswered


def alone(run: FaultRun, delay_s: float) -> None:
    """The state service refuses the requests of the leader only."""
    refused_node: list[str] = []

    def begin() -> None:
        refused_node.append(run.leader_name())
        run.simulation.state.refused.add(refused_node[0])

    run.schedule(delay_s, run.rng.choice([2.0, 6.0, 14.0]), begin, lambda: run.simulation.state.refused.clear())


def outage(run: FaultRun, delay_s: float) -> None:
    """The state service is down."""
    run.schedule(
        delay_s,
        run.rng.choice([5.0, 15.0, 33.0, 45.0]),
        lambda: setattr(run.simulation.state, "down", True),
        lambda: setattr(run.simulation.state, "down", False),
    )


def gap(run: FaultRun, delay_s: float) -> None:
    """The leader is refused, the state service goes down soon after, and four jobs are cancelled in between."""
    alone(run, delay_s)
    outage(run, delay_s + run.rng.choice([0.1, 0.6, 1.5, 3.2, 5.0]))
    for ref in run.refs[:4]:
        run.cancel_job(delay_s + 0.05 + run.rng.random() * 1.5, ref)


def apart(run: FaultRun, delay_s: float) -> None:
    """The leader is cut off from the other nodes, the state service and the cloud, in both directions."""
    others = [f"node-{i}" for i in range(3)] + ["services"]
    run.cut_links(
        delay_s,
        run.rng.choice([8.0, 20.0, 40.0]),
        lambda: [pair for o in others if o != (leader := run.leader_name()) for pair in ((leader, o), (o, leader))],
        run.rng.random() < 0.5,
    )


def zone(run: FaultRun, delay_s: float) -> None:
    """A zone is cut off from the other zone, the state service, the cloud and the users, in both directions."""
    near = run.rng.choice(["a", "b"])
    far = "b" if near == "a" else "a"
    run.cut_links(
        delay_s,
        run.rng.choice([8.0, 16.0, 30.0]),
        lambda: [pair for o in (f"@{far}", "services", "users") for pair in ((f"@{near}", o), (o, f"@{near}"))],
        run.rng.random() < 0.5,
    )


def late_writes(run: FaultRun, delay_s: float) -> None:
    """Transactions are carried out seconds late and not answered."""
    run.schedule(delay_s, 20.0, lambda: setattr(run, "late_writes", 0.4), lambda: setattr(run, "late_writes", 0.0))
    run.faults_end_at += 12.0


def late_reports(run: FaultRun, delay_s: float) -> None:
    """Copies of reports arrive up to 25 s after the originals."""
    run.schedule(delay_s, 30.0, lambda: setattr(run, "report_copies", 0.5), lambda: setattr(run, "report_copies", 0.0))
    run.faults_end_at += 25.0


def held_commands(run: FaultRun, delay_s: float) -> None:
    """Commands sent directly to machines are delayed by seconds."""
    run.schedule(delay_s, 30.0, lambda: setattr(run, "held_commands", 0.7), lambda: setattr(run, "held_commands", 0.0))
    run.faults_end_at += 9.0


def deaf(run: FaultRun, delay_s: float) -> None:
    """Nothing that nodes send reaches some of the machines."""
    run.cut_links(
        delay_s,
        run.rng.choice([8.0, 30.0]),
        lambda: [(f"node-{i}", name) for name in run.sample_machines() for i in range(3)],
        False,
    )


def mute(run: FaultRun, delay_s: float) -> None:
    """Nothing that some of the machines send reaches a node."""
    run.cut_links(
        delay_s,
        run.rng.choice([8.0, 30.0]),
        lambda: [(name, f"node-{i}") for name in run.sample_machines() for i in range(3)],
        False,
    )


def hang(run: FaultRun, delay_s: float) -> None:
    """Some machines are suspended, and resume."""
    hosts: list = []

    def begin() -> None:
        hosts.extend(run.simulation._hosts[name] for name in run.sample_machines())
        for host in hosts:
            host.suspend()

    run.schedule(delay_s, run.rng.choice([4.0, 9.0, 30.0]), begin, lambda: [host.resume() for host in hosts])


def die(run: FaultRun, delay_s: float) -> None:
    """Two machines stop for good."""
    run.simulation.later(delay_s, run.simulation.die, 2)
    run.faults_end_at = max(run.faults_end_at, run.simulation.loop.now + delay_s + 30.0)


def freeze(run: FaultRun, delay_s: float) -> None:
    """The leader process is suspended, and resumes."""
    hosts: list = []

    def begin() -> None:
        if run.leader_name() in run.simulation.nodes:
            hosts.append(run.simulation.nodes[run.leader_name()][0])
            hosts[0].suspend()

    run.schedule(delay_s, run.rng.choice([4.0, 14.0]), begin, lambda: [host.resume() for host in hosts])


def crash(run: FaultRun, delay_s: float) -> None:
    """The leader crashes and is restarted."""
    run.crash_node(delay_s, run.leader_name, run.rng.choice([0.05, 0.4, 3.0]))


def crash_all(run: FaultRun, delay_s: float) -> None:
    """All nodes crash within a tenth of a second and are restarted one after another."""
    restart_after_s = run.rng.choice([0.1, 3.0, 14.0])
    for n in range(3):
        run.crash_node(delay_s + 0.05 * n, lambda n=n: f"node-{n}", restart_after_s + 0.3 * n)  # type: ignore[misc]


def changes(run: FaultRun, delay_s: float) -> None:
    """The leader crashes six times, every 4.5 s."""
    for n in range(6):
        run.crash_node(delay_s + 4.5 * n, run.leader_name, run.rng.choice([0.05, 0.4, 3.0]))


def roll(run: FaultRun, delay_s: float) -> None:
    """All nodes are restarted one after another."""
    for n in range(3):
        run.crash_node(delay_s + 5.0 * n, lambda n=n: f"node-{n}", 0.4)  # type: ignore[misc]


def cloud_down(run: FaultRun, delay_s: float) -> None:
    run.schedule(
        delay_s,
        10.0,
        lambda: setattr(run.simulation.cloud, "down", True),
        lambda: setattr(run.simulation.cloud, "down", False),
    )


def at_end(run: FaultRun, delay_s: float) -> None:
    """Jobs are cancelled just as their last task ends."""
    on_change = run.simulation._changed

    def cancel_completed(worker, change, task):
        on_change(worker, change, task)
        ref = task.partition("/")[0]
        if change == "done" and ref in run.refs and run.simulation.jobs[ref].names() == run.simulation.jobs[ref].done:
            run.simulation.later(run.rng.choice([0.0, 0.01, 0.1]), run.simulation.poll, ref, True)
            run.cancel_job_at_node(run.rng.randrange(3), ref)

    run.simulation._changed = cancel_completed  # type: ignore[method-assign]


FAULTS = (
    alone,
    outage,
    gap,
    apart,
    zone,
    late_writes,
    late_reports,
    held_commands,
    deaf,
    mute,
    hang,
    die,
    freeze,
    crash,
    crash_all,
    changes,
    roll,
    cloud_down,
    at_end,
)


def close_looks(run: FaultRun, delay_s: float) -> None:
    """Every node gets status requests and a repeated submission within milliseconds of each change of a job."""
    seen: set[tuple[str, str]] = set()
    ask_once = run.simulation._ask_once

    async def ask_and_check(address, method, path, body):  # type: ignore[no-untyped-def]
        reply = await ask_once(address, method, path, body)
        if reply is not None and reply.status in (200, 201):
            ref = (body or {}).get("ref") or path.split("/")[2]
            status = json.loads(reply.body)["status"]
            if ref in run.simulation.jobs and (ref, status) not in seen:
                seen.add((ref, status))
                _query_all_nodes(run, ref)
        return reply

    run.schedule(
        delay_s - 15.0,
        60.0,
        lambda: setattr(run.simulation, "_ask_once", ask_and_check),
        lambda: setattr(run.simulation, "_ask_once", ask_once),
    )


def _query_all_nodes(run: FaultRun, ref: str) -> None:
    """Query the job four times at each node within 20 ms, submit it again there, and sometimes cancel it."""
    for n in range(3):
        for delay in (0.0, 0.001, 0.004, 0.02):
            run.simulation.later(delay, run.simulation.send_once, n, "GET", f"/work/{ref}")
        run.simulation.later(
            run.rng.choice([0.0, 0.002]), run.simulation.send_once, n, "POST", "/work", run.simulation.jobs[ref].spec
        )
    if run.rng.random() < 0.15:
        run.simulation.later(0.0, run.simulation.send_once, run.rng.randrange(3), "POST", f"/work/{ref}/abort", {})


def lost_answers(run: FaultRun, delay_s: float) -> None:
    """Transactions are carried out, but their answers are lost."""
    run.schedule(delay_s, 25.0, lambda: setattr(run, "lost_answers", 0.4), lambda: setattr(run, "lost_answers", 0.0))


def slow_state(run: FaultRun, delay_s: float) -> None:
    """Answers of the state service and the cloud are slow."""
    run.schedule(delay_s, 20.0, lambda: setattr(run, "slow_answers", 0.5), lambda: setattr(run, "slow_answers", 0.0))


def old_reports(run: FaultRun, delay_s: float) -> None:
    """Copies of old reports reach every node as soon as another leader is elected, and again up to 2.6 s later."""

    def send_copies() -> None:
        for delay in (0.0, 0.05, 0.3, 1.0, 2.6):
            run.simulation.later(
                delay, send_to_all_nodes, run, run.rng.sample(run.captured_reports, min(30, len(run.captured_reports)))
            )

    run.schedule(
        delay_s - 15.0, 75.0, lambda: setattr(run, "report_captures", 0.3), lambda: setattr(run, "report_captures", 0.0)
    )
    on_each_new_leader(run, send_copies)


def on_each_new_leader(run: FaultRun, action: Callable[[], None]) -> None:
    """Call `action` as soon as a leader other than the first one has written the leader key."""
    seen_revisions: list[int] = []

    def check_leader_key() -> None:
        leader_item = run.simulation.state.keys.get("leader")
        if leader_item is not None and leader_item[1] not in seen_revisions:
            seen_revisions.append(leader_item[1])
            if len(seen_revisions) > 1:
                action()
        run.simulation.later(0.005, check_leader_key)

    run.simulation.later(0.0, check_leader_key)


def send_to_all_nodes(run: FaultRun, copies: list[tuple[str, bytes]]) -> None:
    """Send each of these reports (machine and body) to every node again."""
    for _, body in copies:
        for address in run.simulation.addresses:
            run.simulation.users.run(_send_report(run, address, body))


async def _send_report(run: FaultRun, address: str, body: bytes) -> None:
    try:
        await run.simulation.users.client(address, 8080).request("POST", "/v1/report", body, 4.0)
    except Unanswered:
        pass  # the answer to a copy is ignored


def late_commands(run: FaultRun, delay_s: float) -> None:
    """Commands sent directly to machines are delayed by up to 16 s."""
    run.command_delay_s = (2.0, 16.0)
    run.schedule(delay_s, 30.0, lambda: setattr(run, "held_commands", 0.7), lambda: setattr(run, "held_commands", 0.0))
    run.faults_end_at += 16.0


def quick(run: FaultRun, delay_s: float) -> None:
    """New machines boot within two seconds, while more jobs are submitted."""
    boot_s = run.rng.choice([0.3, 1.0, 2.0])
    run.schedule(
        delay_s,
        30.0,
        lambda: run.simulation.cloud.type.update(bootS=boot_s),
        lambda: run.simulation.cloud.type.update(bootS=6.0),
    )
    for _ in range(5):
        run.submit(delay_s + run.rng.random() * 10.0, f"wk-{2000 + len(run.refs)}", pieces=6)


def full(run: FaultRun, delay_s: float) -> None:
    """Every team is at its quota; a third of the added jobs is cancelled."""
    for n in range(7 * len(run.teams)):
        ref = f"wk-{3000 + len(run.refs)}"
        run.submit(delay_s - 15.0 + run.rng.random() * 5.0, ref, pieces=4, owner=run.teams[n % len(run.teams)])
        if n % 3 == 0:
            run.cancel_job(delay_s + run.rng.random() * 20.0, ref)


def hang_cancelled(run: FaultRun, delay_s: float) -> None:
    """Jobs are cancelled, and machines that run them are suspended at that moment."""
    hosts: list = []
    names: list[str] = []

    def begin() -> None:
        names.extend(run.sample_machines(0.5))
        for name in names:
            worker = run.simulation.cloud.machines[name][1]
            assert worker is not None
            refs = sorted({task.partition("/")[0] for task, _ in worker.tasks})
            for ref in refs[:2]:
                run.cancel_job(run.rng.random() * 0.2, ref)
            hosts.append(run.simulation._hosts[name])
            hosts[-1].suspend()

    run.schedule(delay_s, run.rng.choice([4.0, 14.0, 30.0]), begin, lambda: [host.resume() for host in hosts])


def cut_cancelled(run: FaultRun, delay_s: float) -> None:
    """Jobs are cancelled, and machines that run them are cut off from all nodes at that moment."""

    def pairs() -> list[tuple[str, str]]:
        links = []
        for name in run.sample_machines(0.5):
            worker = run.simulation.cloud.machines[name][1]
            assert worker is not None
            for ref in sorted({task.partition("/")[0] for task, _ in worker.tasks})[:2]:
                run.cancel_job(run.rng.random() * 0.2, ref)
            links += [pair for i in range(3) for pair in ((name, f"node-{i}"), (f"node-{i}", name))]
        return links

    run.cut_links(delay_s, run.rng.choice([6.0, 14.0, 40.0]), pairs, run.rng.random() < 0.5)


def cancel_changes(run: FaultRun, delay_s: float) -> None:
    """Jobs are cancelled during two changes of the leader."""
    run.crash_node(delay_s, run.leader_name, run.rng.choice([0.05, 0.4, 3.0]))
    run.crash_node(delay_s + run.rng.choice([1.0, 2.5, 5.0]), run.leader_name, 0.4)
    for ref in run.refs[::2]:
        run.cancel_job(delay_s + run.rng.uniform(-0.3, 6.0), ref)


def small_jobs(run: FaultRun, delay_s: float) -> None:
    """Four jobs of one task a second for 30 s; a quarter of them is cancelled."""
    for n in range(120):
        submit_after_s, ref = delay_s - 10.0 + n / 4, f"wk-{4000 + len(run.refs)}"
        run.submit(submit_after_s, ref, pieces=1, gpus=0.25, cpus=1.0)
        if run.rng.random() < 0.25:
            run.cancel_job(submit_after_s + run.rng.uniform(0.0, 15.0), ref)
    run.faults_end_at = max(run.faults_end_at, run.simulation.loop.now + delay_s + 30.0)


FURTHER_FAULTS = (
    close_looks,
    lost_answers,
    slow_state,
    old_reports,
    late_commands,
    quick,
    full,
    hang_cancelled,
    cut_cancelled,
    cancel_changes,
    small_jobs,
)
