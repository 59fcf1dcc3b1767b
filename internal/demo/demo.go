package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/fleet"
	"lovagelink.example/lovagelink/internal/load"
	"lovagelink.example/lovagelink/internal/peer"
)

const (
	demoRate        = 400 // requests per second
	demoPeriod      = 9 * time.Second
	startTimeout    = 15 * time.Second
	killAt          = 2 * time.Second
	drainAt         = 4 * time.Second
	stopAt          = 6 * time.Second
	lostUpstream    = "plan-03"
	drainedUpstream = "plan-07"
)

// Run starts a deployment, sends load while an upstream is lost, another drains and a host stops, prints the results,
// and reports whether no guarantee was violated.
func Run(ctx context.Context, out io.Writer) (bool, error) {
	folder, err := os.MkdirTemp("", "lovagelink-demo-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	f, err := fleet.Build(time.Now(), fleet.Plan{
		Zones: []string{"a", "b", "c"}, Hosts: 10, Groups: fleet.Gauteng(), Folder: folder, VerifiesGrants: true,
		NextAddress: fleet.Loopback(),
		Network:     func(string, string) peer.Network { return peer.TCP{} },
		Logger:      log.NewNopLogger(),
	})
	if err != nil {
		return false, err
	}
	defer f.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	fmt.Fprintln(out, "starting 10 entry hosts in 3 zones, 25 plan and 5 commission upstreams")
	if err := f.Start(startCtx, examples.Gauteng); err != nil {
		return false, err
	}
	fmt.Fprintf(out, "load: %d requests a second for %s; on the way %s is lost, %s drains, host a2 stops\n\n",
		demoRate, demoPeriod, lostUpstream, drainedUpstream)
	go injectFaults(ctx, f)
	runner := load.New(load.Settings{
		Workload: load.Gauteng(), Rate: demoRate, Period: demoPeriod, Entries: f.Entries(), Seed: 1,
	}, peer.TCP{})
	result := runner.Run(ctx)
	Print(out, result)
	return PrintVerification(out, result.Verify(f.Ledger.Runs())), nil
}

// injectFaults kills an upstream, drains another and stops a host, each at its time after the start.
func injectFaults(ctx context.Context, f *fleet.Fleet) {
	start := time.Now()
	waitUntil := func(offset time.Duration) {
		timer := time.NewTimer(time.Until(start.Add(offset)))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	waitUntil(killAt)
	f.Upstream(lostUpstream).Kill()
	waitUntil(drainAt)
	f.Upstream(drainedUpstream).Drain()
	waitUntil(stopAt)
	f.Hosts[3].Stop(ctx)
}

// Print writes the results of a load run as a table.
func Print(out io.Writer, result *load.Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "call\tsent\tserved\ton target\trefused\tunknown\tresent\tp50\tp99\t")
	for _, tally := range result.Tallies {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", tally.Call.Name, tally.Sent, tally.Served,
			tally.OnTarget, tally.Refused, tally.Unknown, tally.Resent,
			tally.Percentile(50).Round(100*time.Microsecond), tally.Percentile(99).Round(100*time.Microsecond))
	}
	_ = table.Flush()
	served, requested := result.Worth()
	fmt.Fprintf(out, "\nworth served on target: %.1f %%\n", 100*served/max(requested, 1))
}

// PrintVerification writes the verdict line and reports whether no guarantee was violated.
func PrintVerification(out io.Writer, verification load.Verification) bool {
	outcome := "ok"
	if !verification.OK() {
		outcome = "failed"
	}
	details := ""
	if verification.Crossed+verification.FalseRan > 0 {
		details = fmt.Sprintf(" crossed=%d false-ran=%d", verification.Crossed, verification.FalseRan)
	}
	fmt.Fprintf(out, "verdict: %s requests=%d doubled=%d two-owners=%d truncated=%d false-not-run=%d%s\n",
		outcome, verification.Requests, verification.Doubled, verification.TwoOwners, verification.Truncated,
		verification.FalseNotRun, details)
	return verification.OK()
}
