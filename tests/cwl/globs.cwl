cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, "echo 1 > a.txt; echo 2 > b.txt; mkdir -p d; echo 3 > d/c.dat"]
inputs: {}
outputs:
  texts: {type: "File[]", outputBinding: {glob: "*.txt"}}
  folder: {type: Directory, outputBinding: {glob: d}}
  none: {type: "File?", outputBinding: {glob: "*.pdf"}}
  several: {type: "File[]", outputBinding: {glob: ["b.*", "d/*"]}}
