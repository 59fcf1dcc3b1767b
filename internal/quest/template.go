package quest

import _ "embed"

// Template is a questionnaire with comments on each question and answers that can be tried on one machine.
//
//go:embed template.yaml
var Template string
