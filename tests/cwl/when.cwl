cwlVersion: v1.2
class: Workflow
requirements: {InlineJavascriptRequirement: {}, MultipleInputFeatureRequirement: {}}
inputs: {n: int}
outputs:
  either: {type: string, outputSource: [small/out, large/out], pickValue: the_only_non_null}
  both: {type: "string[]", outputSource: [small/out, large/out], pickValue: all_non_null}
steps:
  small:
    when: $(inputs.n < 10)
    in: {n: n, x: {default: small}}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
  large:
    when: $(inputs.n >= 10)
    in: {n: n, x: {default: large}}
    out: [out]
    run:
      class: CommandLineTool
      baseCommand: [echo, -n]
      inputs: {x: {type: string, inputBinding: {}}}
      stdout: out.txt
      outputs:
        out: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
