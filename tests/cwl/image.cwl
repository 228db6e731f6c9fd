cwlVersion: v1.2
class: CommandLineTool
baseCommand: "true"
$namespaces: {winglift: "https://winglift.example/cwl#"}
requirements: {DockerRequirement: {dockerPull: "optics/surface:3"}}
hints:
  winglift:Job: {team: team, jobClass: surfacing, priority: urgent, spot: true, gpus: 1, imageGb: 0.1, runS: 2}
  SoftwareRequirement: {packages: {sed: {}}}
inputs: {}
outputs: {}
