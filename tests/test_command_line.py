"""The command tree: what programs read, what people see, and the exit codes."""

from __future__ import annotations

import json
import pathlib
import subprocess
import sys

import pytest
from helpers import SETTINGS

from winglift.cli.main import main

ROOT = pathlib.Path(__file__).parent.parent
EXAMPLE = ROOT / "examples" / "surfacing"


def call(*args: str) -> tuple[int, str, str]:
    found = subprocess.run([sys.executable, str(ROOT / "run.py"), *args], capture_output=True, text=True, timeout=90)
    return found.returncode, found.stdout, found.stderr


def test_the_daemon_s_options_work_with_and_without_serve(tmp_path, capsys):
    config = tmp_path / "settings.toml"
    config.write_text(SETTINGS)
    flows = tmp_path / "flows.toml"
    flows.write_text('files = "127.0.0.1:1"\n')
    for args in (
        ["--config", str(config), "--check"],
        ["serve", "--config", str(config), "--check"],
        ["serve", "--config", str(config), "--workflows", str(flows), "--check"],
    ):
        assert main(args) == 0
        assert capsys.readouterr().out == f"winglift: {config} is valid (node node-0)\n"
    flows.write_text('files = "127.0.0.1:1"\nopen_jobs = 0\n')
    for args, text in (
        (["serve"], "Missing option '--config'"),
        ([], "Missing option '--config'"),
        (["--config", str(tmp_path / "none")], "can't be read"),
        (["--bad"], "No such option"),
        (["--config", str(config), "--workflows", str(flows)], "open_jobs: expected at least 1"),
    ):
        assert main(args) == 2
        assert text in capsys.readouterr().err
    assert main(["--version"]) == 0


def test_a_daemon_without_workflows_loads_nothing_of_them():
    code = (
        "import sys; import winglift.cli.main, winglift.node; "
        "print([m for m in sys.modules if m.startswith(('winglift.flows', 'winglift.cwl', 'cwl_utils', 'quickjs', "
        "'rich', 'matplotlib', 'schema_salad', 'click'))])"
    )
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert found.stdout.strip() == "[]"


def test_check_and_graph_say_what_programs_and_people_need(tmp_path, capsys):
    plan = str(EXAMPLE / "plan.cwl")
    assert main(["flow", "check", plan, str(EXAMPLE / "order.yml")]) == 0
    assert capsys.readouterr().out == ""
    assert main(["flow", "check", "--json", plan]) == 0
    found = json.loads(capsys.readouterr().out)
    assert found["critical"] == ["surface", "sum_up", "count"] and found["criticalS"] == 3.0
    assert [s["scattered"] for s in found["steps"]] == [True, False, False]
    for suffix, start in (("svg", b"<?xml"), ("png", b"\x89PNG")):
        cluster = tmp_path / f"flow.{suffix}"
        assert main(["flow", "graph", plan, "--out", str(cluster)]) == 0
        assert cluster.read_bytes().startswith(start)
    assert main(["flow", "graph", plan, "--out", str(tmp_path / "x.doc")]) == 1


@pytest.mark.parametrize(("name", "code"), [("bad_type", 1), ("left_shell", 33)])
def test_exit_codes_are_those_that_users_of_cwl_know(name, code, capsys):
    assert main(["flow", "run", str(ROOT / "tests" / "cwl" / f"{name}.cwl"), str(EXAMPLE / "order.yml")]) == code
    said = capsys.readouterr()
    assert said.out == "" and f"{name}.cwl:" in said.err


def test_try_runs_its_demonstration_to_the_end():
    code, out, err = call("try", "--demo", "--nodes", "3")
    assert code == 0, err
    found = json.loads(out.partition("\n")[2])
    assert found["count"] == 3 and found["sheet"]["size"] == 109
    assert [line for line in err.splitlines() if line.endswith("is done")] == [f"wk-{n} is done" for n in (1, 2, 3)]
    assert "surface: done, 3 of 3" in err
