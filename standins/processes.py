"""How the stand-in workers run described tasks: as plain processes, each in a folder of its own."""

from __future__ import annotations

import asyncio
import glob
import hashlib
import json
import os
import pathlib
import shutil
import signal
from typing import Any

from .files import Store

BASE = "/winglift-task"  # stands for the task's folder in descriptions
PAGE = 50  # tasks in one description, as the controllers write them
ERRORS_BYTES = 1500
LOAD_BYTES = 64 * 1024


class Processes:
    """`bad` names machines on which every command fails, as on faulty ones."""

    def __init__(self, store: Store, folder: pathlib.Path) -> None:
        self.store = store
        self.folder = folder
        self.bad: set[str] = set()
        self.runs: list[tuple[str, int, str]] = []  # task, attempt, machine

    def knows(self, task: str) -> bool:
        return self._describe(task) is not None

    def _describe(self, task: str) -> dict[str, Any] | None:
        job, _, number = task.partition("/")
        page = self.store.tasks.get((job, int(number) // PAGE))
        works = json.loads(page) if page else []
        return works[int(number) % PAGE] if int(number) % PAGE < len(works) else None

    async def run(self, task: str, attempt: int, machine: str) -> str:
        """Run a task to its end; why it ended, as workers report it."""
        job, _, number = task.partition("/")
        self.runs.append((task, attempt, machine))
        folder = self.folder / f"{job}-{number}-{attempt}-{machine}"
        found: dict[str, Any] = {"machine": machine, "attempt": attempt, "code": -1, "ok": False}
        try:
            work = self._describe(task)
            assert work is not None
            if machine in self.bad:
                found["why"] = "the machine is faulty"
            else:
                await self._work(work, folder, found)
        except (OSError, KeyError, ValueError) as err:
            found["why"] = str(err)
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        self.store.result(job, int(number), found)
        return "done" if found["ok"] else "error"

    async def _work(self, work: dict[str, Any], folder: pathlib.Path, found: dict[str, Any]) -> None:
        def real(text: str) -> str:
            return text.replace(BASE, str(folder))

        out, tmp = folder / "out", folder / "tmp"
        out.mkdir(parents=True)
        tmp.mkdir()
        for item in work.get("files", []):
            path = pathlib.Path(real(item["path"]))
            if item.get("digest") is None:
                path.mkdir(parents=True, exist_ok=True)
                continue
            path.parent.mkdir(parents=True, exist_ok=True)
            content = self.store.blobs[item["digest"]]
            if path.is_relative_to(out) and BASE.encode() in content:
                content = content.replace(BASE.encode(), str(folder).encode())
            path.write_bytes(content)
        env = {"PATH": os.environ.get("PATH", ""), "HOME": str(out), "TMPDIR": str(tmp)}
        env |= {name: real(text) for name, text in work.get("env", {}).items()}
        errors = out / work["stderr"] if work.get("stderr") else folder / "stderr"
        with (
            open(real(work["stdin"]) if work.get("stdin") else os.devnull, "rb") as stdin,
            open(out / work["stdout"] if work.get("stdout") else os.devnull, "wb") as stdout,
            open(errors, "wb") as stderr,
        ):
            process = await asyncio.create_subprocess_exec(
                *map(real, work["command"]),
                cwd=out,
                env=env,
                stdin=stdin,
                stdout=stdout,
                stderr=stderr,
                start_new_session=True,
            )
            try:
                await asyncio.wait_for(process.wait(), work.get("time_s") or None)
            except TimeoutError:
                found["why"] = f"it ran for more than {work['time_s']:g} s"
            finally:
                if process.returncode is None:
                    os.killpg(process.pid, signal.SIGKILL)
                    await process.wait()
        found["code"] = process.returncode
        found["errors"] = errors.read_bytes()[-ERRORS_BYTES:].decode(errors="replace")
        if "why" in found or process.returncode not in work.get("success", [0]):
            return
        whole = out / "cwl.output.json"
        if whole.exists():
            found["whole"] = self._adopt(json.loads(whole.read_text()), out)
        else:
            found["outputs"] = {o["name"]: self._matches(o, out) for o in work.get("outputs", [])}
        found["ok"] = True

    def _matches(self, output: dict[str, Any], out: pathlib.Path) -> list[dict[str, Any]]:
        names = [n for pattern in output.get("glob", []) for n in sorted(glob.glob(pattern, root_dir=out))]
        return [self._take(out / name, output.get("load", False)) for name in names]

    def _take(self, path: pathlib.Path, load: bool = False) -> dict[str, Any]:
        if path.is_dir():
            return {
                "class": "Directory",
                "basename": path.name,
                "listing": [self._take(p) for p in sorted(path.iterdir())],
            }
        content = path.read_bytes()
        made = {
            "class": "File",
            "basename": path.name,
            "location": f"sha256:{self.store.put(content)}",
            "size": len(content),
            "checksum": f"sha1${hashlib.sha1(content).hexdigest()}",
        }
        if load:
            made["contents"] = content[:LOAD_BYTES].decode(errors="replace")
        return made

    def _adopt(self, value: Any, out: pathlib.Path) -> Any:
        if isinstance(value, dict):
            where = value.get("path") or value.get("location")
            if value.get("class") in ("File", "Directory") and where:
                return self._take(out / where.removeprefix("file://"))
            return {k: self._adopt(v, out) for k, v in value.items()}
        return [self._adopt(v, out) for v in value] if isinstance(value, list) else value
