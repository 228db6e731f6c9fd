"""Messages, stored records and the names that operators set stay the same, byte for byte.

The files under tests/golden are data: a rename of classes, attributes or modules must never change them.
"""

from __future__ import annotations

import dataclasses
import functools
import importlib
import logging
import pkgutil
import re
import tomllib
from enum import Enum
from typing import Any

import click
import golden_examples as examples
import msgspec
import pytest
from golden_examples import FRAME_EXAMPLES, GOLDEN, JSON_EXAMPLES

import winglift
from winglift.api import handlers, report_fast_path
from winglift.cli import main as command_line
from winglift.cli import serve, tree
from winglift.config import script
from winglift.duties import intent_record
from winglift.flows import records as flow_records
from winglift.flows import settings as flow_settings
from winglift.flows import values
from winglift.model import image_cache_record, records
from winglift.model.job_state import JobState
from winglift.wire import cloud as cloud_messages
from winglift.wire import flows as flow_messages
from winglift.wire import peer as peer_messages
from winglift.wire import users as user_messages
from winglift.wire import workers as worker_messages

ROOT = GOLDEN.parent.parent
MODULES = [m.name for m in pkgutil.walk_packages(winglift.__path__, "winglift.") if not m.name.endswith("__main__")]


def golden(name: str) -> dict[str, str]:
    """The entries of a golden file; each line is a name, a tab and the bytes as text."""
    lines = (GOLDEN / name).read_text().splitlines()
    return dict(line.split("\t", 1) for line in lines)


def text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def structs() -> set[type[msgspec.Struct]]:
    """Every message, record and settings class of the program."""
    members = [v for name in MODULES for v in vars(importlib.import_module(name)).values()]
    return {v for v in members if isinstance(v, type) and issubclass(v, msgspec.Struct) and v.__module__ in MODULES}


def optional(example: msgspec.Struct) -> dict[str, Any]:
    """The optional fields of an example's class by their Python names, with their defaults."""
    field_defaults = {}
    for field in msgspec.structs.fields(type(example)):
        if field.default is not msgspec.NODEFAULT:
            field_defaults[field.name] = field.default
        elif field.default_factory is not msgspec.NODEFAULT:
            field_defaults[field.name] = field.default_factory()
    return field_defaults


def defaults(example: msgspec.Struct) -> dict[str, Any]:
    """The optional fields of an example's class by their wire names, with their defaults."""
    wire_name = {field.name: field.encode_name for field in msgspec.structs.fields(type(example))}
    plain = {wire_name[name]: value for name, value in optional(example).items()}
    return {name: "" if isinstance(value, msgspec.Raw) else value for name, value in plain.items()}


def enums() -> dict[str, type[Enum]]:
    return {
        "shape": user_messages.Kind,
        "urgency": user_messages.Priority,
        "status of a job": user_messages.JobStatus,
        "status of a piece": worker_messages.Phase,
        "exit cause": worker_messages.ExitReason,
        "state of a workflow": flow_messages.FlowState,
        "end of a step": flow_messages.StepOutcome,
        "state of a job record": JobState,
        "frame": peer_messages.FrameType,
    }


def other_values() -> dict[str, Any]:
    """Keys, names and patterns that are not messages."""
    image_pages = image_cache_record.pack({"vm-000407": {"lens-7": 3.5, "fit-1": 0.125}}, 4096)
    condition, put = records.build_record_write("wk-000412", 3, JobState.CANCELLED, examples.JOB_RECORD)
    return {
        "key: leader": records.LEADER_KEY,
        "key: term": records.TERM_KEY,
        "key: job": [condition.key, put.key],
        "key: duty": intent_record.INTENT_LOG_KEY,
        "key: images": {key: value.decode() for key, value in image_pages.items()},
        "key: flow head": flow_records.FLOW_PREFIX + "fl-000412",
        "key: flow steps": flow_records.step_prefix("fl-000412"),
        "key: flow step": flow_records.step_key("fl-000412", "main/count"),
        "job of a step": values.job_ref("fl-000412", "main/count", 0),
        "digest of a tool": values.digest(examples.TOOL, [{"reads": []}]),
        "new job record": records.encode(records.new_record(examples.SUBMISSION, 1000.25)).decode(),
        "ranges": records.pack_ranges([7, 0, 1, 2, 3]),
        "done": records.pack_done(records.unpack_done(12, 2, "Cg==")),
        "upload": flow_messages.UPLOAD_PREFIX,
        "task folder": flow_messages.TASK_DIR,
        "forms": [user_messages.JOB_REF.pattern, flow_messages.FLOW_REF.pattern, flow_messages.DIGEST.pattern],
        "frame magic": peer_messages.MAGIC,
        "frame limit": peer_messages.MAX_FRAME,
        "report path": report_fast_path.REPORT_PATH,
        "script numbers": script.NUMBERS,
        "script hooks": sorted(script.HOOKS),
        **{f"enum: {name}": [member.value for member in kind] for name, kind in enums().items()},
    }


def command_options() -> dict[str, Any]:
    """Every command line option and argument: kind, environment variable, whether required, whether a flag, default."""
    options: dict[str, Any] = {}

    def walk(command: click.Command, path: str) -> None:
        for param in command.params:
            default = param.default if isinstance(param.default, str) else None
            flag = getattr(param, "is_flag", False)
            options[f"{path} {' '.join(param.opts)}"] = [
                param.param_type_name,
                param.envvar,
                param.required,
                flag,
                default,
            ]
        if isinstance(command, click.Group):
            context = click.Context(command)
            for name in command.list_commands(context):
                child = command.get_command(context, name)
                assert child is not None
                walk(child, f"{path} {name}")

    walk(tree.cli, "winglift")
    return options


def environment() -> list[str]:
    """The environment variables that the sources read."""
    variables: set[str] = set()
    for file in [*(ROOT / "winglift").rglob("*.py"), ROOT / "run.py"]:
        variables |= set(
            re.findall(r"""(?:environ(?:\.get\(|\[)|getenv\(|envvar=)\s*["'](\w+)["']""", file.read_text())
        )
    return sorted(variables)


@functools.cache
def golden_texts() -> dict[str, dict[str, str]]:
    """The contents of the golden files as the program writes them now."""
    packed = {
        name: peer_messages.frame(kind, number, body).hex() for name, (kind, number, body, *_) in FRAME_EXAMPLES.items()
    }
    return {
        "messages.txt": {name: text(example) for name, example in JSON_EXAMPLES.items()},
        "defaults.txt": {name: text(defaults(example)) for name, example in JSON_EXAMPLES.items()},
        "frames.txt": packed,
        "values.txt": {name: text(value) for name, value in other_values().items()},
        "command_line.txt": {name: text(value) for name, value in command_options().items()},
        "environment.txt": {name: "" for name in environment()},
    }


@pytest.mark.parametrize("file", sorted(golden_texts()))
def test_the_golden_file_has_exactly_the_names_of_the_examples(file):
    assert set(golden(file)) == set(golden_texts()[file])


@pytest.mark.parametrize(
    ("file", "name"), [(file, name) for file, entries in golden_texts().items() for name in entries]
)
def test_what_is_written_is_the_golden_text(file, name):
    assert golden_texts()[file][name] == golden(file)[name]


@pytest.mark.parametrize("name", sorted(JSON_EXAMPLES))
def test_golden_messages_round_trip(name):
    example, written = JSON_EXAMPLES[name], golden("messages.txt")[name]
    decoded = msgspec.json.decode(written, type=type(example))
    assert text(decoded) == written
    if not name.startswith("state: ") and name != "cloud: GET /flavors":
        assert decoded == example  # the others hold raw values, which the line above compares by their bytes


@pytest.mark.parametrize("name", sorted(FRAME_EXAMPLES))
def test_golden_frames_round_trip(name):
    kind, number, _, meaning, parse, pack = FRAME_EXAMPLES[name]
    data = bytes.fromhex(golden("frames.txt")[name])
    header = peer_messages.parse_header(data[: peer_messages.HEADER.size])
    assert dataclasses.astuple(header) == (kind, number, len(data) - peer_messages.HEADER.size)
    body = data[peer_messages.HEADER.size :]
    assert parse(body) == meaning
    assert peer_messages.frame(kind, number, pack(parse(body))) == data


def test_the_request_parsers_accept_the_golden_messages():
    written = {name: line.encode() for name, line in golden("messages.txt").items()}
    assert user_messages.parse_submission(written["users: POST /work"]) == JSON_EXAMPLES["users: POST /work"]
    assert worker_messages.parse_report(written["workers: report"]) == JSON_EXAMPLES["workers: report"]
    assert cloud_messages.machine_type(msgspec.Raw(written["cloud: rig type"])) == JSON_EXAMPLES["cloud: rig type"]
    assert flow_messages.parse_submission(written["flows: POST /flows"]) == JSON_EXAMPLES["flows: POST /flows"]
    assert flow_messages.plan_decoder.decode(written["flows: plan"]) == JSON_EXAMPLES["flows: plan"]
    assert records.decode(written["record: job"]) == JSON_EXAMPLES["record: job"]
    assert intent_record.decode(written["record: duty"]) == JSON_EXAMPLES["record: duty"]
    assert flow_records.decode_flow_record(written["record: flow head"]) == JSON_EXAMPLES["record: flow head"]
    assert flow_records.decode_step_record(written["record: flow step"]) == JSON_EXAMPLES["record: flow step"]
    assert image_cache_record.unpack([written["record: image page"]]) == {"vm-000407": {"fit-1": 0.125, "lens-7": 3.5}}


def test_every_message_record_and_settings_class_has_an_example():
    assert structs() - {type(example) for example in JSON_EXAMPLES.values()} == set()


def test_every_frame_type_and_enumeration_has_an_example():
    assert {kind for kind, *_ in FRAME_EXAMPLES.values()} == set(peer_messages.FrameType)
    wire = {"winglift.wire." + m.name for m in pkgutil.iter_modules(importlib.import_module("winglift.wire").__path__)}
    found = [v for name in wire for v in vars(importlib.import_module(name)).values()]
    kinds = {v for v in found if isinstance(v, type) and issubclass(v, Enum) and v.__module__ in wire}
    assert kinds - set(enums().values()) == set()


def test_every_optional_field_is_set_in_some_example():
    unset = set()
    for kind in structs():
        several = [example for example in JSON_EXAMPLES.values() if type(example) is kind]
        for name, default in optional(several[0]).items():
            if all(getattr(example, name) == default for example in several):
                unset.add((kind.__name__, name))
    assert unset == set()


def test_the_settings_in_the_deploy_folder_are_read():
    with open(ROOT / "deploy" / "service.toml", "rb") as file:
        service = tomllib.load(file)
    assert service["run"] == "python3 run.py --config" and set(service) == {"build", "run"}
    settings = flow_settings.load(str(ROOT / "deploy" / "workflows.toml"))
    assert text(settings) == '{"files":"127.0.0.1:18084","open_jobs":100,"expressions":{"time_s":0.1,"memory_mb":16.0}}'


def test_every_setting_of_an_operators_script_is_read():
    settings = script.load(str(GOLDEN / "script.lua"))
    numbers = {"idle_keep_s": 12.5, "slack_pad": 2.25, "reserve_deviations": 3.5, "move_loss_share": 0.0625}
    assert {name: settings.number(name) for name in script.NUMBERS} == numbers
    assert set(settings.hooks) == {"reserve", "estimate_s"} == set(script.HOOKS)
    assert settings.call_hook("reserve", 4.0, "lens-render", 4) == 11.0
    assert settings.call_hook("estimate_s", 5.0, "lens-render", 10.0, 5.0) == 25.0


def test_the_routes_of_users_are_known():
    routes = handlers.application(None).wildcard_router.rules  # type: ignore[arg-type]
    patterns = [rule.matcher.regex.pattern for rule in routes]
    assert patterns[:4] == ["/work$", "/work/([^/]*)$", "/work/([^/]*)/abort$", "/up$"]


@pytest.mark.parametrize(
    ("level", "number"), [("error", logging.ERROR), ("INFO", logging.INFO), ("debug", logging.DEBUG), ("x", 20)]
)
def test_log_level_is_read(level, number, monkeypatch):
    seen: dict[str, Any] = {}
    monkeypatch.setattr(logging, "basicConfig", lambda **kwargs: seen.update(kwargs))
    monkeypatch.setenv("LOG_LEVEL", level)
    serve.set_up_logs()
    assert seen["level"] == number


@pytest.mark.parametrize("args", [[], ["serve"]])
def test_script_and_workflows_come_from_the_environment(args, monkeypatch, capsys):
    monkeypatch.setenv("WINGLIFT_SCRIPT", "/none.lua")
    config = ["--config", str(GOLDEN / "settings.toml")]
    assert command_line.main([*args, *config]) == 2
    assert "/none.lua" in capsys.readouterr().err
    monkeypatch.delenv("WINGLIFT_SCRIPT")
    monkeypatch.setenv("WINGLIFT_WORKFLOWS", "/none.toml")
    assert command_line.main([*args, *config]) == 2
    assert "/none.toml" in capsys.readouterr().err


SCRIPT, WORKFLOWS = str(GOLDEN / "script.lua"), str(GOLDEN / "workflows.toml")
CHECK = ["--config", str(GOLDEN / "settings.toml"), "--check"]
ORDER = str(ROOT / "examples" / "surfacing" / "order.yml")
CWL = ROOT / "tests" / "cwl"


@pytest.mark.parametrize(
    ("args", "code"),
    [
        (["--version"], 0),
        (CHECK, 0),
        (["serve", *CHECK, "--script", SCRIPT, "--workflows", WORKFLOWS], 0),
        ([], 2),
        (["serve"], 2),
        (["--no-such-option"], 2),
        (["--config", "/none.toml"], 2),
        ([*CHECK, "--script", "/none.lua"], 2),
        ([*CHECK, "--workflows", "/none.toml"], 2),
        (["flow", "status", "fl-1", "--server", "nowhere"], 1),
        (["flow", "run", str(CWL / "bad_type.cwl"), ORDER], 1),
        (["flow", "run", str(CWL / "left_shell.cwl"), ORDER], 33),
    ],
)
def test_exit_codes(args, code):
    assert command_line.main(args) == code


def test_an_interrupted_command_has_its_own_exit_code(monkeypatch):
    def interrupted(**_: object) -> int:
        raise KeyboardInterrupt

    monkeypatch.setattr(tree.cli, "main", interrupted)
    assert command_line.main(["--version"]) == 130
