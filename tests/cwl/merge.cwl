cwlVersion: v1.2
class: Workflow
requirements: {MultipleInputFeatureRequirement: {}}
inputs: {a: "string[]", b: string}
outputs:
  flat: {type: "string[]", outputSource: [a, b], linkMerge: merge_flattened}
  list: {type: "string[]", outputSource: [b], linkMerge: merge_nested}
steps: {}
