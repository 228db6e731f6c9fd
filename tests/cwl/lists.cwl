cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
inputs:
  joined: {type: "int[]", inputBinding: {position: 1, prefix: -j, itemSeparator: ","}}
  each:
    type: {type: array, items: string, inputBinding: {prefix: -x}}
    inputBinding: {position: 2}
  flat: {type: "string[]", inputBinding: {position: 3, prefix: -f}}
  none: {type: "string[]", inputBinding: {position: 4, prefix: -n}}
stdout: words.txt
outputs:
  line: {type: string, outputBinding: {glob: words.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
