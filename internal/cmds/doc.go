// Package cmds implements the subcommands of the lovagelink program.
package cmds
