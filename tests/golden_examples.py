"""One example of each message, stored record and settings object with all fields set, by name in the golden files.

A rename in the program changes constructor keywords here, and nothing under tests/golden.
"""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from typing import Any

from msgspec import Raw

from winglift.config import settings
from winglift.duties import intent_record
from winglift.flows import records as flow_records
from winglift.flows import settings as flow_settings
from winglift.model import image_cache_record, records
from winglift.model.job_state import JobState
from winglift.wire import cloud as cloud_messages
from winglift.wire import flows as flow_messages
from winglift.wire import peer as peer_messages
from winglift.wire import state as state_messages
from winglift.wire import users as user_messages
from winglift.wire import workers as worker_messages

GOLDEN = pathlib.Path(__file__).parent / "golden"
PLAN, ORDER, OUTPUTS = "a" * 64, "b" * 64, "c" * 64

SUBMISSION = user_messages.Submission(
    ref="wk-000412",
    job_class="lens-render",
    team="platform-crew-00",
    kind=user_messages.Kind.GANG,
    priority=user_messages.Priority.HIGH,
    tasks=12,
    cpus=2.0,
    gpus=0.5,
    memory_gb=8.25,
    image="lens-7",
    image_gb=3.5,
    types=["g4", "g8"],
    zone="ishikari-hall",
    one_zone=True,
    spread=True,
    spot=True,
    estimate_s=600.0,
    checkpoint_s=60.0,
    save_s=4.5,
    due_s=900.0,
)
TASK_REPORT = worker_messages.TaskReport(
    "wk-000412/3", 2, worker_messages.Phase.EXITED, worker_messages.ExitReason.STOPPED.value, True
)
COMMAND = worker_messages.halt_command("wk-000412/3", 2, 4.5)
MACHINE_TYPE = cloud_messages.MachineType(
    name="g4",
    cpus=32.0,
    gpus=4.0,
    memory_gb=256.0,
    cache_gb=60.0,
    fetch_gb_per_s=0.5,
    price=12.0,
    spot_price=4.0,
    boot_s=45.0,
    zones=["ishikari-hall", "tokachi-annex"],
)
LISTED_MACHINE = cloud_messages.ListedMachine(
    name="vm-000407", addr="10.1.0.7:9000", type="g4", zone="ishikari-hall", spot=True, state="up", age_s=12.5
)
JOB_RECORD = records.JobRecord(
    submitted_at=1000.25,
    spec=SUBMISSION,
    state=JobState.CANCELLED.value,
    next_attempt=7,
    first_open=2,
    done_bitmap="Cg==",
    assignments=[("vm-000407", 3, "0-3,7")],
    cancelled_at=1010.5,
)
ITEM = state_messages.Item("job/wk-000412", Raw(b'{"t":1.5}'), 17, 5)
CONDITION = state_messages.Condition("leader", 41)
PUT_WRITE = state_messages.Put("leader", records.LeaderRecord(9, "wingnode-0"), 5)
DELETE_WRITE = state_messages.Delete("image/3")
EVENT = state_messages.Event(put="job/wk-000412", delete="job/wk-000411", value=Raw(b'{"t":1.5}'), version=18)
RENTAL = intent_record.RentalIntent(
    name="rq-1",
    type=1,
    zone=2,
    spot=1,
    count=6,
    at_s=30,
    machines=intent_record.pack_names(["vm-000407", "vm-000408", "vm-000423", "odd name"]),
)
INTENT_RECORD = intent_record.IntentRecord(
    base_time=1000.5,
    term=9,
    types=["g4", "g8"],
    zones=["a", "b", "c"],
    rentals=[RENTAL],
    deletions="vm-|6|407-409,423 =odd%20name",
    draining={"vm-000411": "defrag"},
    capacity_refusals=[("g4", "a", True, 1100.5)],
    next_migration_at=1200.5,
    stopping_gangs={"wk-000412": 3},
    reserved_for_gangs={"wk-000413": (1050.5, "vm-|6|430")},
    failed_on={"wk-000414": ["vm-000407"]},
)
BINDING = flow_messages.Binding(
    position=2, prefix="--in", separate=False, item_separator=",", value_from="$(self.path)"
)
PARAM = flow_messages.Param(
    "reads", {"array": "File"}, [], BINDING, flow_messages.Binding(prefix="-r"), {"size": BINDING}, True
)
OUTPUT = flow_messages.Output("counts", "File", ["*.txt"], True, "$(self[0])")
WORK_DIR_ENTRY = flow_messages.WorkDirEntry("hello", "hello.txt")
HINTS = flow_messages.Hints("platform-crew-00", "urgent", "lens-render", True, 60.0, 4.5, 600.0, 900.0, 3.5)
TOOL = flow_messages.Tool(
    inputs=[PARAM],
    outputs=[OUTPUT],
    base=["wc", "-l"],
    arguments=[BINDING],
    stdin="$(inputs.reads[0].path)",
    stdout="out.txt",
    stderr="err.txt",
    success=[0, 3],
    env={"LANG": "C"},
    staged=[WORK_DIR_ENTRY],
    cpus=2.0,
    gpus=0.5,
    memory_gb="$(inputs.size)",
    time_s=30.0,
    image="lens-7",
    javascript=True,
    library=["function f() { return 1; }"],
    hints=HINTS,
)
EXPRESSION = flow_messages.Expression([PARAM], [OUTPUT], "$({counts: 1})", True, ["var x = 1;"])
STEP_INPUT = flow_messages.StepInput("reads", ["reads"], True, "merge_flattened", "all_non_null", [], "$(self)", True)
STEP = flow_messages.Step(
    "count", "count_tool", [STEP_INPUT], ["counts"], ["reads"], "flat_crossproduct", "$(inputs.go)", HINTS
)
FLOW_OUTPUT = flow_messages.FlowOutput("all", "File", ["count/counts"], True, "merge_flattened", "first_non_null")
WORKFLOW = flow_messages.Workflow([PARAM], [FLOW_OUTPUT], [STEP], True, ["var x = 1;"], HINTS)
FLOW_SUBMISSION = flow_messages.FlowSubmission(
    ref="fl-000412", team="platform-crew-00", plan=PLAN, order=ORDER, due_s=900.0, reuse="fl-000411"
)
STEP_REPLY = flow_messages.StepReply("main/count", "running", 12, 4, ["wk-000412"])
FLOW_REPLY = flow_messages.FlowReply(
    ref="fl-000412",
    state=flow_messages.FlowState.FAILED,
    team="platform-crew-00",
    submitted=1000.25,
    plan=PLAN,
    cause="count: code 1",
    errors="no such file",
    outputs=OUTPUTS,
    steps=[STEP_REPLY],
    next=100,
)
INPUT_FILE = flow_messages.InputFile("in/a.txt", PLAN)
TASK_DESCRIPTION = flow_messages.TaskDescription(
    command=["wc", "-l"],
    env={"LANG": "C"},
    files=[INPUT_FILE],
    stdin="in/a.txt",
    stdout="out.txt",
    stderr="err.txt",
    success=[0, 3],
    time_s=30.0,
    outputs=[OUTPUT],
)
TASK_RESULT = flow_messages.TaskResult("vm-000407", 2, 1, True, {"counts": [1]}, {"counts": 2}, "warning", "no output")
TASK_RESULT_ITEM = flow_messages.TaskResultItem(3, TASK_RESULT)
SETTINGS = settings.load(str(GOLDEN / "settings.toml"))
PARAMS = SETTINGS.settings
FLOW_SETTINGS = flow_settings.load(str(GOLDEN / "workflows.toml"))

# Name in the golden file: the object that is written.
JSON_EXAMPLES: dict[str, Any] = {
    "users: POST /work": SUBMISSION,
    "users: status": user_messages.StatusReply("wk-000412", user_messages.JobStatus.CANCELLED, 4, 8),
    "workers: report": worker_messages.Report(
        machine="vm-000407",
        addr="10.1.0.7:9000",
        type="g4",
        zone="ishikari-hall",
        spot=True,
        session=3,
        seq=55,
        token=9,
        notice_s=29.5,
        tasks=[TASK_REPORT],
    ),
    "workers: piece of a report": TASK_REPORT,
    "workers: order halt": COMMAND,
    "workers: order run": worker_messages.run_command("wk-000412/3", 2),
    "workers: order reap": worker_messages.reap_command("wk-000412/3", 2),
    "workers: answer to a report": worker_messages.Commands(9, [COMMAND]),
    "workers: POST /commands": worker_messages.DirectCommands(9, 3, [COMMAND]),
    "workers: answer 421": worker_messages.Redirect("10.0.0.2:8080"),
    "cloud: rig type": MACHINE_TYPE,
    "cloud: GET /flavors": cloud_messages.MachineTypes([Raw(b'{"name":"g4"}')]),
    "cloud: POST /hosts": cloud_messages.RentRequest("rq-1", "g4", "ishikari-hall", True, 6),
    "cloud: names": cloud_messages.MachineNames(["vm-000407", "vm-000408"]),
    "cloud: listed rig": LISTED_MACHINE,
    "cloud: GET /hosts": cloud_messages.MachineListing([LISTED_MACHINE], True),
    "state: item": ITEM,
    "state: page": state_messages.Page([ITEM], 99, True),
    "state: condition": CONDITION,
    "state: write": PUT_WRITE,
    "state: drop": DELETE_WRITE,
    "state: POST /commit": state_messages.Transaction([CONDITION], [PUT_WRITE, DELETE_WRITE]),
    "state: committed": state_messages.Committed(42),
    "state: conflict": state_messages.Conflict(["leader"], 43),
    "state: grant": state_messages.Grant(5),
    "state: POST /grants": state_messages.GrantRequest(3000),
    "state: event": EVENT,
    "state: GET /changes": state_messages.Changes(99, [EVENT]),
    "flows: binding": BINDING,
    "flows: param": PARAM,
    "flows: output": OUTPUT,
    "flows: staged": WORK_DIR_ENTRY,
    "flows: hints": HINTS,
    "flows: tool": TOOL,
    "flows: expression": EXPRESSION,
    "flows: step input": STEP_INPUT,
    "flows: step": STEP,
    "flows: workflow output": FLOW_OUTPUT,
    "flows: workflow": WORKFLOW,
    "flows: plan": flow_messages.Plan("main", {"main": WORKFLOW, "count_tool": TOOL, "expr": EXPRESSION}),
    "flows: POST /flows": FLOW_SUBMISSION,
    "flows: step reply": STEP_REPLY,
    "flows: reply": FLOW_REPLY,
    "flows: list": flow_messages.FlowList([FLOW_REPLY], True, "10.3.0.1:18084"),
    "flows: fetch": INPUT_FILE,
    "flows: work": TASK_DESCRIPTION,
    "flows: found": TASK_RESULT,
    "flows: found item": TASK_RESULT_ITEM,
    "flows: found page": flow_messages.TaskResultPage([TASK_RESULT_ITEM], True),
    "record: leader": records.LeaderRecord(9, "wingnode-0"),
    "record: term": records.TermRecord(9),
    "record: job": JOB_RECORD,
    "record: image page": image_cache_record.ImageCacheRecord(["lens-7", "fit-1"], [3.5, 0.125], {"vm-000407": [1, 0]}),
    "record: duty": INTENT_RECORD,
    "record: duty rental": RENTAL,
    "record: flow head": flow_records.FlowRecord(
        FLOW_SUBMISSION, 1000.25, flow_messages.FlowState.FAILED, "count: code 1", "no such file", OUTPUTS, True, True
    ),
    "record: flow step": flow_records.StepRecord(
        "main/count",
        flow_messages.StepOutcome.FAILED,
        1010.5,
        PLAN,
        [{"n": 1}],
        OUTPUTS,
        ["vm-000407"],
        ["wk-000412"],
        12,
    ),
    "settings: file": SETTINGS,
    "settings: seed": SETTINGS.seeds[0],
    "settings: services": SETTINGS.services,
    "settings: settings": PARAMS,
    "settings: team": PARAMS.teams[0],
    "settings: objective": settings.Objective("wait", "fitcheck-live", 8.0, 0.92, 1.5),
    "settings: workers": PARAMS.workers,
    "settings: state": PARAMS.state,
    "settings: cloud": PARAMS.cloud,
    "settings: machine limits": PARAMS.machine_limits,
    "workflow settings: file": FLOW_SETTINGS,
    "workflow settings: expressions": FLOW_SETTINGS.expressions,
}

PEER = peer_messages.PeerState(2**40 + 9, True, False, "wingnode-0")
FLEET = peer_messages.FleetSummary({"vm-000407": {"lens-7": 3.5, "fit-1": 0.125}, "vm-000408": {}}, {"vm-000409": 4.25})
PROOFS = [("wk-000412", "vm-000407"), ("", "vm-000408")]
RECORD_ANNOUNCEMENT = peer_messages.RecordAnnouncement(2**40 + 17, "wk-000412", records.encode(JOB_RECORD))
RELAYED_REPORT = b'{"rig":"vm-000407"}'

Frame = tuple[peer_messages.FrameType, int, bytes, Any, Callable[[bytes], Any], Callable[[Any], bytes]]


def unchanged(body: Any) -> Any:
    return body


# By the name in the golden file: frame type, request number, packed body, its meaning, its parser and its packer.
FRAME_EXAMPLES: dict[str, Frame] = {
    "state": (
        peer_messages.FrameType.PEER_STATE,
        0,
        peer_messages.pack_state(PEER),
        PEER,
        peer_messages.parse_state,
        peer_messages.pack_state,
    ),
    "relay": (peer_messages.FrameType.FORWARDED_REPORT, 7, RELAYED_REPORT, RELAYED_REPORT, unchanged, unchanged),
    "relayed": (
        peer_messages.FrameType.FORWARDED_ANSWER,
        7,
        peer_messages.pack_answer(421, b"{}"),
        (421, b"{}"),
        peer_messages.parse_answer,
        lambda answer: peer_messages.pack_answer(*answer),
    ),
    "job": (
        peer_messages.FrameType.JOB_RECORD,
        2**32 - 1,
        peer_messages.pack_job(RECORD_ANNOUNCEMENT),
        RECORD_ANNOUNCEMENT,
        peer_messages.parse_job,
        peer_messages.pack_job,
    ),
    "fleet": (
        peer_messages.FrameType.FLEET_SUMMARY,
        0,
        peer_messages.pack_fleet(FLEET)[0],
        FLEET,
        peer_messages.parse_fleet,
        lambda fleet: peer_messages.pack_fleet(fleet)[0],
    ),
    "proofs": (
        peer_messages.FrameType.CANCELLATION_PROOFS,
        0,
        peer_messages.pack_proofs(PROOFS),
        PROOFS,
        peer_messages.parse_proofs,
        peer_messages.pack_proofs,
    ),
    "synchronized": (peer_messages.FrameType.SYNCHRONIZED, 0, b"", b"", unchanged, unchanged),
}
