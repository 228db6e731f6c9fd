"""A parsed document as a plan."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote, urlparse

from cwl_utils.parser import cwl_v1_2 as cwl
from cwl_utils.parser import load_document_by_uri
from schema_salad.exceptions import SchemaSaladException

from ..wire import flows as flow_messages
from .errors import CwlError, Place, Unsupported, said
from .needs import Needs, image, initial, own_hints, resources, time_limit, variables
from .order import Resolver
from .types import LEFT, binding, inner_bindings, is_cwl, kind, plain, refuse, short


class Converter:
    def __init__(self, file: str, place: Place, resolver: Resolver) -> None:
        self.processes: dict[str, flow_messages.Process] = {}
        self.sources: dict[str, str] = {}  # process: the file in which it stands
        self._scripts: set[str] = set()  # workflows of which a step asks for JavaScript
        self._place = place
        self._resolver = resolver
        self._main = file

    def plan(self, document: Any) -> flow_messages.Plan:
        """The whole; a lone tool becomes a workflow of one step."""
        self.process(document, "main", Needs(), self._main)
        main = self.processes["main"]
        if not isinstance(main, flow_messages.Workflow):
            self.processes = {"tool": main}
            self.sources["tool"] = self.sources.pop("main")
            names = [p.name for p in main.inputs]
            self.processes["main"] = flow_messages.Workflow(
                inputs=[flow_messages.Param(p.name, p.type, p.default) for p in main.inputs],
                outputs=[flow_messages.FlowOutput(o.name, o.type, [f"run/{o.name}"]) for o in main.outputs],
                steps=[
                    flow_messages.Step(
                        "run", "tool", [flow_messages.StepInput(n, [n]) for n in names], [o.name for o in main.outputs]
                    )
                ],
            )
            self.sources["main"] = self._main
        return flow_messages.Plan("main", self.processes)

    def process(self, document: Any, key: str, needs: Needs, file: str) -> None:
        if not is_cwl(document):
            raise Unsupported(f"{self._place.at(file, 'class')}: class {getattr(document, 'class_', document)}")
        if document.id and document.id.startswith("file://"):
            file = unquote(urlparse(document.id).path)

        def place(*tokens: str) -> str:
            return self._place.at(file, *tokens)

        self.sources[key] = file
        inside = needs.under(document, place)
        if isinstance(document, cwl.CommandLineTool):
            self.processes[key] = self._tool(document, inside, place, file)
        elif isinstance(document, cwl.ExpressionTool):
            self.processes[key] = flow_messages.Expression(
                [self._param(p, place, file) for p in document.inputs],
                [flow_messages.Output(short(o.id), kind(o.type_, place(short(o.id)))) for o in document.outputs],
                document.expression,
                inside.javascript,
                inside.library,
            )
        else:
            self.processes[key] = self._workflow(document, key, inside, place, file)

    def _param(self, param: Any, place: Any, file: str) -> flow_messages.Param:
        name = short(param.id)
        where = place("inputs", name)
        refuse(param, (*LEFT, "loadListing"), place, "inputs", name)
        found = "File" if param.type_ == "stdin" else param.type_
        items, fields = inner_bindings(found, where)
        shown = getattr(param, "inputBinding", None)
        load = bool(getattr(param, "loadContents", None) or getattr(shown, "loadContents", None))
        default = None if param.default is None else self._resolver.value(plain(param.default), file, where)
        made = binding(shown, where)
        return flow_messages.Param(name, kind(found, where), default, made, items, fields, load)

    # -- tools ---------------------------------------------------------------------------------

    def _tool(self, tool: Any, needs: Needs, place: Any, file: str) -> flow_messages.Tool:
        refuse(tool, ("temporaryFailCodes", "permanentFailCodes"), place)
        hints, gpus = own_hints(tool, place)
        stdin = tool.stdin
        for param in tool.inputs:
            if param.type_ == "stdin":
                stdin = f"$(inputs.{short(param.id)}.path)"
        streams = {"stdout": tool.stdout, "stderr": tool.stderr}
        outputs = []
        for out in tool.outputs:
            name = short(out.id)
            where = place("outputs", name)
            refuse(out, LEFT, place, "outputs", name)
            if isinstance(out.type_, str) and out.type_ in streams:
                streams[out.type_] = streams[out.type_] or f"{name}.{out.type_}"
                outputs.append(flow_messages.Output(name, "File", [streams[out.type_]]))
                continue
            shown = out.outputBinding
            globs = [] if shown is None or shown.glob is None else shown.glob
            refuse(shown, ("loadListing",), place, "outputs", name)
            outputs.append(
                flow_messages.Output(
                    name,
                    kind(out.type_, where),
                    [globs] if isinstance(globs, str) else list(globs),
                    bool(shown is not None and shown.loadContents),
                    None if shown is None else shown.outputEval,
                )
            )
        base = tool.baseCommand or []
        arguments = [
            flow_messages.Binding(value_from=a) if isinstance(a, str) else binding(a, place("arguments"))
            for a in tool.arguments or []
        ]
        return flow_messages.Tool(
            inputs=[self._param(p, place, file) for p in tool.inputs],
            outputs=outputs,
            base=[base] if isinstance(base, str) else list(base),
            arguments=[a for a in arguments if a is not None],
            stdin=stdin,
            stdout=streams["stdout"],
            stderr=streams["stderr"],
            success=list(tool.successCodes or [0]),
            env=variables(needs),
            staged=initial(needs, place),
            gpus=gpus if gpus is not None else 0.0,
            time_s=time_limit(needs),
            image=image(needs, place),
            javascript=needs.javascript,
            library=needs.library,
            hints=hints,
            **resources(needs, place),
        )

    # -- workflows -----------------------------------------------------------------------------

    def _workflow(self, flow: Any, key: str, needs: Needs, place: Any, file: str) -> flow_messages.Workflow:
        hints, _ = own_hints(flow, place)
        steps = []
        for step in flow.steps:
            steps.append(self._step(flow, step, key, needs, place, file))
        known = {short(p.id) for p in flow.inputs} | {f"{s.name}/{o}" for s in steps for o in s.outputs}
        outputs = []
        for out in flow.outputs:
            name = short(out.id)
            refuse(out, LEFT, place, "outputs", name)
            source = links(out.outputSource, flow.id)
            outputs.append(
                flow_messages.FlowOutput(
                    name,
                    kind(out.type_, place("outputs", name)),
                    source,
                    isinstance(out.outputSource, list),
                    out.linkMerge or "merge_nested",
                    out.pickValue,
                )
            )
            check_links(source, known, place("outputs", name), name)
        for step in steps:
            for sink in step.inputs:
                check_links(sink.source, known, place("steps", step.name, sink.name), f"{step.name}/{sink.name}")
        return flow_messages.Workflow(
            [self._param(p, place, file) for p in flow.inputs],
            outputs,
            steps,
            needs.javascript or key in self._scripts,
            needs.library,
            hints,
        )

    def _step(self, flow: Any, step: Any, key: str, needs: Needs, place: Any, file: str) -> flow_messages.Step:
        name = short(step.id)

        def here(*tokens: str) -> str:
            return place("steps", name, *tokens)

        inside = needs.under(step, here)
        hints, _ = own_hints(step, here)
        if inside.javascript:
            self._scripts.add(key)
        target = f"{key}/{name}"
        if isinstance(step.run, str):
            try:
                step.run = load_document_by_uri(step.run, load_all=False)
            except SchemaSaladException as err:
                raise CwlError(said(err, unquote(urlparse(step.run).path))) from None
        self.process(step.run, target, inside.step(), file)
        inputs = []
        for sink in step.in_:
            refuse(sink, ("loadListing",), here)
            default = None if sink.default is None else self._resolver.value(plain(sink.default), file, here())
            inputs.append(
                flow_messages.StepInput(
                    short(sink.id),
                    links(sink.source, flow.id),
                    isinstance(sink.source, list),
                    sink.linkMerge or "merge_nested",
                    sink.pickValue,
                    default,
                    sink.valueFrom,
                    bool(sink.loadContents),
                )
            )
        over = [step.scatter] if isinstance(step.scatter, str) else step.scatter or []
        scattered = [short(s) for s in over]
        taken = {s.name for s in inputs}
        for param in self.processes[target].inputs:
            if param.name not in taken and param.default is None and not optional(param.type):
                raise CwlError(f"{here()}: {name} gives no value for {param.name}")
        for one in scattered:
            if one not in taken:
                raise CwlError(f"{here('scatter')}: scatter over {one}, which is no input of the step")
        produced = {o.name for o in self.processes[target].outputs}
        outs = [short(o if isinstance(o, str) else o.id) for o in step.out]
        for out in outs:
            if out not in produced:
                raise CwlError(f"{here('out', out)}: {name} has no output {out}")
        return flow_messages.Step(
            name, target, inputs, outs, scattered, step.scatterMethod or "dotproduct", step.when, hints
        )


def optional(found: Any) -> bool:
    return found in ("null", "Any") or (isinstance(found, list) and "null" in found)


def links(source: Any, flow_id: str) -> list[str]:
    """Sources as plans name them: an input, or step/output."""
    found = [source] if isinstance(source, str) else source or []
    made = []
    for one in found:
        rest = one.removeprefix(flow_id).lstrip("#/") if one.startswith(flow_id) else one.rpartition("#")[2]
        made.append("/".join(rest.split("/")[-2:]))
    return made


def check_links(sources: list[str], known: set[str], where: str, sink: str) -> None:
    for source in sources:
        if source not in known:
            step = source.partition("/")[0]
            what = f"no output {source}" if any(k.startswith(f"{step}/") for k in known) else f"no step or input {step}"
            raise CwlError(f"{where}: {sink} takes {source}: {what}")
