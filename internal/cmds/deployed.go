package cmds

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"lovagelink.example/lovagelink/internal/oper"
)

// printDeployed shows a deployment on the users' platform: what each host knows, then upstreams and keys as the host
// sees them that knows the most.
func printDeployed(out io.Writer, all []oper.Status) {
	slices.SortStableFunc(all, func(a, b oper.Status) int {
		return cmp.Or(cmp.Compare(b.AppliedIndex, a.AppliedIndex), cmp.Compare(b.Role, a.Role), cmp.Compare(a.Host, b.Host))
	})
	printKnowing(out, all)
	fmt.Fprintln(out)
	printCopies(out, all)
	first := all[0]
	fmt.Fprintf(out, "\nas seen by %s: configuration %d, log index %d\n", first.Host, first.ConfigVersion, first.AppliedIndex)
	for _, service := range sorted(first.Unowned) {
		fmt.Fprintf(out, "service %s: %d keys without owner\n", service, first.Unowned[service])
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "upstream\tservice\tzone\taddress\tphase\tkeys\ttaken\tin flight\twaiting\t")
	for _, u := range first.Upstreams {
		inFlight, waiting := workAt(all, u.ID)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t\n",
			u.ID, u.Service, u.Zone, u.Address, u.Phase, u.Keys, u.GrantedKeys, inFlight, waiting)
	}
	_ = table.Flush()
}

// printKnowing shows which host knows how much.
func printKnowing(out io.Writer, all []oper.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "host\tzone\trole\tin touch\tconfiguration\tlog index\t")
	for _, status := range all {
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%d\t%d\t\n", status.Host, status.Zone, status.Role, status.LeaderReachable, status.ConfigVersion, status.AppliedIndex)
	}
	_ = table.Flush()
}

// printCopies shows the replicas of the log by the word of the leader, or else of any control host that was asked.
func printCopies(out io.Writer, all []oper.Status) {
	var from *oper.Status
	for i := range all {
		one := &all[i]
		if one.Role == "control" && (from == nil || one.Name == one.Leader) {
			from = one
		}
	}
	if from == nil {
		fmt.Fprintln(out, "no control host was asked, so nothing is known of the replicas of the log")
		return
	}
	names := make(map[string]string)
	for _, status := range all {
		names[status.Name] = status.Host
	}
	fmt.Fprintf(out, "replicas of the log as seen by %s:\n", from.Host)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range sorted(from.ReplicaStates) {
		role := roleOf(from.ReplicaStates[name])
		if name == from.Leader {
			role = "leader"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t\n", name, nameOr(names[name], "not asked"), role)
	}
	_ = table.Flush()
}

// workAt adds up what the hosts that were asked have under way and waiting for an upstream.
func workAt(all []oper.Status, id string) (inFlight, waiting int) {
	for _, status := range all {
		for _, u := range status.Upstreams {
			if u.ID == id {
				inFlight += u.InFlight
				waiting += u.Waiting
			}
		}
	}
	return inFlight, waiting
}
