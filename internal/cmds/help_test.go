package cmds

import (
	"bytes"
	"flag"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"github.com/matryer/is"
)

// The help lists each subcommand, and the flags of each subcommand parse its example.
func TestHelpHasExamples(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	commander := subcommands.NewCommander(flag.NewFlagSet("lovagelink", flag.ContinueOnError), "lovagelink")
	commander.Output = &out
	Register(commander, &out)
	commander.VisitCommands(func(_ *subcommands.CommandGroup, registered subcommands.Command) {
		c, ok := registered.(*command)
		if !ok {
			return // the help command of the library
		}
		words := strings.Fields(c.example)
		if len(words) == 0 || words[0] != c.name {
			t.Fatalf("%s has no example", c.name)
		}
		flags := flag.NewFlagSet(c.name, flag.ContinueOnError)
		flags.SetOutput(&out)
		c.SetFlags(flags)
		is.NoErr(flags.Parse(words[1:]))
	})
	commander.Explain(&out)
	for _, name := range []string{"entry", "control", "status", "timeline", "config", "questionnaire", "load", "demo"} {
		is.True(strings.Contains(out.String(), name))
	}
}
