"""Each constant is defined in `winglift/constants.py` with a comment on its unit and reason, and is used."""

from __future__ import annotations

import re
from pathlib import Path

PACKAGE = Path(__file__).parent.parent / "winglift"
SOURCE = (PACKAGE / "constants.py").read_text()
ASSIGNMENTS = re.findall(r"^([A-Z][A-Z_]+) = (.*)$", SOURCE, re.M)


def test_every_constant_has_a_comment():
    assert len(ASSIGNMENTS) > 60
    assert [name for name, value_and_comment in ASSIGNMENTS if "  # " not in value_and_comment] == []


def test_every_constant_is_used():
    code = "\n".join(path.read_text() for path in PACKAGE.rglob("*.py") if path.name != "constants.py")
    assert [name for name, _ in ASSIGNMENTS if not re.search(rf"\bconstants\.{name}\b", code)] == []
