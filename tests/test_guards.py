"""Every call that changes something outside of the process is listed by file, so that none bypasses a duty's fence."""

from __future__ import annotations

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "winglift"


def count_calls(name: str) -> dict[str, int]:
    """The number of calls of methods with this name, by file."""
    counts: dict[str, int] = {}
    for path in sorted(ROOT.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == name:
                file = str(path.relative_to(ROOT))
                counts[file] = counts.get(file, 0) + 1
    return counts


def files_with_text(*words: str) -> set[str]:
    """Files with a string constant that equals one of these words."""
    return {
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and node.value in words
    }


def test_all_transactions_are_listed_with_their_conditions():
    """A new transaction belongs in the table of `docs/duties.md`, with what it is conditional on."""
    assert count_calls("commit") == {
        "api/jobs.py": 2,
        "flows/run.py": 1,
        "flows/service.py": 2,
        "store/batcher.py": 1,
        "store/election.py": 1,
        "store/image_cache_snapshots.py": 1,
        "duties/intent_log.py": 1,
        "duties/garbage_collection.py": 1,
    }
    # Writes of a leader are conditional on the fencing token of the term that they began in, not on the current one.
    assert set(count_calls("condition")) == {
        "store/batcher.py",
        "store/image_cache_snapshots.py",
        "duties/intent_log.py",
        "duties/garbage_collection.py",
        "flows/driver.py",
    }
    revisions = {
        str(path.relative_to(ROOT)) for path in ROOT.rglob("*.py") if "leadership.revision" in path.read_text()
    }
    assert revisions == {"duties/duty.py", "store/election.py"}


def test_the_cloud_is_called_in_one_place_that_checks_the_lease_just_before():
    assert files_with_text("/hosts", "/hosts/delete") == {"cloud/client.py"}
    source = (ROOT / "cloud/client.py").read_text()
    call = next(n for n in ast.walk(ast.parse(source)) if isinstance(n, ast.AsyncFunctionDef) and n.name == "_call")
    checked_line = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "may_change")
    await_lines = [n.lineno for n in ast.walk(call) if isinstance(n, ast.Await)]
    sent_line = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "request")
    assert max(line for line in await_lines if line < sent_line) < checked_line < sent_line
    # Only the inventory rents and deletes machines; it records both in the intent log first.
    assert set(count_calls("rent")) == {
        "cloud/inventory.py",
        "controller/leader_term.py",
        "policy/gangs.py",
        "policy/plan.py",
        "policy/warm_pool.py",
    }  # the methods of this name in `policy` do not call the cloud
    assert files_with_text("/commands") == {"workers/commands.py"}


def test_unfenced_deletions_have_one_path_that_is_checked_just_before():
    """A node that may not be the leader deletes only machines that the records of cancelled jobs name."""
    assert count_calls("delete_for_cancellation") == {"workers/cancellation_enforcement.py": 1}
    uses = {str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py") if ".may_delete_unfenced" in p.read_text()}
    assert uses == {"cloud/client.py", "node.py"}
    source = (ROOT / "cloud/client.py").read_text()
    call = next(n for n in ast.walk(ast.parse(source)) if isinstance(n, ast.AsyncFunctionDef) and n.name == "_call")
    checked_line = next(
        n.lineno
        for n in ast.walk(call)
        if isinstance(n, ast.Call) and isinstance(n.func, ast.Name) and n.func.id == "may_bypass_fence"
    )
    await_lines = [n.lineno for n in ast.walk(call) if isinstance(n, ast.Await)]
    sent_line = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "request")
    assert max(line for line in await_lines if line < sent_line) < checked_line < sent_line
    # No other call may bypass the fence: the other deletions and rentals use the default, which forbids it.
    bypassing_calls = [
        n
        for n in ast.walk(ast.parse(source))
        if isinstance(n, ast.Call)
        and isinstance(n.func, ast.Attribute)
        and n.func.attr == "_call"
        and len(n.args) + len(n.keywords) > 4
    ]
    assert len(bypassing_calls) == 1


def test_clocks_connections_and_random_numbers_come_from_one_place():
    """Otherwise a simulated node would read the clock of the machine that runs the test."""
    for word in ("time.monotonic(", "time.time(", "socket.socket(", "random.Random("):
        users = {p.relative_to(ROOT).parts[0] for p in ROOT.rglob("*.py") if word in p.read_text()}
        assert users <= {"net", "cli"}, word
