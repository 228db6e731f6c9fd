cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sleep, "60"]
requirements: {ToolTimeLimit: {timelimit: 1}}
inputs: {}
outputs: {}
