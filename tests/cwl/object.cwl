cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, "echo hello > x.txt; echo '{\"n\": 4, \"file\": {\"class\": \"File\", \"path\": \"x.txt\"}}' > cwl.output.json"]
inputs: {}
outputs: {n: int, file: File}
