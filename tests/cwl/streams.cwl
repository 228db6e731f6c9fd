cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, "cat; echo trouble >&2"]
inputs: {text: stdin}
outputs: {good: stdout, bad: stderr}
