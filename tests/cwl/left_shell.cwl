cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
requirements:
  ShellCommandRequirement: {}
inputs: {}
outputs: {}
