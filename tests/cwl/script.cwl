cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
requirements:
  InlineJavascriptRequirement:
    expressionLib: ["function twice(x) { return 2 * x; }"]
arguments: ["$(twice(inputs.n) + 1)", "${ return inputs.names.map(function(n) { return n.toUpperCase(); }); }", "n=$(inputs.n)!"]
inputs: {n: int, names: "string[]"}
stdout: out.txt
outputs:
  line: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
