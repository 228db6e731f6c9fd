cwlVersion: v1.2
class: Workflow
inputs: {}
outputs: {}
steps:
  a:
    in: {x: b/out}
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
