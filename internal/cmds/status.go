package cmds

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"lovagelink.example/lovagelink/internal/entry"
)

func statusCommand() command {
	var at string
	return command{
		name:  "status",
		short: "show hosts, zones, leader, replicas, owners and queues",
		usage: "status [--at IP:PORT,...]",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&at, "at", defaultOperator, "operators' addresses, separated by commas; queues are shown for the hosts asked")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			all, err := askEach[entry.Status](ctx, at, "/status")
			if len(all) == 0 {
				return err
			}
			warn("status", err)
			slices.SortStableFunc(all, func(a, b entry.Status) int { return cmp.Compare(b.Index, a.Index) })
			printStatus(out, all)
			return nil
		},
	}
}

// printStatus shows the state as the first host knows it, which knows the most, with the queues of all.
func printStatus(out io.Writer, all []entry.Status) {
	first := all[0]
	fmt.Fprintf(out, "as seen by %s in zone %s: configuration %d, log index %d, leader %s, %d slots without owner\n\n",
		first.Host, first.Zone, first.Version, first.Index, nameOr(first.Leader, "not known"), first.Unowned)
	printHosts(out, all)
	fmt.Fprintln(out)
	printUpstreams(out, all)
}

func printHosts(out io.Writer, all []entry.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "host\tzone\tup\trole\t")
	replicas := replicasOf(all)
	for _, name := range sorted(all[0].Hosts) {
		host := all[0].Hosts[name]
		role := ""
		switch {
		case name == all[0].Leader:
			role = "leader"
		case slices.Contains(replicas, name):
			role = "replica"
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t\n", name, host.Zone, host.Up, role)
	}
	_ = table.Flush()
}

// replicasOf lists the replicas, which only hosts that hold one know.
func replicasOf(all []entry.Status) []string {
	for _, status := range all {
		if len(status.Replicas) > 0 {
			return status.Replicas
		}
	}
	return nil
}

func printUpstreams(out io.Writer, all []entry.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "upstream\tzone\tphase\tdispatcher\tslots owned\trunning\twaiting (%s)\t\n", strings.Join(all[0].Ranks, "/"))
	for _, id := range sorted(all[0].Upstreams) {
		u := all[0].Upstreams[id]
		running, waiting := queueOf(all, id, u.Host)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t\n",
			id, u.Zone, u.Phase, nameOr(u.Host, "none"), all[0].Owned[id], running, waiting)
	}
	_ = table.Flush()
}

// queueOf tells how much of an upstream's work runs and waits, if its dispatcher's host was asked.
func queueOf(all []entry.Status, id, host string) (running, waiting string) {
	for _, status := range all {
		health, ok := status.Dispatches[id]
		if status.Host != host || !ok {
			continue
		}
		var counts []string
		for _, count := range health.Waiting {
			counts = append(counts, fmt.Sprint(count))
		}
		return fmt.Sprint(health.Running), strings.Join(counts, "/")
	}
	return "-", "-"
}

func nameOr(name, other string) string {
	if name == "" {
		return other
	}
	return name
}
