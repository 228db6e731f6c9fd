"""Every module, class, function, constant and page that docs/architecture.md names exists under that name.

So does every current name in the tables "Names" and "Glossary" of docs/design.md.
"""

from __future__ import annotations

import ast
import pathlib
import re
from dataclasses import dataclass, field

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PACKAGE = ROOT / "winglift"
PAGE = ROOT / "docs" / "architecture.md"
DESIGN = ROOT / "docs" / "design.md"

CODE_SPAN = re.compile(r"`([^`\n]+)`")
MODULE = re.compile(r"[a-z_]+(?:/[a-z_]+)*\.py")
CLASS = re.compile(r"([A-Z][a-z]+[A-Za-z]*)(?:\.(\w+))?")
FUNCTION = re.compile(r"([a-z_]+)\(\)")
CONSTANT = re.compile(r"[A-Z]+(?:_[A-Z]+)+")
CLASS_IN_MODULE = re.compile(r"`([A-Z][a-z]+[A-Za-z]*)(?:\.\w+)?`\s+\(`([a-z_/]+\.py)`")
LINK = re.compile(r"\]\(([^)#\s]*)(?:#([^)\s]+))?\)")
FENCED_BLOCK = re.compile(r"```.*?```", re.DOTALL)


@dataclass
class Symbols:
    """What the package defines: members by class, classes by module, functions, and the source text."""

    members: dict[str, set[str]] = field(default_factory=dict)
    classes_in: dict[str, set[str]] = field(default_factory=dict)
    functions: set[str] = field(default_factory=set)
    sources: str = ""


def members_of(definition: ast.ClassDef) -> set[str]:
    """Methods, fields and enumeration members of a class."""
    members: set[str] = set()
    for node in definition.body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            members.add(node.name)
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            members.add(node.target.id)
        elif isinstance(node, ast.Assign):
            members.update(target.id for target in node.targets if isinstance(target, ast.Name))
    return members


def package_symbols() -> Symbols:
    """Parse all modules of the package without importing them."""
    symbols = Symbols()
    for path in sorted(PACKAGE.rglob("*.py")):
        source = path.read_text()
        symbols.sources += source
        classes = symbols.classes_in.setdefault(path.relative_to(PACKAGE).as_posix(), set())
        for node in ast.parse(source).body:
            if isinstance(node, ast.ClassDef):
                classes.add(node.name)
                symbols.members.setdefault(node.name, set()).update(members_of(node))
            elif isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                symbols.functions.add(node.name)
    return symbols


def heading_anchors(page: pathlib.Path) -> set[str]:
    """The anchors of a page's headings, in the form that common renderers generate."""
    headings = re.findall(r"^#+ (.+)$", page.read_text(), re.MULTILINE)
    return {re.sub(r"[^\w\- ]", "", heading.lower()).replace(" ", "-") for heading in headings}


def wrong_spans(text: str, symbols: Symbols) -> list[str]:
    """Code spans that look like a name in the code but name nothing."""
    wrong: list[str] = []
    for span in CODE_SPAN.findall(text):
        if span.startswith(("tests/", "docs/")):
            known = (ROOT / span).is_file()
        elif MODULE.fullmatch(span):
            known = span in symbols.classes_in
        elif match := CLASS.fullmatch(span):
            known = match[1] in symbols.members and (match[2] is None or match[2] in symbols.members[match[1]])
        elif match := FUNCTION.fullmatch(span):
            known = match[1] in symbols.functions
        elif CONSTANT.fullmatch(span):
            known = re.search(rf"\b{span}\b", symbols.sources) is not None
        else:
            continue
        if not known:
            wrong.append(span)
    return wrong


def wrong_places(text: str, symbols: Symbols) -> list[str]:
    """Classes that the page places in a module which does not define them."""
    return [
        f"{name} in {module}"
        for name, module in CLASS_IN_MODULE.findall(text)
        if name not in symbols.classes_in.get(module, set())
    ]


def wrong_links(text: str) -> list[str]:
    """Links to pages or headings that do not exist."""
    wrong: list[str] = []
    for target, anchor in LINK.findall(text):
        page = PAGE.parent / target if target else PAGE
        if not page.is_file() or (anchor and anchor not in heading_anchors(page)):
            wrong.append(f"{target}#{anchor}")
    return wrong


def wrong_references(text: str) -> list[str]:
    """Every wrong name and link of a page."""
    symbols = package_symbols()
    prose = FENCED_BLOCK.sub("", text)
    return wrong_spans(prose, symbols) + wrong_places(prose, symbols) + wrong_links(prose)


def test_all_names_on_the_page_exist():
    assert wrong_references(PAGE.read_text()) == []


def test_the_page_names_modules_classes_and_pages():
    """The patterns match the names on the page; without this test a page in another form would pass unchecked."""
    text = PAGE.read_text()
    spans = CODE_SPAN.findall(FENCED_BLOCK.sub("", text))
    assert sum(MODULE.fullmatch(span) is not None for span in spans) >= 30
    assert sum(CLASS.fullmatch(span) is not None for span in spans) >= 30
    assert len(CLASS_IN_MODULE.findall(text)) >= 10
    assert len(LINK.findall(text)) >= 10


@pytest.mark.parametrize(
    "wrong",
    [
        "`store/mirror.py`",
        "`Picture`",
        "`LeaderTerm.lead`",
        "`Role.MASTER`",
        "`take_over_all()`",
        "`WINGLIFT_NO_SUCH_THING`",
        "`tests/test_no_such_thing.py`",
        "`LeaderTerm` (`store/election.py`)",
        "[page](no-such-page.md)",
        "[page](operations.md#no-such-heading)",
    ],
)
def test_a_wrong_name_or_link_is_reported(wrong: str):
    assert len(wrong_references(f"{PAGE.read_text()}\n{wrong}\n")) == 1


def renames() -> list[tuple[str, str]]:
    """Earlier and current names: the rows of the tables under the heading "Names"."""
    section = DESIGN.read_text().split("\n## Names\n")[1].split("\n## ")[0]
    rows = [line.strip("| ").split(" | ") for line in section.splitlines() if line.startswith("| `")]
    return [(row[0], row[1]) for row in rows]


def test_current_names_in_the_design_exist():
    symbols = package_symbols()
    current = "\n".join(new for _, new in renames())
    glossary = DESIGN.read_text().split("\n## Glossary\n")[1].split("\n## ")[0]
    assert wrong_spans(current, symbols) + wrong_spans(glossary, symbols) == []


def test_no_module_has_an_earlier_name():
    earlier = "\n".join(old for old, _ in renames())
    modules = [f"{span}.py" for span in CODE_SPAN.findall(earlier) if re.fullmatch(r"[a-z]+/[a-z_]+", span)]
    assert len(modules) >= 30
    assert set(modules) & set(package_symbols().classes_in) == {
        "model/entities.py",
        "model/records.py",
        "duties/duty.py",
    }


def test_the_first_link_of_the_readme_is_the_page():
    links = LINK.findall((ROOT / "README.md").read_text())
    assert links[0][0] == "docs/architecture.md"


def test_the_page_stays_one_page():
    lines = PAGE.read_text().splitlines()
    assert len(lines) <= 160
    assert [line for line in lines if len(line) > 120 and not line.startswith("|")] == []
