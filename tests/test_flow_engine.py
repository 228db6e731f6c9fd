"""Workflows on generated graphs: steps end in any order, and the leader may die at any time."""

from __future__ import annotations

import asyncio
import math
import random
from typing import Any

import msgspec
import pytest
from helpers import MACHINE_TYPE, settings
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from standins.flow_leader import InMemoryUploadStore, InProcessStateClient, StandInLeader
from standins.state import StateService
from winglift.flows import records
from winglift.flows.command import TaskResources
from winglift.flows.engine import Engine
from winglift.flows.expressions import Evaluator, ExpressionError, ExpressionTimeout, JavaScriptEngine
from winglift.flows.graph import Node, critical, divide, graph
from winglift.flows.leader import Superseded
from winglift.flows.parts import StepJob, build_submission
from winglift.flows.run import FlowRun
from winglift.flows.values import FlowError
from winglift.policy.split import split_deadline
from winglift.store.client import OutcomeUnknown, RequestRejected
from winglift.wire import flows as flow_messages
from winglift.wire import state as state_messages
from winglift.wire.users import InvalidMessage

# -- graphs --------------------------------------------------------------------------------------

TOOL = flow_messages.Tool(
    [flow_messages.Param("x", {"array": "string"}, binding=flow_messages.Binding())],
    [flow_messages.Output("out", "string", ["out.txt"], True, "$(self[0].contents)")],
    ["echo"],
    image="img",
    stdout="out.txt",
)


@st.composite
def plans(draw: st.DrawFn) -> flow_messages.Plan:
    """Steps with outputs of earlier steps as inputs; some are scattered over the list in the order."""
    count = draw(st.integers(1, 7))
    steps = []
    for number in range(count):
        parents = draw(st.lists(st.integers(0, number - 1), max_size=3, unique=True)) if number else []
        single = [p for p in parents if not steps[p].scatter]
        sources = [f"s{p}/out" for p in single] or ["one"]
        is_scattered = draw(st.booleans())
        scattered_input = (
            [flow_messages.StepInput("x", ["lists"])]
            if is_scattered
            else [flow_messages.StepInput("x", sources, several=True)]
        )
        extra_input = (
            [flow_messages.StepInput("after", [f"s{p}/out" for p in parents], several=True)]
            if is_scattered and parents
            else []
        )
        hints = flow_messages.Hints(run_s=float(draw(st.integers(1, 50))))
        steps.append(
            flow_messages.Step(
                f"s{number}", "tool", scattered_input + extra_input, ["out"], ["x"] if is_scattered else [], hints=hints
            )
        )
    outputs = [
        flow_messages.FlowOutput(s.name, {"array": "string"} if s.scatter else "string", [f"{s.name}/out"])
        for s in steps
    ]
    main = flow_messages.Workflow(
        [flow_messages.Param("one", "string"), flow_messages.Param("lists", {"array": {"array": "string"}})],
        outputs,
        steps,
    )
    return flow_messages.parse_plan(flow_messages.encode(flow_messages.Plan("main", {"main": main, "tool": TOOL})))


ORDER = {"one": "1", "lists": [["a"], ["b", "c"], ["d"]]}


def tool_outputs(inputs: dict[str, Any]) -> dict[str, Any]:
    return {"out": "(" + "+".join(inputs["x"]) + ")"}


def play(plan: flow_messages.Plan, seed: int) -> Any:
    """Run a workflow, ending its steps in an order drawn from the seed; return its outputs."""
    rng = random.Random(seed)
    engine = Engine(plan, ORDER, JavaScriptEngine())
    engine.start()
    open_leaves: list[Any] = []
    while engine.outputs is None:
        engine.advance()
        open_leaves += engine.take_ready()
        if engine.outputs is None:
            leaf = open_leaves.pop(rng.randrange(len(open_leaves)))
            engine.complete_step(leaf, [tool_outputs(e) for e in leaf.elements])
    assert open_leaves == []
    return engine.outputs


@given(plans(), st.integers(0, 1000), st.integers(0, 1000))
def test_the_order_in_which_steps_end_changes_nothing(plan, one, other):
    assert play(plan, one) == play(plan, other)


@given(plans(), st.floats(0.1, 3.0), st.data())
def test_a_division_reaches_the_deadline_rises_along_paths_and_keeps_real_ends(plan, share, data):
    nodes = graph(plan)
    span = sum(nodes[p].run_s for p in critical(nodes))
    due = divide(nodes, 100.0, 100.0 + span * share, {}, {})
    for path, node in nodes.items():
        begin = max((due[p] for p in node.parents), default=100.0)
        # Each step gets at least its run time, and a share in proportion to it of any spare time.
        assert due[path] - begin >= node.run_s * max(1.0, share) - 1e-6
    assert math.isclose(max(due.values()), 100.0 + span * max(1.0, share), rel_tol=1e-9)
    # After a step ends early or late, the later steps share the time up to the same deadline, if it can be met.
    first = data.draw(st.sampled_from([p for p, n in nodes.items() if not n.parents]))
    end = 100.0 + data.draw(st.floats(0.0, span))
    again = divide(nodes, 100.0, 100.0 + span * share, {first: end}, {})
    assert again[first] == end
    for path, node in nodes.items():
        assert path == first or all(again[path] >= again[p] - 1e-6 for p in node.parents)
    # A scatter that needs more rounds than expected gets more time, at the cost of other steps.
    wide = divide(nodes, 100.0, 100.0 + span * 3, {}, {first: 2.0})
    before = divide(nodes, 100.0, 100.0 + span * 3, {}, {})
    assert wide[first] >= before[first] - 1e-6


def test_sub_deadlines_use_the_slowest_type_that_meets_the_deadline():

    slow, fast = {"a": 40.0, "b": 60.0}, {"a": 10.0, "b": 30.0}
    assert split_deadline([slow, fast], {"b": ["a"]}, 0.0, 200.0) == {"a": 80.0, "b": 200.0}
    assert split_deadline([slow, fast], {"b": ["a"]}, 0.0, 80.0) == {"a": 20.0, "b": 80.0}
    assert split_deadline([slow, fast], {"b": ["a"]}, 0.0, 20.0) == {"a": 10.0, "b": 40.0}


def test_cycles_recursion_and_oversized_graphs_are_rejected():
    def plan_of(*steps: flow_messages.Step) -> flow_messages.Plan:
        return flow_messages.Plan("main", {"main": flow_messages.Workflow([], [], list(steps)), "tool": TOOL})

    with pytest.raises(FlowError, match="a, b depend on one another in a circle"):
        graph(
            plan_of(
                flow_messages.Step("a", "tool", [flow_messages.StepInput("x", ["b/out"])], ["out"]),
                flow_messages.Step("b", "tool", [flow_messages.StepInput("x", ["a/out"])], ["out"]),
            )
        )
    with pytest.raises(FlowError, match="runs itself"):
        graph(plan_of(flow_messages.Step("a", "main", [], [])))
    deep = {
        f"w{i}": flow_messages.Workflow([], [], [flow_messages.Step(n, f"w{i + 1}", []) for n in "ab"])
        for i in range(25)
    }
    with pytest.raises(FlowError, match="20000 steps"):
        graph(
            flow_messages.Plan(
                "w0",
                deep | {"w25": flow_messages.Workflow([], [], [flow_messages.Step("a", "tool", [])]), "tool": TOOL},
            )
        )
    assert critical(
        {
            "a": Node("a", "t", flow_messages.Hints(run_s=9.0), False),
            "b": Node("b", "t", flow_messages.Hints(run_s=1.0), False, {"a"}),
        }
    ) == ["a", "b"]


# -- leaders that die between two actions ----------------------------------------------------------


class FaultyStateClient(InProcessStateClient):
    """Each commit may be rejected, or done without an answer, or the leader may die before or after it."""

    def __init__(self, service: StateService, rng: random.Random) -> None:
        super().__init__(service)
        self.rng = rng
        self.is_reliable = False

    async def commit(self, txn: state_messages.Transaction) -> state_messages.Committed | state_messages.Conflict:
        fault = (
            "fine" if self.is_reliable else self.rng.choice(["fine", "fine", "refused", "lost", "dies", "dies late"])
        )
        if fault in ("refused", "dies"):
            raise RequestRejected("no") if fault == "refused" else LeaderDied
        answer = await super().commit(txn)
        if fault == "dies late":
            raise LeaderDied
        if fault == "lost":
            raise OutcomeUnknown("no answer")
        return answer


class LeaderDied(Exception):
    pass


def complete_some_jobs(service: StateService, rng: random.Random) -> None:
    """Complete about half of the open jobs."""
    for key, (value, _, _) in list(service.keys.items()):
        if key.startswith("job/") and value.get("o", "o") == "o" and rng.random() < 0.5:
            service.apply([{"write": key, "v": value | {"o": "d"}}])


async def assert_late_writes_are_rejected(run: FlowRun, state: FaultyStateClient) -> None:
    """A former leader, or one that has not seen a cancellation yet, must not change any record."""
    before = state.service.revision
    state.is_reliable = True
    for _ in range(3):
        try:
            await run.run_cycle()
        except (Superseded, FlowError):
            pass
    state.is_reliable = False
    assert state.service.revision == before


@hypothesis_settings(deadline=None, max_examples=60)
@given(plans(), st.integers(0, 10**6), st.booleans())
def test_no_step_is_doubled_forgotten_or_lost_whenever_the_leader_dies(plan, seed, cancelled):
    async def scenario() -> None:
        rng = random.Random(seed)
        service, uploads = StateService(), InMemoryUploadStore()
        state = FaultyStateClient(service, rng)
        service.apply([{"write": "leader", "v": {}}])
        sub = flow_messages.FlowSubmission(
            ref="fl-1",
            team="red",
            due_s=500.0,
            plan=await uploads.put(flow_messages.encode(plan)),
            order=await uploads.put(msgspec.json.encode(ORDER)),
        )
        flow_record = records.FlowRecord(sub, 0.0)
        service.apply([{"write": "flow/fl-1", "v": msgspec.to_builtins(flow_record)}])
        run: FlowRun | None = None
        for turn in range(4000):
            if turn > 200:
                state.is_reliable = True
            item = await state.get("flow/fl-1")
            assert item is not None
            flow_record = records.decode_flow_record(item.value)
            if flow_record.state is flow_messages.FlowState.DONE or flow_record.jobs_cancelled:
                break
            try:
                if run is None or run.version != item.version:
                    run = FlowRun(
                        StandInLeader(state, uploads, settings(), {"g4": MACHINE_TYPE}), flow_record, item.version
                    )
                    await run.load()
                if cancelled and turn == 12 and flow_record.state is flow_messages.FlowState.OPEN:
                    service.apply([{"write": "flow/fl-1", "v": service.keys["flow/fl-1"][0] | {"state": "cancelled"}}])
                    await assert_late_writes_are_rejected(run, state)
                    continue
                if run.flow_record.state is flow_messages.FlowState.OPEN:
                    await run.run_cycle()
                else:
                    await run.cancel_open_jobs()
            except (RequestRejected, OutcomeUnknown, Superseded):
                pass
            except LeaderDied:
                service.apply([{"write": "leader", "v": {}}])
                if run is not None and run.engine is not None:
                    await assert_late_writes_are_rejected(run, state)
                run = None
            complete_some_jobs(service, rng)
        else:
            raise AssertionError("the workflow did not end")
        jobs = {k: v for k, (v, _, _) in service.keys.items() if k.startswith("job/")}
        if flow_record.state is flow_messages.FlowState.DONE:
            assert flow_record.outputs is not None
            assert msgspec.json.decode(uploads.blobs[flow_record.outputs]) == play(plan, 0)
            assert len(jobs) == len(graph(plan))
            assert len([k for k in service.keys if k.startswith("flowstep/")]) == len(jobs)
        else:
            assert cancelled and all(v.get("o") in ("d", "c") for v in jobs.values())
        for key in jobs:
            spec = [e["v"]["s"] for _, e in service.history if e.get("write") == key]
            assert all(s == spec[0] for s in spec)

    asyncio.run(scenario())


def test_jobs_of_steps_pass_the_checks_of_users_submissions():
    part = StepJob("wk-1", TaskResources(1.0, 0.0, 1.0), [0], [])
    assert (
        build_submission(part, TOOL, flow_messages.Hints(priority="urgent", run_s=3.0), "red", 9.0, "a").estimate_s
        == 3.0
    )
    for tool, hints in (
        (TOOL, flow_messages.Hints(run_s=-1.0)),
        (TOOL, flow_messages.Hints(priority="soon")),
        (TOOL, flow_messages.Hints(job_class="x" * 200)),
        (msgspec.structs.replace(TOOL, image="x" * 200), flow_messages.Hints()),
    ):
        with pytest.raises(FlowError, match=r"^a: "):
            build_submission(part, tool, hints, "red", 9.0, "a")


# -- expressions -----------------------------------------------------------------------------------

NAMES = {
    "inputs": {"a": 1, "b": [1, 2], "c": {"d e": "x"}, "f": {"class": "File", "path": "/p"}},
    "self": None,
    "runtime": {"cores": 2},
}


def test_references_and_scripts_are_evaluated():
    plain, script = Evaluator(JavaScriptEngine(), False), Evaluator(JavaScriptEngine(), True, ["var k = 3;"])
    for evaluate in (plain, script):
        assert evaluate("$(inputs.a)", NAMES) == 1 and evaluate("$(self)", NAMES) is None
        assert evaluate("$(inputs.b[1]) of $(inputs.b.length)", NAMES) == "2 of 2"
        assert evaluate("$(inputs['c']['d e'])", NAMES) == "x" and evaluate("$(inputs.c)", NAMES) == {"d e": "x"}
        assert evaluate(r"\$(a) \\ $(runtime.cores)", NAMES) == "$(a) \\ 2"
    assert script("$(inputs.a + k)", NAMES) == 4
    assert script('${ var s = ")}"; return [s, inputs.b.length]; }', NAMES) == [")}", 2]
    assert script("$(typeof s)", NAMES) == "undefined"  # declarations end with their expression


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("$(inputs.z)", "no field z"),
        ("$(other)", "no such name"),
        ("$(inputs.a + 1)", "JavaScript"),
        ("${ return 1; }", "JavaScript"),
        ("$(inputs.a", "not closed"),
        ("$(inputs.b[7])", "no element 7"),
    ],
)
def test_invalid_references_are_rejected(text, why):
    with pytest.raises(ExpressionError, match=why):
        Evaluator(JavaScriptEngine(), False)(text, NAMES)


def test_scripts_are_limited_and_deterministic():
    evaluate = Evaluator(JavaScriptEngine(time_s=0.05, memory_mb=4.0), True)
    with pytest.raises(ExpressionTimeout):
        evaluate("${ while (true) {} }", NAMES)
    for text in (
        "${ var a = []; while (true) { a.push(new Array(1000).join('x')); } }",
        "$(new Date())",
        "$(Math.random())",
        "${ function f() { return f(); } return f(); }",
        "$(nobody.home)",
    ):
        with pytest.raises(ExpressionError):
            evaluate(text, NAMES)
    assert evaluate("$(inputs.a + 1)", NAMES) == 2


# -- malformed messages ----------------------------------------------------------------------------

JUNK = st.sampled_from([None, 0, -1.5, "", "s0/out", [], {}, ["one"], {"type": "tool"}, True])


@given(plans(), st.data())
def test_a_damaged_plan_or_submission_is_refused_and_nothing_else_happens(plan, data):
    value = msgspec.json.decode(flow_messages.encode(plan))
    at = value
    while True:  # replace a value at some depth
        keys = list(at) if isinstance(at, dict) else list(range(len(at)))
        key = data.draw(st.sampled_from(keys))
        if isinstance(at[key], dict | list) and at[key] and data.draw(st.booleans()):
            at = at[key]
        else:
            at[key] = data.draw(JUNK)
            break
    try:
        graph(flow_messages.parse_plan(msgspec.json.encode(value)))
    except (InvalidMessage, FlowError) as err:
        assert str(err)
    body = {"ref": "fl-1", "team": "t", "plan": "0" * 64, "order": "1" * 64, "due_s": 5.0}
    assert flow_messages.parse_submission(msgspec.json.encode(body)).due_s == 5.0
    field = data.draw(st.sampled_from([f for f in body if f != "due_s"]))
    with pytest.raises(InvalidMessage):
        flow_messages.parse_submission(
            msgspec.json.encode(body | {field: data.draw(JUNK.filter(lambda j: j != "s0/out"))})
        )
