cwlVersion: v1.2
class: CommandLineTool
$schemas: ["https://elsewhere.example/ontology.owl"]
baseCommand: echo
inputs: {}
outputs: {}
