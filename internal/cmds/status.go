package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"lovagelink.example/lovagelink/internal/entry"
	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/pkg/paxos"
)

func statusCommand() command {
	var at string
	return command{
		name:    "status",
		short:   "show hosts, zones, leader, replicas, owners and queues",
		usage:   "status [--at IP:PORT,...]",
		example: "status --at 127.0.0.1:7002,127.0.0.1:7012",
		flags: func(flags *flag.FlagSet) {
			flags.StringVar(&at, "at", defaultOperatorAddress, "operators' addresses, separated by commas; queues are shown for these hosts only")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			responses, err := getEach[json.RawMessage](ctx, at, "/status")
			if len(responses) == 0 {
				return err
			}
			warn("status", err)
			return printStatuses(out, responses)
		},
	}
}

// printStatuses prints the statuses of hosts. Hosts that run from the product's own settings files respond in another
// format than hosts on the users' platform, and are printed separately.
func printStatuses(out io.Writer, responses []json.RawMessage) error {
	var entryStatuses []entry.Status
	var platformStatuses []oper.Status
	for _, response := range responses {
		var status oper.Status
		if err := json.Unmarshal(response, &status); err == nil && status.Role != "" {
			platformStatuses = append(platformStatuses, status)
			continue
		}
		var entryStatus entry.Status
		if err := json.Unmarshal(response, &entryStatus); err != nil {
			return fmt.Errorf("decode status: %w; is this an operators' address of lovagelink?", err)
		}
		entryStatuses = append(entryStatuses, entryStatus)
	}
	if len(entryStatuses) > 0 {
		slices.SortStableFunc(entryStatuses, func(a, b entry.Status) int { return cmp.Compare(b.AppliedIndex, a.AppliedIndex) })
		printEntryStatuses(out, entryStatuses)
	}
	if len(platformStatuses) > 0 {
		printPlatformStatuses(out, platformStatuses)
	}
	return nil
}

// printEntryStatuses prints the state as seen by the first host, which has the highest applied index, and the queues of
// all hosts.
func printEntryStatuses(out io.Writer, statuses []entry.Status) {
	first := statuses[0]
	fmt.Fprintf(out, "as seen by %s in zone %s: configuration %d, log index %d, leader %s, %d slots without owner\n\n",
		first.Host, first.Zone, first.ConfigVersion, first.AppliedIndex, orDefault(first.Leader, "not known"), first.Unowned)
	printHosts(out, statuses)
	fmt.Fprintln(out)
	printUpstreams(out, statuses)
}

func printHosts(out io.Writer, statuses []entry.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "host\tzone\tup\trole\t")
	replicas := replicaRoles(statuses)
	for _, name := range sortedKeys(statuses[0].Hosts) {
		host := statuses[0].Hosts[name]
		role := ""
		switch {
		case name == statuses[0].Leader:
			role = "leader"
		default:
			role = replicas[name]
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t\n", name, host.Zone, host.Up, role)
	}
	_ = table.Flush()
}

// replicaRoles returns the role of each replica, by name. Only the leader knows the states of the replicas; if it was
// not queried, they stay unknown.
func replicaRoles(statuses []entry.Status) map[string]string {
	roles := make(map[string]string)
	for _, status := range statuses {
		for name, state := range status.ReplicaStates {
			if roles[name] == "" || state != paxos.ReplicaUnknown.String() {
				roles[name] = replicaRole(state)
			}
		}
	}
	return roles
}

// replicaRole returns the text that describes a replica in a state.
func replicaRole(state string) string {
	switch state {
	case paxos.ReplicaInSync.String():
		return "replica"
	case paxos.ReplicaUnknown.String():
		return "replica (ask the leader whether it is in sync)"
	}
	return state
}

func printUpstreams(out io.Writer, statuses []entry.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "upstream\tzone\tphase\tdispatcher\tslots owned\trunning\twaiting (%s)\t\n", strings.Join(statuses[0].Ranks, "/"))
	for _, id := range sortedKeys(statuses[0].Upstreams) {
		u := statuses[0].Upstreams[id]
		running, waiting := queueLengths(statuses, id, u.Dispatcher)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t\n",
			id, u.Zone, u.Phase, orDefault(u.Dispatcher, "none"), statuses[0].Owned[id], running, waiting)
	}
	_ = table.Flush()
}

// queueLengths returns the number of running requests of an upstream and the number of waiting ones by rank, or dashes
// if its dispatcher's host was not queried.
func queueLengths(statuses []entry.Status, upstreamID, host string) (running, waiting string) {
	for _, status := range statuses {
		health, ok := status.Dispatches[upstreamID]
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

func orDefault(name, fallback string) string {
	if name == "" {
		return fallback
	}
	return name
}
