cwlVersion: v1.2
class: CommandLineTool
doc: The blank for a lens, from a table of blanks.
baseCommand: [grep, -m, "1"]
requirements:
  ResourceRequirement:
    coresMin: 1
    ramMin: 512
inputs:
  lens:
    type: string
    inputBinding: {position: 1}
  blanks:
    type: File
    inputBinding: {position: 2}
stdout: $(inputs.lens).txt
outputs:
  plan: stdout
