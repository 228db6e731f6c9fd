cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
requirements: {InlineJavascriptRequirement: {}}
inputs: {}
arguments:
  - "${ while (true) {} }"
outputs: {}
