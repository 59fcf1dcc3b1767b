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

const (
	inForceTimeout      = 10 * time.Second
	inForcePollInterval = 100 * time.Millisecond
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
			flags.StringVar(&at, "at", defaultOperatorAddress, atUsage)
			flags.Uint64Var(&expected, "expected", 0, "accepted version on which the change is based")
			flags.StringVar(&id, "request-id", "", "id of the change; repeat it to resend the change")
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
			return usageError{"expected show, check FILE, diff FILE or accept FILE"}
		},
	}
}

func showConfig(ctx context.Context, address string, out io.Writer) error {
	var accepted entry.AcceptedConfig
	if err := call(ctx, http.MethodGet, address, "/config", nil, &accepted); err != nil {
		return err
	}
	fmt.Fprintf(out, "# version %d\n%s", accepted.Version, accepted.Body)
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

// acceptConfig has a configuration file accepted and waits until the configuration is in force on every reachable host.
func acceptConfig(ctx context.Context, address, id string, expected uint64, path string, out io.Writer) error {
	body, err := readConfig(path)
	if err != nil {
		return err
	}
	if id == "" {
		id = newRequestID()
	}
	var accepted state.AcceptResult
	args := state.AcceptConfig{RequestID: id, ExpectedVersion: expected, ConfigText: body}
	if err := call(ctx, http.MethodPost, address, "/config", args, &accepted); err != nil {
		return fmt.Errorf("%w (request-id %s)", err, id)
	}
	fmt.Fprintf(out, "version %d is accepted\n", accepted.ConfigVersion)
	return awaitInForce(ctx, address, accepted.Index, out)
}

// awaitInForce waits until the configuration with a log index is in force on every reachable host, and prints the
// unreachable hosts. The error names the hosts that lag after inForceTimeout.
func awaitInForce(ctx context.Context, address string, index uint64, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	var lagging []string
	var err error
	for ctx.Err() == nil {
		var progress entry.Progress
		if err = call(ctx, http.MethodGet, address, "/progress", nil, &progress); err == nil {
			lagging = progress.Lagging(index)
			if len(lagging) == 0 {
				fmt.Fprintf(out, "in force on %d hosts\n", len(progress.Hosts)-len(progress.Unreachable))
				printUnreachable(out, progress.Unreachable)
				return nil
			}
		}
		pause.For(ctx, inForcePollInterval)
	}
	if err != nil {
		return fmt.Errorf("the configuration is accepted, but its progress on the hosts is unknown: %w", err)
	}
	return fmt.Errorf("the configuration is accepted, but not yet in force on %s", strings.Join(lagging, ", "))
}

func printUnreachable(out io.Writer, hosts []string) {
	if len(hosts) > 0 {
		fmt.Fprintf(out, "not reachable: %s; each host applies the configuration when it is back\n", strings.Join(hosts, ", "))
	}
}

// diffConfig prints the changes from the accepted configuration to a file, as sentences and as a unified diff.
func diffConfig(ctx context.Context, address, path string, out io.Writer) error {
	body, err := readConfig(path)
	if err != nil {
		return err
	}
	var accepted entry.AcceptedConfig
	if err := call(ctx, http.MethodGet, address, "/config", nil, &accepted); err != nil {
		return err
	}
	return printDiff(out, accepted, path, body)
}

func printDiff(out io.Writer, accepted entry.AcceptedConfig, path, body string) error {
	before, err := parseAccepted(accepted)
	if err != nil {
		return err
	}
	after, err := conf.ParseConfig([]byte(body))
	if err != nil {
		return err
	}
	changes := conf.Changes(before, after)
	if len(changes) == 0 {
		fmt.Fprintf(out, "%s changes nothing of version %d\n", path, accepted.Version)
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
	return difflib.WriteUnifiedDiff(out, difflib.UnifiedDiff{
		A: difflib.SplitLines(accepted.Body), FromFile: fmt.Sprint("version ", accepted.Version),
		B: difflib.SplitLines(body), ToFile: path, Context: 2,
	})
}

// parseAccepted parses the accepted configuration; it returns an empty one if none has been accepted yet.
func parseAccepted(accepted entry.AcceptedConfig) (conf.Config, error) {
	if accepted.Version == 0 {
		return conf.Config{}, nil
	}
	return conf.ParseConfig([]byte(accepted.Body))
}

func newRequestID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
