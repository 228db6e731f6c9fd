"""The troubles that a generated day may have, each a function of the day and of the moment at which it begins."""

from __future__ import annotations

import json
from collections.abc import Callable

from meeting import Meeting

from winglift.net.client import Unanswered

# -- the troubles, in the order of the operators' page -----------------------------------------


def alone(m: Meeting, at: float) -> None:
    name: list[str] = []

    def begin() -> None:
        name.append(m.leads())
        m.simulation.state.refused.add(name[0])

    m.lasts(at, m.rng.choice([2.0, 6.0, 14.0]), begin, lambda: m.simulation.state.refused.clear())


def outage(m: Meeting, at: float) -> None:
    m.lasts(
        at,
        m.rng.choice([5.0, 15.0, 33.0, 45.0]),
        lambda: setattr(m.simulation.state, "down", True),
        lambda: setattr(m.simulation.state, "down", False),
    )


def gap(m: Meeting, at: float) -> None:
    alone(m, at)
    outage(m, at + m.rng.choice([0.1, 0.6, 1.5, 3.2, 5.0]))
    for ref in m.refs[:4]:
        m._cancel(at + 0.05 + m.rng.random() * 1.5, ref)


def apart(m: Meeting, at: float) -> None:
    others = [f"node-{i}" for i in range(3)] + ["services"]
    m.cuts(
        at,
        m.rng.choice([8.0, 20.0, 40.0]),
        lambda: [pair for o in others if o != (lead := m.leads()) for pair in ((lead, o), (o, lead))],
        m.rng.random() < 0.5,
    )


def zone(m: Meeting, at: float) -> None:
    side = m.rng.choice(["a", "b"])
    far = "b" if side == "a" else "a"
    m.cuts(
        at,
        m.rng.choice([8.0, 16.0, 30.0]),
        lambda: [pair for o in (f"@{far}", "services", "users") for pair in ((f"@{side}", o), (o, f"@{side}"))],
        m.rng.random() < 0.5,
    )


def late_writes(m: Meeting, at: float) -> None:
    m.lasts(at, 20.0, lambda: setattr(m, "late_writes", 0.4), lambda: setattr(m, "late_writes", 0.0))
    m.over += 12.0


def late_reports(m: Meeting, at: float) -> None:
    m.lasts(at, 30.0, lambda: setattr(m, "late_reports", 0.5), lambda: setattr(m, "late_reports", 0.0))
    m.over += 25.0


def held_commands(m: Meeting, at: float) -> None:
    m.lasts(at, 30.0, lambda: setattr(m, "held_commands", 0.7), lambda: setattr(m, "held_commands", 0.0))
    m.over += 9.0


def deaf(m: Meeting, at: float) -> None:
    m.cuts(
        at,
        m.rng.choice([8.0, 30.0]),
        lambda: [(f"node-{i}", name) for name in m.some_machines() for i in range(3)],
        False,
    )


def mute(m: Meeting, at: float) -> None:
    m.cuts(
        at,
        m.rng.choice([8.0, 30.0]),
        lambda: [(name, f"node-{i}") for name in m.some_machines() for i in range(3)],
        False,
    )


def hang(m: Meeting, at: float) -> None:
    hosts: list = []

    def begin() -> None:
        hosts.extend(m.simulation._hosts[name] for name in m.some_machines())
        for host in hosts:
            host.suspend()

    m.lasts(at, m.rng.choice([4.0, 9.0, 30.0]), begin, lambda: [host.resume() for host in hosts])


def die(m: Meeting, at: float) -> None:
    m.simulation.later(at, m.simulation.die, 2)
    m.over = max(m.over, m.simulation.loop.now + at + 30.0)


def freeze(m: Meeting, at: float) -> None:
    hosts: list = []

    def begin() -> None:
        if m.leads() in m.simulation.nodes:
            hosts.append(m.simulation.nodes[m.leads()][0])
            hosts[0].suspend()

    m.lasts(at, m.rng.choice([4.0, 14.0]), begin, lambda: [host.resume() for host in hosts])


def crash(m: Meeting, at: float) -> None:
    m.crash(at, m.leads, m.rng.choice([0.05, 0.4, 3.0]))


def crash_all(m: Meeting, at: float) -> None:
    back = m.rng.choice([0.1, 3.0, 14.0])
    for n in range(3):
        m.crash(at + 0.05 * n, lambda n=n: f"node-{n}", back + 0.3 * n)  # type: ignore[misc]


def changes(m: Meeting, at: float) -> None:
    for n in range(6):
        m.crash(at + 4.5 * n, m.leads, m.rng.choice([0.05, 0.4, 3.0]))


def roll(m: Meeting, at: float) -> None:
    for n in range(3):
        m.crash(at + 5.0 * n, lambda n=n: f"node-{n}", 0.4)  # type: ignore[misc]


def cloud_down(m: Meeting, at: float) -> None:
    m.lasts(
        at, 10.0, lambda: setattr(m.simulation.cloud, "down", True), lambda: setattr(m.simulation.cloud, "down", False)
    )


def at_end(m: Meeting, at: float) -> None:
    """Jobs are called off in the moment in which their last task ends."""
    changed = m.simulation._changed

    def look(worker, what, piece):
        changed(worker, what, piece)
        ref = piece.partition("/")[0]
        if what == "done" and ref in m.refs and m.simulation.jobs[ref].names() == m.simulation.jobs[ref].done:
            m.simulation.later(m.rng.choice([0.0, 0.01, 0.1]), m.simulation.poll, ref, True)
            m._copy_cancel(m.rng.randrange(3), ref)

    m.simulation._changed = look  # type: ignore[method-assign]


TROUBLES = (
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


# -- the further meetings of the page ----------------------------------------------------------


def close_looks(m: Meeting, at: float) -> None:
    """Users ask at all nodes, and submit again, within milliseconds of each acceptance and end; some cancel at once."""
    seen: set[tuple[str, str]] = set()
    ask = m.simulation._ask_once

    async def asks(address, method, path, body):  # type: ignore[no-untyped-def]
        reply = await ask(address, method, path, body)
        if reply is not None and reply.status in (200, 201):
            ref = (body or {}).get("ref") or path.split("/")[2]
            status = json.loads(reply.body)["status"]
            if ref in m.simulation.jobs and (ref, status) not in seen:
                seen.add((ref, status))
                _look_closely(m, ref)
        return reply

    m.lasts(
        at - 15.0,
        60.0,
        lambda: setattr(m.simulation, "_ask_once", asks),
        lambda: setattr(m.simulation, "_ask_once", ask),
    )


def _look_closely(m: Meeting, ref: str) -> None:
    for number in range(3):
        for delay in (0.0, 0.001, 0.004, 0.02):
            m.simulation.later(delay, m.simulation.send_once, number, "GET", f"/work/{ref}")
        m.simulation.later(
            m.rng.choice([0.0, 0.002]), m.simulation.send_once, number, "POST", "/work", m.simulation.jobs[ref].spec
        )
    if m.rng.random() < 0.15:
        m.simulation.later(0.0, m.simulation.send_once, m.rng.randrange(3), "POST", f"/work/{ref}/abort", {})


def lost_answers(m: Meeting, at: float) -> None:
    """Transactions are carried out at once, and their answers are lost."""
    m.lasts(at, 25.0, lambda: setattr(m, "lost_answers", 0.4), lambda: setattr(m, "lost_answers", 0.0))


def slow_state(m: Meeting, at: float) -> None:
    m.lasts(at, 20.0, lambda: setattr(m, "slow_answers", 0.5), lambda: setattr(m, "slow_answers", 0.0))


def old_reports(m: Meeting, at: float) -> None:
    """Copies of reports are kept, and reach every node as soon as another leader begins, and again a little later."""

    def deliver() -> None:
        for delay in (0.0, 0.05, 0.3, 1.0, 2.6):
            m.simulation.later(delay, deliver_everywhere, m, m.rng.sample(m.reports, min(30, len(m.reports))))

    m.lasts(at - 15.0, 75.0, lambda: setattr(m, "kept_reports", 0.3), lambda: setattr(m, "kept_reports", 0.0))
    at_each_new_leader(m, deliver)


def at_each_new_leader(m: Meeting, what: Callable[[], None]) -> None:
    """Called as soon as a leader that is not the day's first has taken the key."""
    seen: list[int] = []

    def look() -> None:
        record = m.simulation.state.keys.get("leader")
        if record is not None and record[1] not in seen:
            seen.append(record[1])
            if len(seen) > 1:
                what()
        m.simulation.later(0.005, look)

    m.simulation.later(0.0, look)


def deliver_everywhere(m: Meeting, copies: list[tuple[str, bytes]]) -> None:
    """Each of these reports, machine and body, reaches every node once more."""
    for _, body in copies:
        for address in m.simulation.addresses:
            m.simulation.users.run(_report(m, address, body))


async def _report(m: Meeting, address: str, body: bytes) -> None:
    try:
        await m.simulation.users.client(address, 8080).request("POST", "/v1/report", body, 4.0)
    except Unanswered:
        pass  # a copy: nobody waits for its answer


def late_commands(m: Meeting, at: float) -> None:
    m.command_delay_s = (2.0, 16.0)
    m.lasts(at, 30.0, lambda: setattr(m, "held_commands", 0.7), lambda: setattr(m, "held_commands", 0.0))
    m.over += 16.0


def quick(m: Meeting, at: float) -> None:
    """New machines are up within two seconds, and there is work for them at once."""
    boot_s = m.rng.choice([0.3, 1.0, 2.0])
    m.lasts(
        at,
        30.0,
        lambda: m.simulation.cloud.type.update(bootS=boot_s),
        lambda: m.simulation.cloud.type.update(bootS=6.0),
    )
    for _ in range(5):
        m.submit(at + m.rng.random() * 10.0, f"wk-{2000 + len(m.refs)}", pieces=6)


def full(m: Meeting, at: float) -> None:
    """Every team is at its limit."""
    for n in range(7 * len(m.teams)):
        ref = f"wk-{3000 + len(m.refs)}"
        m.submit(at - 15.0 + m.rng.random() * 5.0, ref, pieces=4, owner=m.teams[n % len(m.teams)])
        if n % 3 == 0:
            m._cancel(at + m.rng.random() * 20.0, ref)


def hang_cancelled(m: Meeting, at: float) -> None:
    """Jobs are called off, and machines that run them hang at that moment or are cut off."""
    hosts: list = []
    names: list[str] = []

    def begin() -> None:
        names.extend(m.some_machines(0.5))
        for name in names:
            worker = m.simulation.cloud.machines[name][1]
            assert worker is not None
            refs = sorted({task.partition("/")[0] for task, _ in worker.tasks})
            for ref in refs[:2]:
                m._cancel(m.rng.random() * 0.2, ref)
            hosts.append(m.simulation._hosts[name])
            hosts[-1].suspend()

    m.lasts(at, m.rng.choice([4.0, 14.0, 30.0]), begin, lambda: [host.resume() for host in hosts])


def cut_cancelled(m: Meeting, at: float) -> None:
    """The same with machines that nothing reaches, and that reach nobody."""

    def pairs() -> list[tuple[str, str]]:
        found = []
        for name in m.some_machines(0.5):
            worker = m.simulation.cloud.machines[name][1]
            assert worker is not None
            for ref in sorted({task.partition("/")[0] for task, _ in worker.tasks})[:2]:
                m._cancel(m.rng.random() * 0.2, ref)
            found += [pair for i in range(3) for pair in ((name, f"node-{i}"), (f"node-{i}", name))]
        return found

    m.cuts(at, m.rng.choice([6.0, 14.0, 40.0]), pairs, m.rng.random() < 0.5)


def cancel_changes(m: Meeting, at: float) -> None:
    """Jobs are called off in the seconds in which the leader's work changes hands."""
    m.crash(at, m.leads, m.rng.choice([0.05, 0.4, 3.0]))
    m.crash(at + m.rng.choice([1.0, 2.5, 5.0]), m.leads, 0.4)
    for ref in m.refs[::2]:
        m._cancel(at + m.rng.uniform(-0.3, 6.0), ref)


def small_jobs(m: Meeting, at: float) -> None:
    """Jobs of one task, four a second, a quarter of them called off."""
    for n in range(120):
        when, ref = at - 10.0 + n / 4, f"wk-{4000 + len(m.refs)}"
        m.submit(when, ref, pieces=1, gpus=0.25, cpus=1.0)
        if m.rng.random() < 0.25:
            m._cancel(when + m.rng.uniform(0.0, 15.0), ref)
    m.over = max(m.over, m.simulation.loop.now + at + 30.0)


FURTHER = (
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
