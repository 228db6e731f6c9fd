"""Requirements and hints of a process: its own and those that it inherits."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..wire.flows import Hints, WorkDirEntry
from .errors import CwlError, Unsupported

NAMESPACE = "winglift:"
WINGLIFT_HINT = f"{NAMESPACE}Job"
# Fields of the hint winglift:Job, and the fields of Hints that hold their values.
HINT_FIELDS = {
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
TEXT_FIELDS, BOOLEAN_FIELDS = {"team", "priority", "jobClass"}, {"spot"}
SUPPORTED_REQUIREMENTS = {
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
# Unsupported, but CWL allows an implementation to ignore them where they are given as hints.
IGNORABLE_HINTS = {
    "SoftwareRequirement",
    "NetworkAccess",
    "WorkReuse",
    "LoadListingRequirement",
    "InplaceUpdateRequirement",
    "ShellCommandRequirement",
    "SchemaDefRequirement",
}


@dataclass(frozen=True, slots=True)
class Requirements:
    """Requirements and hints by class name. A process's own replace inherited ones; requirements override hints."""

    required: dict[str, Any] = field(default_factory=dict)
    hinted: dict[str, Any] = field(default_factory=dict)

    def get(self, name: str) -> Any:
        """The requirement or hint of a class; None if there is none."""
        return self.required.get(name, self.hinted.get(name))

    def combined_with(self, process: Any, locate: Callable[..., str]) -> Requirements:
        """The requirements that apply within a process or step: these and its own."""
        required, hinted = dict(self.required), dict(self.hinted)
        for requirement in process.requirements or []:
            name = class_of(requirement)
            if name == "LoadListingRequirement" and getattr(requirement, "loadListing", None) == "no_listing":
                continue
            if name not in SUPPORTED_REQUIREMENTS:
                raise Unsupported(f"{locate(name)}: {name}")
            required[name] = requirement
        for hint in process.hints or []:
            hinted[class_of(hint)] = hint
        return Requirements(required, hinted)

    def inherited_by_process(self) -> Requirements:
        """What the process of a step inherits: all but the hint winglift:Job, which belongs to the step."""
        return Requirements(self.required, {n: h for n, h in self.hinted.items() if n != WINGLIFT_HINT})

    @property
    def javascript(self) -> bool:
        """Whether expressions are JavaScript, rather than parameter references only."""
        return self.get("InlineJavascriptRequirement") is not None

    @property
    def library(self) -> list[str]:
        """JavaScript sources that are evaluated before each expression."""
        requirement = self.get("InlineJavascriptRequirement")
        return list(field_of(requirement, "expressionLib") or []) if requirement is not None else []


def class_of(requirement: Any) -> str:
    """The class name of a requirement or hint; the parser leaves hints of unknown classes as dictionaries."""
    return requirement.get("class", "") if isinstance(requirement, dict) else requirement.class_


def field_of(part: Any, name: str) -> Any:
    """A field of a parsed object or of a dictionary; None if it is missing."""
    return part.get(name) if isinstance(part, dict) else getattr(part, name, None)


def winglift_hints(process: Any, locate: Callable[..., str]) -> tuple[Hints, Any]:
    """The hint winglift:Job of a process or step, and the number of GPUs that it requests (None: not given)."""
    for hint in process.hints or []:
        if class_of(hint) != WINGLIFT_HINT:
            continue
        fields: dict[str, Any] = {}
        gpus = None
        for name, value in hint.items():
            if name == "class":
                continue
            if name == "gpus":
                gpus = value
            elif name not in HINT_FIELDS:
                raise CwlError(
                    f"{locate(WINGLIFT_HINT, name)}: {WINGLIFT_HINT}: no such field {name}; "
                    f"known are gpus, {', '.join(HINT_FIELDS)}"
                )
            else:
                valid = (
                    isinstance(value, str)
                    if name in TEXT_FIELDS
                    else isinstance(value, bool)
                    if name in BOOLEAN_FIELDS
                    else isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
                )
                if not valid:
                    raise CwlError(f"{locate(WINGLIFT_HINT, name)}: {WINGLIFT_HINT}: {name}: unexpected {value!r}")
                fields[HINT_FIELDS[name]] = value
        return Hints(**fields), gpus
    return Hints(), None


def requested_resources(requirements: Requirements, locate: Callable[..., str]) -> dict[str, Any]:
    """CPUs and memory (GB) as arguments of Tool; numbers or expressions."""
    requirement = requirements.get("ResourceRequirement")
    requested: dict[str, Any] = {}
    if requirement is None:
        return requested
    cores = field_of(requirement, "coresMin")
    cores = field_of(requirement, "coresMax") if cores is None else cores
    if cores is not None:
        requested["cpus"] = cores if isinstance(cores, str) else float(cores)
    ram = field_of(requirement, "ramMin")
    ram = field_of(requirement, "ramMax") if ram is None else ram
    if isinstance(ram, str):
        # CWL gives RAM in MiB, plans hold GB. Only JavaScript can divide the expression by 1024.
        if not requirements.javascript:
            raise Unsupported(f"{locate('ramMin')}: ramMin: an expression without InlineJavascriptRequirement")
        expression = f"({ram[2:-1]})" if ram.startswith("$(") else f"(function() {{{ram[2:-1]}}})()"
        requested["memory_gb"] = f"$({expression} / 1024)"
    elif ram is not None:
        requested["memory_gb"] = float(ram) / 1024
    return requested


def time_limit(requirements: Requirements) -> float | str:
    """The time limit in s, or an expression for it; 0.0: none."""
    requirement = requirements.get("ToolTimeLimit")
    if requirement is None:
        return 0.0
    limit = field_of(requirement, "timelimit")
    return limit if isinstance(limit, str) else float(limit)


def environment_variables(requirements: Requirements) -> dict[str, str]:
    """The environment variables of EnvVarRequirement; values may be expressions."""
    requirement = requirements.get("EnvVarRequirement")
    environment = {}
    for entry in field_of(requirement, "envDef") or [] if requirement is not None else []:
        environment[field_of(entry, "envName")] = field_of(entry, "envValue")
    return environment


def container_image(requirements: Requirements, locate: Callable[..., str]) -> str:
    """The image of DockerRequirement; "none" without one."""
    requirement = requirements.get("DockerRequirement")
    if requirement is None:
        return "none"
    for feature in ("dockerLoad", "dockerFile", "dockerImport", "dockerOutputDirectory"):
        if field_of(requirement, feature):
            raise Unsupported(f"{locate(feature)}: {feature}")
    return field_of(requirement, "dockerPull") or field_of(requirement, "dockerImageId") or "none"


def initial_work_dir(requirements: Requirements, locate: Callable[..., str]) -> list[WorkDirEntry]:
    """The entries of InitialWorkDirRequirement. `writable` can be ignored, since inputs are always copied."""
    requirement = requirements.get("InitialWorkDirRequirement")
    if requirement is None:
        return []
    listing = field_of(requirement, "listing")
    if isinstance(listing, str):
        return [WorkDirEntry(listing)]
    entries = []
    for entry in listing or []:
        if isinstance(entry, str):
            entries.append(WorkDirEntry(entry))
        elif field_of(entry, "entry") is not None:
            entries.append(WorkDirEntry(field_of(entry, "entry"), field_of(entry, "entryname")))
        else:
            raise Unsupported(
                f"{locate('InitialWorkDirRequirement')}: a File or Directory object in listing; "
                "use an entry with entryname instead"
            )
    return entries
