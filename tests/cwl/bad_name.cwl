cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
inputs: {lens: string}
arguments: [$(inputs.lense)]
outputs: {}
