cwlVersion: v1.2
class: CommandLineTool
baseCommand: [sh, -c, "cat settings.ini; cat table.txt; basename $0"]
arguments: [$(inputs.table.path)]
requirements:
  InitialWorkDirRequirement:
    listing:
      - {entryname: settings.ini, entry: "lens = $(inputs.lens)\n"}
      - {entryname: table.txt, entry: $(inputs.table)}
inputs: {lens: string, table: File}
stdout: out.txt
outputs:
  text: {type: string, outputBinding: {glob: out.txt, loadContents: true, outputEval: "$(self[0].contents)"}}
