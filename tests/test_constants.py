"""Every constant stands in one place with its unit and reason, and is used."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "winglift"
TEXT = (PACKAGE / "constants.py").read_text()
LINES = re.findall(r"^([A-Z][A-Z_]+) = (.*)$", TEXT, re.M)


def test_every_constant_says_why():
    assert len(LINES) > 60
    assert [name for name, rest in LINES if "  # " not in rest] == []


def test_every_constant_is_used():
    code = "\n".join(p.read_text() for p in PACKAGE.rglob("*.py") if p.name != "constants.py")
    assert [name for name, _ in LINES if not re.search(rf"\bconstants\.{name}\b", code)] == []
