package cmds

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"lovagelink.example/lovagelink/internal/demo"
)

// command is one subcommand.
type command struct {
	name    string
	short   string
	usage   string
	example string
	flags   func(*flag.FlagSet)
	run     func(ctx context.Context, args []string, out io.Writer) error
	out     io.Writer
}

// Register adds all subcommands.
func Register(commander *subcommands.Commander, out io.Writer) {
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	add := func(group string, c command) {
		c.out = out
		commander.Register(&c, group)
	}
	add("try", command{
		name:    "demo",
		short:   "run a whole deployment in one process for some seconds",
		usage:   "demo",
		example: "demo",
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			kept, err := demo.Run(ctx, out)
			if err == nil && !kept {
				err = errBroken
			}
			return err
		},
	})
	add("run", entryCommand())
	add("run", controlCommand())
	add("run", upstreamCommand())
	add("try", loadCommand())
	add("try", settingsCommand())
	add("operate", questionnaireCommand())
	add("operate", configCommand())
	add("operate", statusCommand())
	add("operate", timelineCommand())
}

// warn tells of an error that does not end a subcommand.
func warn(name string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovagelink %s: %v\n", name, err)
	}
}

var errBroken = fmt.Errorf("a promise was broken; see the verdict")

// Name returns the name of the subcommand.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.short }

// Usage returns the full help.
func (c *command) Usage() string {
	return fmt.Sprintf("lovagelink %s\n  %s\n  example: lovagelink %s\n", c.usage, c.short, c.example)
}

// SetFlags adds the flags.
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.flags != nil {
		c.flags(flags)
	}
}

// Execute runs the subcommand until it ends or a signal asks it to.
func (c *command) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := c.run(ctx, flags.Args(), c.out)
	switch {
	case err == nil:
		return subcommands.ExitSuccess
	case isUsage(err):
		fmt.Fprintf(os.Stderr, "lovagelink %s: %v\n", c.name, err)
		return subcommands.ExitUsageError
	}
	fmt.Fprintf(os.Stderr, "lovagelink %s: %v\n", c.name, err)
	return subcommands.ExitFailure
}
