cwlVersion: v1.2
class: Workflow
requirements: {StepInputExpressionRequirement: {}, InlineJavascriptRequirement: {}}
inputs: {n: int, f: File}
outputs: {out: {type: string, outputSource: a/out}}
steps:
  a:
    in:
      n: n
      x: {source: n, valueFrom: "$(String(self + 1) + 'x')"}
      y: {source: f, loadContents: true, valueFrom: "$(self.contents.trim())"}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {position: 1}}, y: {type: string, inputBinding: {position: 2}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
