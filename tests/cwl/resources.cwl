cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
requirements:
  InlineJavascriptRequirement: {}
  ResourceRequirement: {coresMin: $(inputs.cores), ramMin: $(256 * inputs.cores)}
arguments: [$(runtime.cores), $(runtime.ram)]
inputs: {cores: int}
stdout: out.txt
outputs:
  line: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
