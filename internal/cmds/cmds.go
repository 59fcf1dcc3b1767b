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

// command implements subcommands.Command.
type command struct {
	name    string
	short   string
	usage   string
	example string
	flags   func(*flag.FlagSet)
	run     func(ctx context.Context, args []string, out io.Writer) error
	out     io.Writer
}

// Register adds all subcommands to the commander.
func Register(commander *subcommands.Commander, out io.Writer) {
	commander.Register(commander.HelpCommand(), "help")
	commander.Register(commander.FlagsCommand(), "help")
	register := func(group string, c command) {
		c.out = out
		commander.Register(&c, group)
	}
	register("try", command{
		name:    "demo",
		short:   "run a whole deployment in one process for some seconds",
		usage:   "demo",
		example: "demo",
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			ok, err := demo.Run(ctx, out)
			if err == nil && !ok {
				err = errViolated
			}
			return err
		},
	})
	register("run", entryCommand())
	register("run", controlCommand())
	register("run", upstreamCommand())
	register("try", loadCommand())
	register("try", settingsCommand())
	register("operate", questionnaireCommand())
	register("operate", configCommand())
	register("operate", statusCommand())
	register("operate", timelineCommand())
}

// warn prints an error that does not end a subcommand, if there is one.
func warn(name string, err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "lovagelink %s: %v\n", name, err)
	}
}

var errViolated = fmt.Errorf("a guarantee was violated; see the verdict")

// Name returns the name of the subcommand.
func (c *command) Name() string { return c.name }

// Synopsis returns one line of help.
func (c *command) Synopsis() string { return c.short }

// Usage returns the full help.
func (c *command) Usage() string {
	return fmt.Sprintf("lovagelink %s\n  %s\n  example: lovagelink %s\n", c.usage, c.short, c.example)
}

// SetFlags registers the flags of the subcommand.
func (c *command) SetFlags(flags *flag.FlagSet) {
	if c.flags != nil {
		c.flags(flags)
	}
}

// Execute runs the subcommand and cancels its context on SIGINT or SIGTERM.
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
