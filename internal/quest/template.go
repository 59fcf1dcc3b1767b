package quest

import _ "embed"

// Template is a questionnaire that explains each question in comments, with sample answers for a deployment on one
// machine.
//
//go:embed template.yaml
var Template string
