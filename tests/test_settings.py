from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest
from helpers import SETTINGS
from hypothesis import given
from hypothesis import strategies as st

from winglift.config.settings import SettingsError, parse

ROOT = Path(__file__).parent.parent


def test_unknown_fields_are_ignored():
    assert parse(SETTINGS).settings.teams[1].name == "blue"


FIELDS = sorted(set(re.findall(r"^(\w+) =", SETTINGS, re.M)) - {"novel", "cpus", "cpus_max", "gpus", "gpus_max"})


@pytest.mark.parametrize("field", FIELDS)
def test_a_missing_field_is_named(field):
    with pytest.raises(SettingsError, match=field):
        parse(re.sub(rf"^{field} = .*$", "", SETTINGS, count=1, flags=re.M))


@given(
    st.sampled_from(["lease_s", "cancel_s", "rps", "sockets", "mem_mb", "txn_ops"]),
    st.sampled_from(['"x"', "-1", "nan", "inf", "0", "[]"]),
)
def test_a_bad_value_is_named(field, value):
    with pytest.raises(SettingsError, match=field):
        parse(re.sub(rf"^{field} = .*$", f"{field} = {value}", SETTINGS, count=1, flags=re.M))


def run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "run.py", *args], cwd=ROOT, capture_output=True, text=True, timeout=30)


def test_the_program_refuses_a_bad_file_with_one_line_and_code_2(tmp_path):
    path = tmp_path / "bad.toml"
    path.write_text(SETTINGS.replace("lease_s = 10.0", 'lease_s = "long"'))
    result = run("--config", str(path))
    assert result.returncode == 2
    assert "settings.workers.lease_s" in result.stderr and result.stderr.count("\n") == 1


def test_check_only_validates_the_file(tmp_path):
    path = tmp_path / "good.toml"
    path.write_text(SETTINGS)
    result = run("--config", str(path), "--check")
    assert result.returncode == 0 and "is valid" in result.stdout
    assert "winglift" in run("--version").stdout
