"""Runs tasks that have a description, for the stand-in workers: each as a process in its own folder."""

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

from .files import UploadStore

TASK_DIR = "/winglift-task"  # stands for the task's folder in descriptions
TASKS_PER_PAGE = 50  # descriptions in one page of the upload store, as the controllers write them
STDERR_MAX_BYTES = 1500
LOADED_CONTENT_MAX_BYTES = 64 * 1024


class Processes:
    """Runs the commands of tasks. On the machines in `bad` every command fails, as on faulty machines."""

    def __init__(self, store: UploadStore, folder: pathlib.Path) -> None:
        self.store = store
        self.folder = folder
        self.bad: set[str] = set()
        self.runs: list[tuple[str, int, str]] = []  # task, attempt, machine

    def knows(self, task: str) -> bool:
        return self._describe(task) is not None

    def _describe(self, task: str) -> dict[str, Any] | None:
        job, _, number = task.partition("/")
        page = self.store.tasks.get((job, int(number) // TASKS_PER_PAGE))
        descriptions = json.loads(page) if page else []
        return descriptions[int(number) % TASKS_PER_PAGE] if int(number) % TASKS_PER_PAGE < len(descriptions) else None

    async def run(self, task: str, attempt: int, machine: str) -> str:
        """Run a task to its end and return the exit cause that the worker reports."""
        job, _, number = task.partition("/")
        self.runs.append((task, attempt, machine))
        folder = self.folder / f"{job}-{number}-{attempt}-{machine}"
        result: dict[str, Any] = {"machine": machine, "attempt": attempt, "code": -1, "ok": False}
        try:
            description = self._describe(task)
            assert description is not None
            if machine in self.bad:
                result["why"] = "the machine is faulty"
            else:
                await self._run_command(description, folder, result)
        except (OSError, KeyError, ValueError) as err:
            result["why"] = str(err)
        finally:
            shutil.rmtree(folder, ignore_errors=True)
        self.store.add_result(job, int(number), result)
        return "done" if result["ok"] else "error"

    async def _run_command(self, description: dict[str, Any], folder: pathlib.Path, result: dict[str, Any]) -> None:
        def with_real_folder(text: str) -> str:
            return text.replace(TASK_DIR, str(folder))

        out, temporary = folder / "out", folder / "tmp"
        out.mkdir(parents=True)
        temporary.mkdir()
        for item in description.get("files", []):
            path = pathlib.Path(with_real_folder(item["path"]))
            if item.get("digest") is None:
                path.mkdir(parents=True, exist_ok=True)
                continue
            path.parent.mkdir(parents=True, exist_ok=True)
            content = self.store.blobs[item["digest"]]
            if path.is_relative_to(out) and TASK_DIR.encode() in content:
                content = content.replace(TASK_DIR.encode(), str(folder).encode())
            path.write_bytes(content)
        env = {"PATH": os.environ.get("PATH", ""), "HOME": str(out), "TMPDIR": str(temporary)}
        env |= {name: with_real_folder(text) for name, text in description.get("env", {}).items()}
        stderr_path = out / description["stderr"] if description.get("stderr") else folder / "stderr"
        with (
            open(with_real_folder(description["stdin"]) if description.get("stdin") else os.devnull, "rb") as stdin,
            open(out / description["stdout"] if description.get("stdout") else os.devnull, "wb") as stdout,
            open(stderr_path, "wb") as stderr,
        ):
            process = await asyncio.create_subprocess_exec(
                *map(with_real_folder, description["command"]),
                cwd=out,
                env=env,
                stdin=stdin,
                stdout=stdout,
                stderr=stderr,
                start_new_session=True,
            )
            try:
                await asyncio.wait_for(process.wait(), description.get("time_s") or None)
            except TimeoutError:
                result["why"] = f"it ran for more than {description['time_s']:g} s"
            finally:
                if process.returncode is None:
                    os.killpg(process.pid, signal.SIGKILL)
                    await process.wait()
        result["code"] = process.returncode
        result["errors"] = stderr_path.read_bytes()[-STDERR_MAX_BYTES:].decode(errors="replace")
        if "why" in result or process.returncode not in description.get("success", [0]):
            return
        output_object_path = out / "cwl.output.json"
        if output_object_path.exists():
            result["whole"] = self._upload_output_files(json.loads(output_object_path.read_text()), out)
        else:
            result["outputs"] = {o["name"]: self._upload_matches(o, out) for o in description.get("outputs", [])}
        result["ok"] = True

    def _upload_matches(self, output: dict[str, Any], out: pathlib.Path) -> list[dict[str, Any]]:
        names = [n for pattern in output.get("glob", []) for n in sorted(glob.glob(pattern, root_dir=out))]
        return [self._upload(out / name, output.get("load", False)) for name in names]

    def _upload(self, path: pathlib.Path, load: bool = False) -> dict[str, Any]:
        if path.is_dir():
            return {
                "class": "Directory",
                "basename": path.name,
                "listing": [self._upload(p) for p in sorted(path.iterdir())],
            }
        content = path.read_bytes()
        uploaded = {
            "class": "File",
            "basename": path.name,
            "location": f"sha256:{self.store.put(content)}",
            "size": len(content),
            "checksum": f"sha1${hashlib.sha1(content).hexdigest()}",
        }
        if load:
            uploaded["contents"] = content[:LOADED_CONTENT_MAX_BYTES].decode(errors="replace")
        return uploaded

    def _upload_output_files(self, value: Any, out: pathlib.Path) -> Any:
        if isinstance(value, dict):
            location = value.get("path") or value.get("location")
            if value.get("class") in ("File", "Directory") and location:
                return self._upload(out / location.removeprefix("file://"))
            return {k: self._upload_output_files(v, out) for k, v in value.items()}
        return [self._upload_output_files(v, out) for v in value] if isinstance(value, list) else value
