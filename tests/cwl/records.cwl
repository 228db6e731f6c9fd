cwlVersion: v1.2
class: CommandLineTool
baseCommand: echo
inputs:
  lens:
    type:
      type: record
      name: lens
      fields:
        power: {type: float, inputBinding: {position: 2, prefix: -p}}
        coat:
          type: {type: enum, symbols: [hard, soft]}
          inputBinding: {position: 1}
    inputBinding: {position: 1}
stdout: words.txt
outputs:
  line: {type: string, outputBinding: {glob: words.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
  lens:
    type: {type: record, name: out, fields: {power: float, coat: string}}
    outputBinding: {outputEval: $(inputs.lens)}
