// Package examples embeds the configurations of the two users.
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
