cwlVersion: v1.2
class: CommandLineTool
baseCommand: [cp]
inputs: {file: {type: File, inputBinding: {position: 1}}}
arguments: [{position: 2, valueFrom: "$(inputs.file.nameroot)-copy$(inputs.file.nameext)"}]
outputs: {copy: {type: File, outputBinding: {glob: "$(inputs.file.nameroot)-copy*"}}}
