"""Converts parsed documents to plans."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote, urlparse

from cwl_utils.parser import cwl_v1_2 as cwl
from cwl_utils.parser import load_document_by_uri
from schema_salad.exceptions import SchemaSaladException

from ..wire import flows as flow_messages
from .errors import CwlError, SourceLocator, Unsupported, validation_message
from .order import FileResolver
from .requirements import (
    Requirements,
    container_image,
    environment_variables,
    initial_work_dir,
    requested_resources,
    time_limit,
    winglift_hints,
)
from .types import (
    UNSUPPORTED_FIELDS,
    convert_binding,
    convert_inner_bindings,
    convert_type,
    is_process,
    reject_features,
    short_name,
    to_plain_data,
)


class Converter:
    """Converts one document, and the processes that its steps run, to a plan. `file` is the document's file."""

    def __init__(self, file: str, locator: SourceLocator, resolver: FileResolver) -> None:
        self.processes: dict[str, flow_messages.Process] = {}
        self.source_files: dict[str, str] = {}  # key of a process: the file that contains it
        self._workflows_with_javascript: set[str] = set()  # keys of workflows with a step that requires JavaScript
        self._locator = locator
        self._resolver = resolver
        self._main_file = file

    def convert(self, document: Any) -> flow_messages.Plan:
        """Converts the whole document; a single tool becomes a workflow of one step."""
        self.convert_process(document, "main", Requirements(), self._main_file)
        main = self.processes["main"]
        if not isinstance(main, flow_messages.Workflow):
            self.processes = {"tool": main}
            self.source_files["tool"] = self.source_files.pop("main")
            input_names = [p.name for p in main.inputs]
            self.processes["main"] = flow_messages.Workflow(
                inputs=[flow_messages.Param(p.name, p.type, p.default) for p in main.inputs],
                outputs=[flow_messages.FlowOutput(o.name, o.type, [f"run/{o.name}"]) for o in main.outputs],
                steps=[
                    flow_messages.Step(
                        "run",
                        "tool",
                        [flow_messages.StepInput(n, [n]) for n in input_names],
                        [o.name for o in main.outputs],
                    )
                ],
            )
            self.source_files["main"] = self._main_file
        return flow_messages.Plan("main", self.processes)

    def convert_process(self, document: Any, key: str, requirements: Requirements, file: str) -> None:
        """Adds a process, and those that its steps run, to `processes` under `key`."""
        if not is_process(document):
            raise Unsupported(f"{self._locator.locate(file, 'class')}: class {getattr(document, 'class_', document)}")
        if document.id and document.id.startswith("file://"):
            file = unquote(urlparse(document.id).path)

        def locate(*tokens: str) -> str:
            return self._locator.locate(file, *tokens)

        self.source_files[key] = file
        process_requirements = requirements.combined_with(document, locate)
        if isinstance(document, cwl.CommandLineTool):
            self.processes[key] = self._convert_tool(document, process_requirements, locate, file)
        elif isinstance(document, cwl.ExpressionTool):
            self.processes[key] = flow_messages.Expression(
                [self._convert_param(p, locate, file) for p in document.inputs],
                [
                    flow_messages.Output(short_name(o.id), convert_type(o.type_, locate(short_name(o.id))))
                    for o in document.outputs
                ],
                document.expression,
                process_requirements.javascript,
                process_requirements.library,
            )
        else:
            self.processes[key] = self._convert_workflow(document, key, process_requirements, locate, file)

    def _convert_param(self, param: Any, locate: Any, file: str) -> flow_messages.Param:
        name = short_name(param.id)
        source_line = locate("inputs", name)
        reject_features(param, (*UNSUPPORTED_FIELDS, "loadListing"), locate, "inputs", name)
        param_type = "File" if param.type_ == "stdin" else param.type_
        items, fields = convert_inner_bindings(param_type, source_line)
        input_binding = getattr(param, "inputBinding", None)
        load_contents = bool(getattr(param, "loadContents", None) or getattr(input_binding, "loadContents", None))
        default = (
            None if param.default is None else self._resolver.resolve(to_plain_data(param.default), file, source_line)
        )
        binding = convert_binding(input_binding, source_line)
        return flow_messages.Param(
            name, convert_type(param_type, source_line), default, binding, items, fields, load_contents
        )

    # -- tools ---------------------------------------------------------------------------------

    def _convert_tool(self, tool: Any, requirements: Requirements, locate: Any, file: str) -> flow_messages.Tool:
        reject_features(tool, ("temporaryFailCodes", "permanentFailCodes"), locate)
        hints, gpus = winglift_hints(tool, locate)
        stdin = tool.stdin
        for param in tool.inputs:
            if param.type_ == "stdin":
                stdin = f"$(inputs.{short_name(param.id)}.path)"
        streams = {"stdout": tool.stdout, "stderr": tool.stderr}
        outputs = []
        for out in tool.outputs:
            name = short_name(out.id)
            source_line = locate("outputs", name)
            reject_features(out, UNSUPPORTED_FIELDS, locate, "outputs", name)
            if isinstance(out.type_, str) and out.type_ in streams:
                streams[out.type_] = streams[out.type_] or f"{name}.{out.type_}"
                outputs.append(flow_messages.Output(name, "File", [streams[out.type_]]))
                continue
            output_binding = out.outputBinding
            globs = [] if output_binding is None or output_binding.glob is None else output_binding.glob
            reject_features(output_binding, ("loadListing",), locate, "outputs", name)
            outputs.append(
                flow_messages.Output(
                    name,
                    convert_type(out.type_, source_line),
                    [globs] if isinstance(globs, str) else list(globs),
                    bool(output_binding is not None and output_binding.loadContents),
                    None if output_binding is None else output_binding.outputEval,
                )
            )
        base_command = tool.baseCommand or []
        arguments = [
            flow_messages.Binding(value_from=a) if isinstance(a, str) else convert_binding(a, locate("arguments"))
            for a in tool.arguments or []
        ]
        return flow_messages.Tool(
            inputs=[self._convert_param(p, locate, file) for p in tool.inputs],
            outputs=outputs,
            base=[base_command] if isinstance(base_command, str) else list(base_command),
            arguments=[a for a in arguments if a is not None],
            stdin=stdin,
            stdout=streams["stdout"],
            stderr=streams["stderr"],
            success=list(tool.successCodes or [0]),
            env=environment_variables(requirements),
            staged=initial_work_dir(requirements, locate),
            gpus=gpus if gpus is not None else 0.0,
            time_s=time_limit(requirements),
            image=container_image(requirements, locate),
            javascript=requirements.javascript,
            library=requirements.library,
            hints=hints,
            **requested_resources(requirements, locate),
        )

    # -- workflows -----------------------------------------------------------------------------

    def _convert_workflow(
        self, flow: Any, key: str, requirements: Requirements, locate: Any, file: str
    ) -> flow_messages.Workflow:
        hints, _ = winglift_hints(flow, locate)
        steps = []
        for step in flow.steps:
            steps.append(self._convert_step(flow, step, key, requirements, locate, file))
        known_sources = {short_name(p.id) for p in flow.inputs} | {f"{s.name}/{o}" for s in steps for o in s.outputs}
        outputs = []
        for out in flow.outputs:
            name = short_name(out.id)
            reject_features(out, UNSUPPORTED_FIELDS, locate, "outputs", name)
            source = source_names(out.outputSource, flow.id)
            outputs.append(
                flow_messages.FlowOutput(
                    name,
                    convert_type(out.type_, locate("outputs", name)),
                    source,
                    isinstance(out.outputSource, list),
                    out.linkMerge or "merge_nested",
                    out.pickValue,
                )
            )
            check_links(source, known_sources, locate("outputs", name), name)
        for step in steps:
            for sink in step.inputs:
                check_links(
                    sink.source, known_sources, locate("steps", step.name, sink.name), f"{step.name}/{sink.name}"
                )
        return flow_messages.Workflow(
            [self._convert_param(p, locate, file) for p in flow.inputs],
            outputs,
            steps,
            requirements.javascript or key in self._workflows_with_javascript,
            requirements.library,
            hints,
        )

    def _convert_step(
        self, flow: Any, step: Any, key: str, requirements: Requirements, locate: Any, file: str
    ) -> flow_messages.Step:
        name = short_name(step.id)

        def locate_in_step(*tokens: str) -> str:
            return locate("steps", name, *tokens)

        step_requirements = requirements.combined_with(step, locate_in_step)
        hints, _ = winglift_hints(step, locate_in_step)
        if step_requirements.javascript:
            self._workflows_with_javascript.add(key)
        process_key = f"{key}/{name}"
        if isinstance(step.run, str):
            try:
                step.run = load_document_by_uri(step.run, load_all=False)
            except SchemaSaladException as err:
                raise CwlError(validation_message(err, unquote(urlparse(step.run).path))) from None
        self.convert_process(step.run, process_key, step_requirements.inherited_by_process(), file)
        inputs = []
        for sink in step.in_:
            reject_features(sink, ("loadListing",), locate_in_step)
            default = (
                None
                if sink.default is None
                else self._resolver.resolve(to_plain_data(sink.default), file, locate_in_step())
            )
            inputs.append(
                flow_messages.StepInput(
                    short_name(sink.id),
                    source_names(sink.source, flow.id),
                    isinstance(sink.source, list),
                    sink.linkMerge or "merge_nested",
                    sink.pickValue,
                    default,
                    sink.valueFrom,
                    bool(sink.loadContents),
                )
            )
        scatter = [step.scatter] if isinstance(step.scatter, str) else step.scatter or []
        scattered = [short_name(s) for s in scatter]
        input_names = {s.name for s in inputs}
        for param in self.processes[process_key].inputs:
            if param.name not in input_names and param.default is None and not is_optional(param.type):
                raise CwlError(f"{locate_in_step()}: {name} gives no value for {param.name}")
        for input_name in scattered:
            if input_name not in input_names:
                raise CwlError(f"{locate_in_step('scatter')}: scatter over {input_name}, which is no input of the step")
        output_names = {o.name for o in self.processes[process_key].outputs}
        outs = [short_name(o if isinstance(o, str) else o.id) for o in step.out]
        for out in outs:
            if out not in output_names:
                raise CwlError(f"{locate_in_step('out', out)}: {name} has no output {out}")
        return flow_messages.Step(
            name, process_key, inputs, outs, scattered, step.scatterMethod or "dotproduct", step.when, hints
        )


def is_optional(param_type: Any) -> bool:
    """Whether a parameter of this type may be left out."""
    return param_type in ("null", "Any") or (isinstance(param_type, list) and "null" in param_type)


def source_names(source: Any, flow_id: str) -> list[str]:
    """The names that plans have for sources: "input" or "step/output"."""
    source_ids = [source] if isinstance(source, str) else source or []
    names = []
    for source_id in source_ids:
        path = (
            source_id.removeprefix(flow_id).lstrip("#/")
            if source_id.startswith(flow_id)
            else source_id.rpartition("#")[2]
        )
        names.append("/".join(path.split("/")[-2:]))
    return names


def check_links(sources: list[str], known_sources: set[str], source_line: str, sink: str) -> None:
    """Raises CwlError if a source is neither an input of the workflow nor an output of one of its steps."""
    for source in sources:
        if source not in known_sources:
            step = source.partition("/")[0]
            reason = (
                f"no output {source}"
                if any(k.startswith(f"{step}/") for k in known_sources)
                else f"no step or input {step}"
            )
            raise CwlError(f"{source_line}: {sink} takes {source}: {reason}")
