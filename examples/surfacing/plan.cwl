cwlVersion: v1.2
class: Workflow
doc: Surfacing plans for the lenses of one order, and a sheet that sums them up.
$namespaces:
  winglift: "https://winglift.example/cwl#"
requirements:
  ScatterFeatureRequirement: {}
  InlineJavascriptRequirement: {}
hints:
  winglift:Job:
    jobClass: surfacing
    deadlineS: 120
inputs:
  lenses: string[]
  blanks: File
outputs:
  sheet:
    type: File
    outputSource: sum_up/sheet
  count:
    type: int
    outputSource: count/lines
steps:
  surface:
    run: surface.cwl
    hints:
      winglift:Job: {runS: 2}
    scatter: lens
    in:
      lens: lenses
      blanks: blanks
    out: [plan]
  sum_up:
    hints:
      winglift:Job: {runS: 1}
    run:
      class: CommandLineTool
      baseCommand: [cat]
      inputs:
        plans:
          type: File[]
          inputBinding: {position: 1}
      stdout: sheet.txt
      outputs:
        sheet: stdout
    in:
      plans: surface/plan
    out: [sheet]
  count:
    run:
      class: ExpressionTool
      requirements:
        InlineJavascriptRequirement: {}
      inputs:
        sheet:
          type: File
          loadContents: true
      outputs:
        lines: int
      expression: |
        ${ return {"lines": inputs.sheet.contents.trim().split("\n").length}; }
    in:
      sheet: sum_up/sheet
    out: [lines]
