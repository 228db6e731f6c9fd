cwlVersion: v1.2
class: CommandLineTool
baseCommand: ls
inputs: {folder: {type: Directory, inputBinding: {position: 1}}}
stdout: names.txt
outputs:
  names: {type: string, outputBinding: {glob: names.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
