cwlVersion: v1.2
class: Workflow
requirements: {SubworkflowFeatureRequirement: {}}
inputs: {x: string}
outputs: {out: {type: string, outputSource: deep/out}}
steps:
  deep:
    run: inner.cwl
    in: {x: x, y: {default: "!"}}
    out: [out]
