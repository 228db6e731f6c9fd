cwlVersion: v1.2
class: Workflow
requirements: {InlineJavascriptRequirement: {}, ScatterFeatureRequirement: {}}
inputs: {xs: "string[]"}
outputs:
  some: {type: "string[]", outputSource: a/out, pickValue: all_non_null}
steps:
  a:
    scatter: x
    when: $(inputs.x.length > 1)
    in: {x: xs}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
