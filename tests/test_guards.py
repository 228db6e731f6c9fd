"""No call goes round the one place where a duty's fence is asked: what changes the outside is listed, file by file."""

from __future__ import annotations

import ast
import pathlib

ROOT = pathlib.Path(__file__).parent.parent / "winglift"


def calls(name: str) -> dict[str, int]:
    """File: how often it calls a method of that name."""
    found: dict[str, int] = {}
    for path in sorted(ROOT.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == name:
                key = str(path.relative_to(ROOT))
                found[key] = found.get(key, 0) + 1
    return found


def texts(*words: str) -> set[str]:
    """Files that hold one of these words as a text of their own."""
    return {
        str(path.relative_to(ROOT))
        for path in ROOT.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Constant) and node.value in words
    }


def test_every_transaction_is_one_whose_condition_is_known():
    """A new one belongs into the table of `docs/duties.md`, with what it is conditional on."""
    assert calls("commit") == {
        "api/jobs.py": 2,
        "flows/run.py": 1,
        "flows/service.py": 2,
        "store/batcher.py": 1,
        "store/election.py": 1,
        "store/image_cache_snapshots.py": 1,
        "duties/intent_log.py": 1,
        "duties/garbage_collection.py": 1,
    }
    # Leader writes are conditional on the fencing token that their term began with, and not on the present leadership.
    assert set(calls("condition")) == {
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


def test_the_cloud_is_called_in_one_place_which_asks_for_the_lease_last():
    assert texts("/hosts", "/hosts/delete") == {"cloud/client.py"}
    source = (ROOT / "cloud/client.py").read_text()
    call = next(n for n in ast.walk(ast.parse(source)) if isinstance(n, ast.AsyncFunctionDef) and n.name == "_call")
    asked = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "may_change")
    waits = [n.lineno for n in ast.walk(call) if isinstance(n, ast.Await)]
    sent = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "request")
    assert max(line for line in waits if line < sent) < asked < sent
    # Rentals and deletions get there by the inventory alone, which records them first.
    assert set(calls("rent")) == {
        "cloud/inventory.py",
        "controller/leader_term.py",
        "policy/gangs.py",
        "policy/plan.py",
        "policy/warm_pool.py",
    }  # of those in `policy` none is the cloud's
    assert texts("/commands") == {"workers/commands.py"}


def test_unfenced_deletions_have_one_way_which_is_checked_last():
    """Deletions by a node that may not lead: of machines that cancelled jobs' records name, and of nothing else."""
    assert calls("delete_for_cancellation") == {"workers/cancellation_enforcement.py": 1}
    uses = {str(p.relative_to(ROOT)) for p in ROOT.rglob("*.py") if ".may_delete_unfenced" in p.read_text()}
    assert uses == {"cloud/client.py", "node.py"}
    source = (ROOT / "cloud/client.py").read_text()
    call = next(n for n in ast.walk(ast.parse(source)) if isinstance(n, ast.AsyncFunctionDef) and n.name == "_call")
    asked = next(
        n.lineno
        for n in ast.walk(call)
        if isinstance(n, ast.Call) and isinstance(n.func, ast.Name) and n.func.id == "may_bypass_fence"
    )
    waits = [n.lineno for n in ast.walk(call) if isinstance(n, ast.Await)]
    sent = next(n.lineno for n in ast.walk(call) if isinstance(n, ast.Attribute) and n.attr == "request")
    assert max(line for line in waits if line < sent) < asked < sent
    # Nobody else opens it: the other deletions and rentals pass the default, which is shut.
    opened = [
        n
        for n in ast.walk(ast.parse(source))
        if isinstance(n, ast.Call)
        and isinstance(n.func, ast.Attribute)
        and n.func.attr == "_call"
        and len(n.args) + len(n.keywords) > 4
    ]
    assert len(opened) == 1


def test_clocks_and_connections_are_had_in_one_place():
    """Elsewhere a test with several nodes would read the clock of the machine it runs on."""
    for word in ("time.monotonic(", "time.time(", "socket.socket(", "random.Random("):
        users = {p.relative_to(ROOT).parts[0] for p in ROOT.rglob("*.py") if word in p.read_text()}
        assert users <= {"net", "cli"}, word
