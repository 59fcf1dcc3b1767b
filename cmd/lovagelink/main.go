// Command lovagelink routes requests to servers that own keys exclusively.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"lovagelink.example/lovagelink/internal/cmds"
)

func main() {
	cmds.Register(subcommands.DefaultCommander, os.Stdout)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
