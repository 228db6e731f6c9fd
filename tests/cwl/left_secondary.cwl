cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
inputs:
  a: File
  b: {type: File, secondaryFiles: [.idx]}
outputs: {}
