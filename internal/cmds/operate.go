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

// defaultOperator is the operators' address of the first host that the settings command writes.
const defaultOperator = "127.0.0.1:7002"

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

// ask calls an operators' address and decodes the answer.
func ask(ctx context.Context, method, address, path string, body, into any) error {
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
		return fmt.Errorf("no answer from %s: %w; name a running host's operators address with --at", address, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		var fault verd.Error
		if err := json.NewDecoder(response.Body).Decode(&fault); err != nil {
			return fmt.Errorf("%s answered with status %d", address, response.StatusCode)
		}
		return &fault
	}
	return json.NewDecoder(response.Body).Decode(into)
}

// askEach reads the same path from several operators' addresses, separated by commas; the error names
// those that do not answer.
func askEach[T any](ctx context.Context, addresses, path string) ([]T, error) {
	var answers []T
	var faults []error
	for _, address := range strings.Split(addresses, ",") {
		var answer T
		if err := ask(ctx, http.MethodGet, strings.TrimSpace(address), path, nil, &answer); err != nil {
			faults = append(faults, err)
			continue
		}
		answers = append(answers, answer)
	}
	return answers, errors.Join(faults...)
}

func sorted[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func loadCommand() command {
	var shape, entries, ledgers, page string
	var settings load.Settings
	return command{
		name:    "load",
		short:   "drive callers at a fixed rate and check every answer",
		usage:   "load --shape gauteng|kingston --entries IP:PORT,... [--ledgers IP:PORT,...] [--html FILE]",
		example: "load --shape gauteng --entries 127.0.0.1:7000 --ledgers 127.0.0.1:9001 --html load.html",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&shape, "shape", "gauteng", "whose work to send")
			flags.StringVar(&entries, "entries", "", "callers' addresses of entry hosts, separated by commas")
			flags.StringVar(&ledgers, "ledgers", "", "addresses of stand-in upstreams whose ledgers are compared")
			flags.StringVar(&page, "html", "", "file for a report with what became of the requests of each second")
			flags.Float64Var(&settings.Rate, "rate", 200, "requests a second")
			flags.DurationVar(&settings.Period, "period", 10*time.Second, "how long")
			flags.Uint64Var(&settings.Seed, "seed", uint64(time.Now().UnixNano()), "seed of keys and calls, part of request ids")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			var err error
			if settings.Workload, err = load.WorkloadByName(shape); err != nil {
				return usageError{err.Error()}
			}
			if settings.Entries, err = parseAddresses(entries); err != nil {
				return usageError{"--entries: " + err.Error()}
			}
			return runLoad(ctx, settings, ledgers, page, out)
		},
	}
}

func runLoad(ctx context.Context, settings load.Settings, ledgers, page string, out io.Writer) error {
	if settings.Rate <= 0 {
		return usageError{"--rate must be above 0"}
	}
	result := load.New(settings, peer.TCP{}).Run(ctx)
	demo.Print(out, result)
	if ledgers == "" {
		fmt.Fprintln(out, "no --ledgers were named, so doubles and owners were not checked")
		return writeReport(out, page, result, nil)
	}
	runs, err := readLedgers(ctx, ledgers)
	if err != nil {
		return err
	}
	verdict := result.Verify(runs)
	if err := writeReport(out, page, result, &verdict); err != nil {
		return err
	}
	if !demo.PrintVerification(out, verdict) {
		return errBroken
	}
	return nil
}

// writeReport writes the page of a load run if one is asked for.
func writeReport(out io.Writer, page string, result *load.Result, verdict *load.Verification) error {
	if page == "" {
		return nil
	}
	return writePage(out, page, fmt.Sprintf("%d requests", result.Sent()), func(file io.Writer) error {
		return result.WriteReport(file, verdict)
	})
}

// readLedgers collects what stand-in upstreams have run.
func readLedgers(ctx context.Context, ledgers string) ([]upsim.Run, error) {
	var runs []upsim.Run
	for _, address := range strings.Split(ledgers, ",") {
		var part []upsim.Run
		if err := ask(ctx, http.MethodGet, address, "/lovagelink/ledger", nil, &part); err != nil {
			return nil, errors.Join(errors.New("ledger of "+address), err)
		}
		runs = append(runs, part...)
	}
	return runs, nil
}
