package cmds

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/pmezard/go-difflib/difflib"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/entry"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/state"
)

// Periods of waiting for a configuration to be in force.
const (
	forcePatience = 10 * time.Second
	forcePause    = 100 * time.Millisecond
)

func configCommand() command {
	var at, id string
	var expected uint64
	return command{
		name:    "config",
		short:   "show the accepted configuration, check a file, compare it or accept it",
		usage:   "config [--at IP:PORT] [--expected VERSION] [--request-id ID] show | check FILE | diff FILE | accept FILE",
		example: "config accept examples/gauteng.yaml",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&at, "at", defaultOperator, atUsage)
			flags.Uint64Var(&expected, "expected", 0, "version that the change rests on")
			flags.StringVar(&id, "request-id", "", "id of the change; the same one to resend it")
		},
		run: func(ctx context.Context, args []string, out io.Writer) error {
			switch {
			case len(args) == 1 && args[0] == "show":
				return showConfig(ctx, at, out)
			case len(args) == 2 && args[0] == "check":
				_, err := readConfig(args[1])
				return err
			case len(args) == 2 && args[0] == "diff":
				return diffConfig(ctx, at, args[1], out)
			case len(args) == 2 && args[0] == "accept":
				return acceptConfig(ctx, at, id, expected, args[1], out)
			}
			return usageError{"say show, check FILE, diff FILE or accept FILE"}
		},
	}
}

func showConfig(ctx context.Context, at string, out io.Writer) error {
	var shown entry.AcceptedConfig
	if err := ask(ctx, http.MethodGet, at, "/config", nil, &shown); err != nil {
		return err
	}
	fmt.Fprintf(out, "# version %d\n%s", shown.Version, shown.Body)
	return nil
}

func readConfig(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if _, err := conf.ParseConfig(data); err != nil {
		return "", fmt.Errorf("%s: %w", path, err)
	}
	return string(data), nil
}

// acceptConfig accepts a file and waits until it is in force on every host that reports.
func acceptConfig(ctx context.Context, at, id string, expected uint64, path string, out io.Writer) error {
	body, err := readConfig(path)
	if err != nil {
		return err
	}
	if id == "" {
		id = newID()
	}
	var accepted state.AcceptResult
	args := state.AcceptConfig{RequestID: id, ExpectedVersion: expected, ConfigText: body}
	if err := ask(ctx, http.MethodPost, at, "/config", args, &accepted); err != nil {
		return fmt.Errorf("%w (request-id %s)", err, id)
	}
	fmt.Fprintf(out, "version %d is accepted\n", accepted.ConfigVersion)
	return awaitForce(ctx, at, accepted.Index, out)
}

// awaitForce waits until every host that can be reached has a configuration in force, and names the others.
func awaitForce(ctx context.Context, at string, index uint64, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, forcePatience)
	defer cancel()
	var behind []string
	var err error
	for ctx.Err() == nil {
		var progress entry.Progress
		if err = ask(ctx, http.MethodGet, at, "/progress", nil, &progress); err == nil {
			behind = progress.Lagging(index)
			if len(behind) == 0 {
				fmt.Fprintf(out, "in force on %d hosts\n", len(progress.Hosts)-len(progress.Unreachable))
				printUnreachable(out, progress.Unreachable)
				return nil
			}
		}
		pause.For(ctx, forcePause)
	}
	if err != nil {
		return fmt.Errorf("it is accepted, but how far it has come is not known: %w", err)
	}
	return fmt.Errorf("it is accepted, but not yet in force on %s", strings.Join(behind, ", "))
}

func printUnreachable(out io.Writer, hosts []string) {
	if len(hosts) > 0 {
		fmt.Fprintf(out, "not reachable: %s; each takes it up when it is back\n", strings.Join(hosts, ", "))
	}
}

// diffConfig shows what accepting a file would change, in words and as a diff.
func diffConfig(ctx context.Context, at, path string, out io.Writer) error {
	body, err := readConfig(path)
	if err != nil {
		return err
	}
	var shown entry.AcceptedConfig
	if err := ask(ctx, http.MethodGet, at, "/config", nil, &shown); err != nil {
		return err
	}
	return printDiff(out, shown, path, body)
}

func printDiff(out io.Writer, shown entry.AcceptedConfig, path, body string) error {
	before, err := parseShown(shown)
	if err != nil {
		return err
	}
	after, err := conf.ParseConfig([]byte(body))
	if err != nil {
		return err
	}
	changes := conf.Changes(before, after)
	if len(changes) == 0 {
		fmt.Fprintf(out, "%s changes nothing of version %d\n", path, shown.Version)
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	return difflib.WriteUnifiedDiff(out, difflib.UnifiedDiff{
		A: difflib.SplitLines(shown.Body), FromFile: fmt.Sprint("version ", shown.Version),
		B: difflib.SplitLines(body), ToFile: path, Context: 2,
	})
}

// parseShown reads the accepted configuration; before the first one there is none.
func parseShown(shown entry.AcceptedConfig) (conf.Config, error) {
	if shown.Version == 0 {
		return conf.Config{}, nil
	}
	return conf.ParseConfig([]byte(shown.Body))
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
