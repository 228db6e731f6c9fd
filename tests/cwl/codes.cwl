cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, "exit 3"]
successCodes: [0, 3]
requirements: {InlineJavascriptRequirement: {}}
inputs: {}
outputs: {code: {type: int, outputBinding: {outputEval: "$(runtime.exitCode)"}}}
