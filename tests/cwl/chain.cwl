cwlVersion: v1.2
class: Workflow
inputs: {x: string}
outputs: {last: {type: string, outputSource: c/out}}
steps:
  c:
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
  a:
    in: {x: x}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}, y: {type: string, default: '!', inputBinding: {position: 2}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
