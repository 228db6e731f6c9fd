cwlVersion: v1.2
class: Workflow
requirements: {ScatterFeatureRequirement: {}}
inputs: {xs: "string[]", ys: "string[]"}
outputs: {all: {type: "string[]", outputSource: a/out}}
steps:
  a:
    scatter: [x, y]
    scatterMethod: dotproduct
    in: {x: xs, y: ys}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {position: 1}}, y: {type: string, inputBinding: {position: 2}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
