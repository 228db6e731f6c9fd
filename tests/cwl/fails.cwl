cwlVersion: v1.2
class: Workflow
inputs: {x: string}
outputs: {out: {type: string, outputSource: d/out}}
steps:
  a:
    in: {x: x}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
  b:
    in: {x: a/out}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
  c:
    in: {x: b/out}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [sh, -c, "test -e /nowhere/$0 || { echo no blank for $0 >&2; exit 4; }"]
      inputs: {x: {type: string, inputBinding: {}}}
      outputs: {out: {type: string, outputBinding: {outputEval: $(inputs.x)}}}
  d:
    in: {x: c/out}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
