cwlVersion: v1.2
class: Workflow
requirements: {SubworkflowFeatureRequirement: {}, ScatterFeatureRequirement: {}}
inputs: {xs: "string[]"}
outputs: {out: {type: "string[]", outputSource: deep/out}}
steps:
  deep:
    run: inner.cwl
    scatter: x
    in: {x: xs}
    out: [out]
