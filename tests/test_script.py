"""The operators' script: what it may set, what it can't access, and that it never stops scheduling."""

from __future__ import annotations

import pytest

from winglift.config.script import Script, ScriptError, load, parse


def test_defaults_apply_without_a_script():
    assert Script().number("idle_keep_s") > 0
    assert Script().call_hook("reserve", 3.0, "c", 3.0) == 3.0


def test_settings_and_hooks_of_a_script_apply():
    parsed_script = parse(
        """return {
        idle_keep_s = 90,
        reserve = function(class, n) return class == 'x' and n + 2 or n end,
    }""",
        "s.lua",
    )
    assert parsed_script.number("idle_keep_s") == 90
    assert parsed_script.call_hook("reserve", 3.0, "x", 3.0) == 5.0
    assert parsed_script.call_hook("reserve", 3.0, "y", 3.0) == 3.0


@pytest.mark.parametrize(
    ("source", "message"),
    [
        ("return {\n idle_keep_s = = 3}", "s.lua:2"),
        ("\n\nerror('no')", "s.lua:3"),
        ("return 3", "table"),
        ("return {idle_keep_s = -1}", "idle_keep_s"),
        ("return {idle_keep_s = 'x'}", "idle_keep_s"),
        ("return {reserve = 3}", "reserve"),
        ("return {novel = 3}", "novel"),
        ("while true do end", "instructions"),
        ("local t = {} for i = 1, 1e9 do t[i] = {} end", "instructions"),
        ("return {idle_keep_s = os.time()}", "os"),
        ("io.open('/etc/passwd')", "io"),
        ("require('os')", "require"),
        ("load('return 1')()", "load"),
        ("python.eval('1')", "python"),
        ("debug.sethook()", "debug"),
    ],
)
def test_a_faulty_script_is_refused_with_its_reason(source, message):
    with pytest.raises(ScriptError, match=message):
        parse(source, "s.lua")


@pytest.mark.parametrize(
    "body",
    [
        "while true do end",
        "error('x')",
        "return 'many'",
        "return -1",
        "return 0/0",
        "local s = 'x' while true do s = s .. s end",
    ],
)
def test_failing_hook_is_disabled_and_its_default_applies(body):
    parsed_script = parse(f"return {{reserve = function(class, n) {body} end}}", "s.lua")
    assert parsed_script.call_hook("reserve", 3.0, "c", 3.0) == 3.0
    assert parsed_script.hooks == {}
    assert parsed_script.call_hook("reserve", 4.0, "c", 4.0) == 4.0


def test_a_missing_file_is_named():
    with pytest.raises(ScriptError, match=r"none\.lua"):
        load("/nowhere/none.lua")
