// Package examples embeds the configurations of the two users, and the answers that lead to them.
package examples

import _ "embed"

// Gauteng is the configuration of the Hanging Office.
//
//go:embed gauteng.yaml
var Gauteng string

// Kingston is the configuration of the Window Services Authority.
//
//go:embed kingston.yaml
var Kingston string

// GautengAnswers are the answers of the Hanging Office.
//
//go:embed gauteng-questionnaire.yaml
var GautengAnswers string

// KingstonAnswers are the answers of the Window Services Authority.
//
//go:embed kingston-questionnaire.yaml
var KingstonAnswers string
