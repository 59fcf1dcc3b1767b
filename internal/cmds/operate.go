package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lovagelink.example/lovagelink/internal/demo"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// defaultOperatorAddress is the operators' address of the first host in the default output of the settings command.
const defaultOperatorAddress = "127.0.0.1:7002"

const atUsage = "operators' address of any host"

var operatorClient = &http.Client{Timeout: 8 * time.Second}

func parseAddresses(text string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return nil, fmt.Errorf("%q is not IP:PORT", part)
		}
		list = append(list, address)
	}
	return list, nil
}

// call sends a request to an operators' address and decodes the response into result.
func call(ctx context.Context, method, address, path string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return fmt.Errorf("no response from %s: %w; give the operators' address of a running host with --at", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var refusal verd.Error
		if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
			return fmt.Errorf("%s responded with status %d", address, response.StatusCode)
		}
		return &refusal
	}
	return json.NewDecoder(response.Body).Decode(result)
}

// getEach reads a path from each of several operators' addresses, separated by commas. It returns the responses and the
// joined errors of the addresses that failed.
func getEach[T any](ctx context.Context, addresses, path string) ([]T, error) {
	var responses []T
	var failures []error
	for _, address := range strings.Split(addresses, ",") {
		var response T
		if err := call(ctx, http.MethodGet, strings.TrimSpace(address), path, nil, &response); err != nil {
			failures = append(failures, err)
			continue
		}
		responses = append(responses, response)
	}
	return responses, errors.Join(failures...)
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func loadCommand() command {
	var workload, entries, ledgers, htmlPath string
	var settings load.Settings
	return command{
		name:    "load",
		short:   "send requests at a fixed rate and verify every response",
		usage:   "load --shape gauteng|kingston --entries IP:PORT,... [--ledgers IP:PORT,...] [--html FILE]",
		example: "load --shape gauteng --entries 127.0.0.1:7000 --ledgers 127.0.0.1:9001 --html load.html",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&workload, "shape", "gauteng", "workload to send, gauteng or kingston")
			flags.StringVar(&entries, "entries", "", "callers' addresses of entry hosts, separated by commas")
			flags.StringVar(&ledgers, "ledgers", "", "addresses of simulated upstreams whose ledgers are compared, separated by commas")
			flags.StringVar(&htmlPath, "html", "", "file for an HTML report with the outcomes of the requests of each second")
			flags.Float64Var(&settings.Rate, "rate", 200, "requests per second")
			flags.DurationVar(&settings.Period, "period", 10*time.Second, "duration of the load")
			flags.Uint64Var(&settings.Seed, "seed", uint64(time.Now().UnixNano()), "seed of keys and calls, part of request ids")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			var err error
			if settings.Workload, err = load.WorkloadByName(workload); err != nil {
				return usageError{err.Error()}
			}
			if settings.Entries, err = parseAddresses(entries); err != nil {
				return usageError{"--entries: " + err.Error()}
			}
			return runLoad(ctx, settings, ledgers, htmlPath, out)
		},
	}
}

func runLoad(ctx context.Context, settings load.Settings, ledgers, htmlPath string, out io.Writer) error {
	if settings.Rate <= 0 {
		return usageError{"--rate must be above 0"}
	}
	result := load.New(settings, peer.TCP{}).Run(ctx)
	demo.Print(out, result)
	if ledgers == "" {
		fmt.Fprintln(out, "no --ledgers given: requests that ran twice and keys with two owners were not checked")
		return writeReport(out, htmlPath, result, nil)
	}
	runs, err := readLedgers(ctx, ledgers)
	if err != nil {
		return err
	}
	verdict := result.Verify(runs)
	if err := writeReport(out, htmlPath, result, &verdict); err != nil {
		return err
	}
	if !demo.PrintVerification(out, verdict) {
		return errViolated
	}
	return nil
}

// writeReport writes the HTML report of a load run to htmlPath, unless htmlPath is empty.
func writeReport(out io.Writer, htmlPath string, result *load.Result, verdict *load.Verification) error {
	if htmlPath == "" {
		return nil
	}
	return writePage(out, htmlPath, fmt.Sprintf("%d requests", result.Sent()), func(file io.Writer) error {
		return result.WriteReport(file, verdict)
	})
}

// readLedgers returns the runs of all simulated upstreams at the addresses.
func readLedgers(ctx context.Context, ledgers string) ([]upsim.Run, error) {
	var runs []upsim.Run
	for _, address := range strings.Split(ledgers, ",") {
		var upstreamRuns []upsim.Run
		if err := call(ctx, http.MethodGet, address, "/lovagelink/ledger", nil, &upstreamRuns); err != nil {
			return nil, errors.Join(errors.New("read ledger of "+address), err)
		}
		runs = append(runs, upstreamRuns...)
	}
	return runs, nil
}
