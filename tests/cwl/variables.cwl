cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, 'echo "$LENS in $HOME" | sed "s,/.*/,," ']
requirements: {EnvVarRequirement: {envDef: {LENS: "$(inputs.lens) lens"}}}
inputs: {lens: string}
stdout: out.txt
outputs:
  line: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
