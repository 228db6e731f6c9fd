"""CWL files: invalid ones are rejected with file, line and reason; valid ones run on a loopback node."""

from __future__ import annotations

import asyncio
import hashlib
import pathlib
from typing import Any

import msgspec
import pytest
from flow_world import flow_world

from winglift.cwl.errors import CwlError, Unsupported
from winglift.cwl.load import check

CWL = pathlib.Path(__file__).parent / "cwl"
TABLE = {"class": "File", "path": str(CWL / "table.txt")}


def file(name: str, content: str) -> dict[str, Any]:
    """A File object as results contain it, without the fields that derive from its name."""
    data = content.encode()
    return {
        "class": "File",
        "basename": name,
        "location": f"sha256:{hashlib.sha256(data).hexdigest()}",
        "size": len(data),
        "checksum": f"sha1${hashlib.sha1(data).hexdigest()}",
    }


# Document, order, expected outputs. All of them run at the same time in one deployment.
RUNS: list[tuple[str, dict[str, Any], dict[str, Any]]] = [
    ("words", {"a": 4, "b": "x y", "c": True, "d": False}, {"line": "first --b=x y -a 4 -c given last\n"}),
    (
        "lists",
        {"joined": [1, 2], "each": ["p", "q"], "flat": ["r", "s"], "none": []},
        {"line": "-j 1,2 -x p -x q -f r s\n"},
    ),
    (
        "records",
        {"lens": {"power": 2.5, "coat": "hard"}},
        {"line": "hard -p 2.5\n", "lens": {"power": 2.5, "coat": "hard"}},
    ),
    ("streams", {"text": TABLE}, {"good": file("good.stdout", "3 lenses\n"), "bad": file("bad.stderr", "trouble\n")}),
    (
        "globs",
        {},
        {
            "texts": [file("a.txt", "1\n"), file("b.txt", "2\n")],
            "none": None,
            "folder": {"class": "Directory", "basename": "d", "listing": [file("c.dat", "3\n")]},
            "several": [file("b.txt", "2\n"), file("c.dat", "3\n")],
        },
    ),
    (
        "folder",
        {
            "folder": {
                "class": "Directory",
                "basename": "f",
                "listing": [{"class": "File", "basename": "one", "contents": "1"}, TABLE],
            }
        },
        {"names": "one\ntable.txt\n"},
    ),
    ("codes", {}, {"code": 3}),
    ("variables", {"lens": "flat"}, {"line": "flat lens in out\n"}),
    ("workdir", {"lens": "flat", "table": TABLE}, {"text": "lens = flat\n3 lenses\ntable.txt\n"}),
    ("expression", {"a": 2, "b": 3}, {"sum": 5, "all": [2, 3]}),
    ("script", {"n": 4, "names": ["a", "b"]}, {"line": "9 A B n=4!\n"}),
    ("resources", {"cores": 2}, {"line": "2 512\n"}),
    ("image", {}, {}),
    ("names", {"file": TABLE}, {"copy": file("table-copy.txt", "3 lenses\n")}),
    ("object", {}, {"n": 4, "file": file("x.txt", "hello\n")}),
    ("chain", {"x": "a"}, {"last": "a !"}),
    ("scatter_one", {"xs": ["a", "b", "c"]}, {"all": ["a", "b", "c"]}),
    ("scatter_one", {"xs": []}, {"all": []}),
    ("scatter_dot", {"xs": ["a", "b"], "ys": ["c", "d"]}, {"all": ["a c", "b d"]}),
    ("scatter_flat", {"xs": ["a", "b"], "ys": ["c", "d"]}, {"all": ["a c", "a d", "b c", "b d"]}),
    ("scatter_nested", {"xs": ["a", "b"], "ys": ["c", "d"]}, {"all": [["a c", "a d"], ["b c", "b d"]]}),
    ("when", {"n": 4}, {"either": "small", "both": ["small"]}),
    ("when", {"n": 40}, {"either": "large", "both": ["large"]}),
    ("when_scatter", {"xs": ["a", "bb", "cc"]}, {"some": ["bb", "cc"]}),
    ("inner", {"x": "a"}, {"out": "a ?"}),
    ("outer", {"x": "a"}, {"out": "a !"}),
    ("outer_scatter", {"xs": ["a", "b"]}, {"out": ["a ?", "b ?"]}),
    ("merge", {"a": ["p", "q"], "b": "r"}, {"flat": ["p", "q", "r"], "list": ["r"]}),
    ("value_from", {"n": 4, "f": TABLE}, {"out": "5x 3 lenses"}),
]

REJECTED = [
    ("bad_cycle", CwlError, r"bad_cycle\.cwl:6: .*a, b depend on one another in a circle"),
    ("bad_step", CwlError, r"bad_step\.cwl:7: a/x takes nobody/out: no step or input nobody"),
    ("bad_type", CwlError, r"bad_type\.cwl:7: a/x takes n: int is not string"),
    ("bad_endless", CwlError, r"bad_endless\.cwl:7: .*did not end within 0\.5 s"),
    ("bad_script", CwlError, r"bad_script\.cwl:6: .*SyntaxError"),
    ("bad_name", CwlError, r"bad_name\.cwl:5: .*no input lense"),
    ("left_secondary", Unsupported, r"left_secondary\.cwl:6: secondaryFiles"),
    ("left_shell", Unsupported, r"left_shell\.cwl:5: ShellCommandRequirement"),
    ("left_schemas", Unsupported, r"left_schemas\.cwl:3: \$schemas"),
    ("left_outside", Unsupported, r"left_outside\.cwl:7: run: https://elsewhere"),
    ("left_version", Unsupported, r"left_version\.cwl:1: cwlVersion v1\.0"),
]


@pytest.mark.parametrize(("name", "kind", "text"), REJECTED)
def test_an_invalid_document_is_rejected_with_file_line_and_reason(name, kind, text):
    with pytest.raises(CwlError, match=text) as raised:
        check(str(CWL / f"{name}.cwl"), None)
    assert type(raised.value) is kind


@pytest.mark.parametrize(
    ("order", "text"),
    [
        ("n: many\nf: {class: File, path: table.txt}\n", r"order\.yml:1: n: expected int"),
        ("n: 1\nf: {class: File, path: nowhere.txt}\n", r"order\.yml:2: .*nowhere\.txt: No such file"),
        ("n: 1\n", r"order\.yml: no value for f, File"),
        ("n: 1\nf: {class: File, path: https://elsewhere.example/t}\n", r"order\.yml:2: .*not a local file"),
        ("n: 1\nm: 2\nf: {class: File, contents: x}\n", r"order\.yml:2: no such input m"),
        ("n: [1\n", r"order\.yml:\d: not YAML"),
    ],
)
def test_an_invalid_order_is_rejected_with_file_line_and_reason(tmp_path, order, text):
    path = tmp_path / "order.yml"
    path.write_text(order)
    with pytest.raises(CwlError, match=text):
        check(str(CWL / "value_from.cwl"), str(path))


def without_name_parts(value: Any) -> Any:
    """A result without the fields that derive from a file's name."""
    if isinstance(value, dict):
        return {k: without_name_parts(v) for k, v in value.items() if k not in ("nameroot", "nameext")}
    return [without_name_parts(v) for v in value] if isinstance(value, list) else value


def test_each_document_yields_its_outputs_on_a_loopback_node(tmp_path):
    async def scenario() -> None:
        async with flow_world(tmp_path) as w:
            refs = []
            for number, (name, order, _) in enumerate(RUNS):
                path = tmp_path / f"{number}.yml"
                path.write_bytes(msgspec.json.encode(order))
                refs.append(await w.submit(check(str(CWL / f"{name}.cwl"), str(path)), f"fl-{number}"))
            results = await asyncio.gather(*(w.outputs(ref) for ref in refs))
            for (name, order, expected), outputs in zip(RUNS, results, strict=True):
                assert without_name_parts(outputs) == expected, (name, order)
            image = next(s for s in w.specs() if s["bundle"] == "optics/surface:3")
            assert (image["jobClass"], image["urgency"], image["loaner"], image["gpus"], image["expectedS"]) == (
                "surfacing",
                "urgent",
                True,
                1.0,
                2.0,
            )

    asyncio.run(scenario())
