cwlVersion: v1.0
class: CommandLineTool
baseCommand: echo
inputs: {}
outputs: {}
