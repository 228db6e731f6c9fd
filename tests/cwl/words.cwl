cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
arguments: [first, {position: 5, valueFrom: last}]
inputs:
  a: {type: int, inputBinding: {position: 2, prefix: -a}}
  b: {type: string, inputBinding: {position: 1, prefix: --b=, separate: false}}
  c: {type: boolean, inputBinding: {position: 3, prefix: -c}}
  d: {type: boolean, inputBinding: {position: 3, prefix: -d}}
  e: {type: "string?", inputBinding: {position: 4, prefix: -e}}
  f: {type: string, default: given, inputBinding: {position: 4}}
stdout: words.txt
outputs:
  line: {type: string, outputBinding: {glob: words.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
