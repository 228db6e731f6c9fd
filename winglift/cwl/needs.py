"""Requirements and hints: what holds for a process, its own and what it inherits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..wire.flows import Hints, WorkDirEntry
from .errors import CwlError, Unsupported

NAMESPACE = "winglift:"
JOB = f"{NAMESPACE}Job"
# Names in winglift's own hint, and where they go.
HINTS = {
    "team": "team",
    "priority": "priority",
    "jobClass": "job_class",
    "spot": "spot",
    "checkpointS": "checkpoint_s",
    "saveS": "save_s",
    "runS": "run_s",
    "deadlineS": "deadline_s",
    "imageGb": "image_gb",
}
TEXTS, FLAGS = {"team", "priority", "jobClass"}, {"spot"}
SUPPORTED = {
    "InlineJavascriptRequirement",
    "ResourceRequirement",
    "ToolTimeLimit",
    "EnvVarRequirement",
    "InitialWorkDirRequirement",
    "DockerRequirement",
    "ScatterFeatureRequirement",
    "SubworkflowFeatureRequirement",
    "MultipleInputFeatureRequirement",
    "StepInputExpressionRequirement",
}
# Asked for as hints they may be left out by the standard.
LEFT = {
    "SoftwareRequirement",
    "NetworkAccess",
    "WorkReuse",
    "LoadListingRequirement",
    "InplaceUpdateRequirement",
    "ShellCommandRequirement",
    "SchemaDefRequirement",
}


@dataclass(frozen=True, slots=True)
class Needs:
    """By class name; what is nearer replaces what is inherited, and requirements go before hints."""

    required: dict[str, Any] = field(default_factory=dict)
    hinted: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        return self.required.get(name, self.hinted.get(name))

    def under(self, process: Any, place: Callable[..., str]) -> Needs:
        """What holds inside of a process or step."""
        required, hinted = dict(self.required), dict(self.hinted)
        for found in process.requirements or []:
            name = class_of(found)
            if name == "LoadListingRequirement" and getattr(found, "loadListing", None) == "no_listing":
                continue
            if name not in SUPPORTED:
                raise Unsupported(f"{place(name)}: {name}")
            required[name] = found
        for found in process.hints or []:
            hinted[class_of(found)] = found
        return Needs(required, hinted)

    def step(self) -> Needs:
        """What a step's process inherits: winglift's own hint stays with the step."""
        return Needs(self.required, {n: f for n, f in self.hinted.items() if n != JOB})

    @property
    def javascript(self) -> bool:
        return self.get("InlineJavascriptRequirement") is not None

    @property
    def library(self) -> list[str]:
        found = self.get("InlineJavascriptRequirement")
        return list(of(found, "expressionLib") or []) if found is not None else []


def class_of(found: Any) -> str:
    return found.get("class", "") if isinstance(found, dict) else found.class_


def of(found: Any, name: str) -> Any:
    return found.get(name) if isinstance(found, dict) else getattr(found, name, None)


def own_hints(process: Any, place: Callable[..., str]) -> tuple[Hints, Any]:
    """winglift's own hint of a process or step, and the GPUs that it asks for."""
    for found in process.hints or []:
        if class_of(found) != JOB:
            continue
        made: dict[str, Any] = {}
        gpus = None
        for name, value in found.items():
            if name == "class":
                continue
            if name == "gpus":
                gpus = value
            elif name not in HINTS:
                raise CwlError(f"{place(JOB, name)}: {JOB}: no such field {name}; known are gpus, {', '.join(HINTS)}")
            else:
                right = (
                    isinstance(value, str)
                    if name in TEXTS
                    else isinstance(value, bool)
                    if name in FLAGS
                    else isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
                )
                if not right:
                    raise CwlError(f"{place(JOB, name)}: {JOB}: {name}: unexpected {value!r}")
                made[HINTS[name]] = value
        return Hints(**made), gpus
    return Hints(), None


def resources(needs: Needs, place: Callable[..., str]) -> dict[str, Any]:
    """CPUs and memory (GB), numbers or expressions."""
    found = needs.get("ResourceRequirement")
    made: dict[str, Any] = {}
    if found is None:
        return made
    cores = of(found, "coresMin")
    cores = of(found, "coresMax") if cores is None else cores
    if cores is not None:
        made["cpus"] = cores if isinstance(cores, str) else float(cores)
    ram = of(found, "ramMin")
    ram = of(found, "ramMax") if ram is None else ram
    if isinstance(ram, str):
        # Given in MiB, needed in GB: the reference is put into a sum, which only JavaScript can do.
        if not needs.javascript:
            raise Unsupported(f"{place('ramMin')}: ramMin: an expression without InlineJavascriptRequirement")
        inner = f"({ram[2:-1]})" if ram.startswith("$(") else f"(function() {{{ram[2:-1]}}})()"
        made["memory_gb"] = f"$({inner} / 1024)"
    elif ram is not None:
        made["memory_gb"] = float(ram) / 1024
    return made


def time_limit(needs: Needs) -> float | str:
    found = needs.get("ToolTimeLimit")
    if found is None:
        return 0.0
    limit = of(found, "timelimit")
    return limit if isinstance(limit, str) else float(limit)


def variables(needs: Needs) -> dict[str, str]:
    found = needs.get("EnvVarRequirement")
    made = {}
    for entry in of(found, "envDef") or [] if found is not None else []:
        made[of(entry, "envName")] = of(entry, "envValue")
    return made


def image(needs: Needs, place: Callable[..., str]) -> str:
    found = needs.get("DockerRequirement")
    if found is None:
        return "none"
    for feature in ("dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"):
        if of(found, feature):
            raise Unsupported(f"{place(feature)}: {feature}")
    return of(found, "dockerPull") or of(found, "dockerImageId") or "none"


def initial(needs: Needs, place: Callable[..., str]) -> list[WorkDirEntry]:
    """What lies in the work folder; `writable` needs nothing, since inputs are always copied."""
    found = needs.get("InitialWorkDirRequirement")
    if found is None:
        return []
    listing = of(found, "listing")
    if isinstance(listing, str):
        return [WorkDirEntry(listing)]
    made = []
    for entry in listing or []:
        if isinstance(entry, str):
            made.append(WorkDirEntry(entry))
        elif of(entry, "entry") is not None:
            made.append(WorkDirEntry(of(entry, "entry"), of(entry, "entryname")))
        else:
            raise Unsupported(
                f"{place('InitialWorkDirRequirement')}: a literal file or folder in listing; "
                "an entry with entryname does the same"
            )
    return made
