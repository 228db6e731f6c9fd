cwlVersion: v1.2
class: Workflow
inputs: {}
outputs: {}
steps:
  a:
    run: https://elsewhere.example/tool.cwl
    in: {}
    out: []
