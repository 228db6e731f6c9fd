cwlVersion: v1.2
class: ExpressionTool
requirements: {InlineJavascriptRequirement: {}}
inputs: {a: int, b: int}
outputs: {sum: int, all: "int[]"}
expression: "${ return {sum: inputs.a + inputs.b, all: [inputs.a, inputs.b]}; }"
