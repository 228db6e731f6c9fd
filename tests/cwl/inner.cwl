cwlVersion: v1.2
class: Workflow
inputs: {x: string, y: {type: string, default: "?"}}
outputs: {out: {type: string, outputSource: b/out}}
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
    in: {x: a/out, y: y}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {position: 1}}, y: {type: string, inputBinding: {position: 2}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
