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

// Figures of the demo.
const (
	demoRate   = 400 // requests a second
	demoPeriod = 9 * time.Second
	demoReady  = 15 * time.Second
	lossAfter  = 2 * time.Second
	drainAfter = 4 * time.Second
	stopAfter  = 6 * time.Second
	lostOne    = "plan-03"
	drainedOne = "plan-07"
)

// Run starts a deployment, loads it while upstreams and a host come and go, and prints what was
// served. It returns whether every promise was kept.
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
	ready, cancel := context.WithTimeout(ctx, demoReady)
	defer cancel()
	fmt.Fprintln(out, "starting 10 entry hosts in 3 zones, 25 plan and 5 commission upstreams")
	if err := f.Start(ready, examples.Gauteng); err != nil {
		return false, err
	}
	fmt.Fprintf(out, "load: %d requests a second for %s; on the way %s is lost, %s drains, host a2 stops\n\n",
		demoRate, demoPeriod, lostOne, drainedOne)
	go disturb(ctx, f)
	runner := load.New(load.Settings{
		Workload: load.Gauteng(), Rate: demoRate, Period: demoPeriod, Entries: f.Entries(), Seed: 1,
	}, peer.TCP{})
	result := runner.Run(ctx)
	Print(out, result)
	return PrintVerification(out, result.Verify(f.Ledger.Runs())), nil
}

// disturb loses one upstream, drains one and stops one host.
func disturb(ctx context.Context, f *fleet.Fleet) {
	began := time.Now()
	wait := func(period time.Duration) {
		timer := time.NewTimer(time.Until(began.Add(period)))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	wait(lossAfter)
	f.Upstream(lostOne).Kill()
	wait(drainAfter)
	f.Upstream(drainedOne).Drain()
	wait(stopAfter)
	f.Hosts[3].Stop(ctx)
}

// Print writes the table of a load run.
func Print(out io.Writer, result *load.Result) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "call\tsent\tserved\ton target\trefused\tunknown\tresent\tp50\tp99\t")
	for _, tally := range result.Tallies {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", tally.Call.Name, tally.Sent, tally.Served,
			tally.OnTarget, tally.Refused, tally.Unknown, tally.Resent,
			tally.Percentile(50).Round(100*time.Microsecond), tally.Percentile(99).Round(100*time.Microsecond))
	}
	_ = table.Flush()
	served, asked := result.Worth()
	fmt.Fprintf(out, "\nworth served on target: %.1f %%\n", 100*served/max(asked, 1))
}

// PrintVerification writes the last line and returns whether every promise was kept.
func PrintVerification(out io.Writer, verdict load.Verification) bool {
	word := "ok"
	if !verdict.OK() {
		word = "failed"
	}
	more := ""
	if verdict.Crossed+verdict.FalseRan > 0 {
		more = fmt.Sprintf(" crossed=%d false-ran=%d", verdict.Crossed, verdict.FalseRan)
	}
	fmt.Fprintf(out, "verdict: %s requests=%d doubled=%d two-owners=%d truncated=%d false-not-run=%d%s\n",
		word, verdict.Requests, verdict.Doubled, verdict.TwoOwners, verdict.Truncated, verdict.FalseNotRun, more)
	return verdict.OK()
}
