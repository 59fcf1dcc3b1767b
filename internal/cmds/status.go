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
			flags.StringVar(&at, "at", defaultOperator, "operators' addresses, separated by commas; queues are shown for the hosts asked")
		},
		run: func(ctx context.Context, _ []string, out io.Writer) error {
			answers, err := askEach[json.RawMessage](ctx, at, "/status")
			if len(answers) == 0 {
				return err
			}
			warn("status", err)
			return printAnswers(out, answers)
		},
	}
}

// printAnswers shows what hosts have told, those with the product's own settings apart from those on the users' platform.
func printAnswers(out io.Writer, answers []json.RawMessage) error {
	var own []entry.Status
	var deployed []oper.Status
	for _, answer := range answers {
		var status oper.Status
		if err := json.Unmarshal(answer, &status); err == nil && status.Role != "" {
			deployed = append(deployed, status)
			continue
		}
		var older entry.Status
		if err := json.Unmarshal(answer, &older); err != nil {
			return fmt.Errorf("status can't be read: %w; is this an operators' address of lovagelink?", err)
		}
		own = append(own, older)
	}
	if len(own) > 0 {
		slices.SortStableFunc(own, func(a, b entry.Status) int { return cmp.Compare(b.AppliedIndex, a.AppliedIndex) })
		printStatus(out, own)
	}
	if len(deployed) > 0 {
		printDeployed(out, deployed)
	}
	return nil
}

// printStatus shows the state as the first host knows it, which knows the most, with the queues of all.
func printStatus(out io.Writer, all []entry.Status) {
	first := all[0]
	fmt.Fprintf(out, "as seen by %s in zone %s: configuration %d, log index %d, leader %s, %d slots without owner\n\n",
		first.Host, first.Zone, first.ConfigVersion, first.AppliedIndex, nameOr(first.Leader, "not known"), first.Unowned)
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
		default:
			role = replicas[name]
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t\n", name, host.Zone, host.Up, role)
	}
	_ = table.Flush()
}

// replicasOf tells of each replica whether its copy is whole, by the word of the leader if it was asked: only it knows.
func replicasOf(all []entry.Status) map[string]string {
	roles := make(map[string]string)
	for _, status := range all {
		for name, state := range status.ReplicaStates {
			if roles[name] == "" || state != paxos.ReplicaUnknown.String() {
				roles[name] = roleOf(state)
			}
		}
	}
	return roles
}

// roleOf names the role of a host by the state of its copy of the log.
func roleOf(state string) string {
	switch state {
	case paxos.ReplicaInSync.String():
		return "replica"
	case paxos.ReplicaUnknown.String():
		return "replica (ask the leader whether it is whole)"
	}
	return state
}

func printUpstreams(out io.Writer, all []entry.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "upstream\tzone\tphase\tdispatcher\tslots owned\trunning\twaiting (%s)\t\n", strings.Join(all[0].Ranks, "/"))
	for _, id := range sorted(all[0].Upstreams) {
		u := all[0].Upstreams[id]
		running, waiting := queueOf(all, id, u.Dispatcher)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t\n",
			id, u.Zone, u.Phase, nameOr(u.Dispatcher, "none"), all[0].Owned[id], running, waiting)
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
