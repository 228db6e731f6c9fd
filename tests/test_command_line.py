"""The command line: JSON output, messages and exit codes."""

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


def run_command(*args: str) -> tuple[int, str, str]:
    process = subprocess.run([sys.executable, str(ROOT / "run.py"), *args], capture_output=True, text=True, timeout=90)
    return process.returncode, process.stdout, process.stderr


def test_the_options_of_serve_work_with_and_without_the_command(tmp_path, capsys):
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


def test_a_node_without_workflows_imports_no_workflow_modules():
    code = (
        "import sys; import winglift.cli.main, winglift.node; "
        "print([m for m in sys.modules if m.startswith(('winglift.flows', 'winglift.cwl', 'cwl_utils', 'quickjs', "
        "'rich', 'matplotlib', 'schema_salad', 'click'))])"
    )
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    assert process.stdout.strip() == "[]"


def test_flow_check_and_flow_graph_write_json_messages_and_images(tmp_path, capsys):
    plan = str(EXAMPLE / "plan.cwl")
    assert main(["flow", "check", plan, str(EXAMPLE / "order.yml")]) == 0
    assert capsys.readouterr().out == ""
    assert main(["flow", "check", "--json", plan]) == 0
    graph = json.loads(capsys.readouterr().out)
    assert graph["critical"] == ["surface", "sum_up", "count"] and graph["criticalS"] == 3.0
    assert [s["scattered"] for s in graph["steps"]] == [True, False, False]
    for suffix, start in (("svg", b"<?xml"), ("png", b"\x89PNG")):
        image = tmp_path / f"flow.{suffix}"
        assert main(["flow", "graph", plan, "--out", str(image)]) == 0
        assert image.read_bytes().startswith(start)
    assert main(["flow", "graph", plan, "--out", str(tmp_path / "x.doc")]) == 1


@pytest.mark.parametrize(("name", "code"), [("bad_type", 1), ("left_shell", 33)])
def test_an_invalid_document_exits_with_1_and_an_unsupported_one_with_33(name, code, capsys):
    assert main(["flow", "run", str(ROOT / "tests" / "cwl" / f"{name}.cwl"), str(EXAMPLE / "order.yml")]) == code
    captured = capsys.readouterr()
    assert captured.out == "" and f"{name}.cwl:" in captured.err


def test_try_demo_completes_its_jobs_and_workflow():
    code, out, err = run_command("try", "--demo", "--nodes", "3")
    assert code == 0, err
    outputs = json.loads(out.partition("\n")[2])
    assert outputs["count"] == 3 and outputs["sheet"]["size"] == 109
    assert [line for line in err.splitlines() if line.endswith("is done")] == [f"wk-{n} is done" for n in (1, 2, 3)]
    assert "surface: done, 3 of 3" in err
