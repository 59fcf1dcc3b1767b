package cmds

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"lovagelink.example/lovagelink/internal/oper"
)

// printPlatformStatuses prints the status of a deployment on the users' platform: the progress of each host, the
// replicas of the log, and the upstreams and keys as seen by the host with the highest applied index.
func printPlatformStatuses(out io.Writer, statuses []oper.Status) {
	slices.SortStableFunc(statuses, func(a, b oper.Status) int {
		return cmp.Or(cmp.Compare(b.AppliedIndex, a.AppliedIndex), cmp.Compare(b.Role, a.Role), cmp.Compare(a.Host, b.Host))
	})
	printHostProgress(out, statuses)
	fmt.Fprintln(out)
	printReplicas(out, statuses)
	first := statuses[0]
	fmt.Fprintf(out, "\nas seen by %s: configuration %d, log index %d\n", first.Host, first.ConfigVersion, first.AppliedIndex)
	for _, service := range sortedKeys(first.Unowned) {
		fmt.Fprintf(out, "service %s: %d keys without owner\n", service, first.Unowned[service])
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "upstream\tservice\tzone\taddress\tphase\tkeys\ttaken\tin flight\twaiting\t")
	for _, u := range first.Upstreams {
		inFlight, waiting := sumRequests(statuses, u.ID)
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t\n",
			u.ID, u.Service, u.Zone, u.Address, u.Phase, u.Keys, u.GrantedKeys, inFlight, waiting)
	}
	_ = table.Flush()
}

// printHostProgress prints the zone, the role, the configuration version and the applied index of each host, and
// whether it is in contact with the leader.
func printHostProgress(out io.Writer, statuses []oper.Status) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "host\tzone\trole\tin touch\tconfiguration\tlog index\t")
	for _, status := range statuses {
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%d\t%d\t\n", status.Host, status.Zone, status.Role, status.LeaderReachable, status.ConfigVersion, status.AppliedIndex)
	}
	_ = table.Flush()
}

// printReplicas prints the replicas of the log as reported by the leader, or by any other control host that was queried
// if the leader was not.
func printReplicas(out io.Writer, statuses []oper.Status) {
	var source *oper.Status
	for i := range statuses {
		status := &statuses[i]
		if status.Role == "control" && (source == nil || status.Name == status.Leader) {
			source = status
		}
	}
	if source == nil {
		fmt.Fprintln(out, "no control host was queried, so the state of the log's replicas is unknown")
		return
	}
	names := make(map[string]string)
	for _, status := range statuses {
		names[status.Name] = status.Host
	}
	fmt.Fprintf(out, "replicas of the log as seen by %s:\n", source.Host)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range sortedKeys(source.ReplicaStates) {
		role := replicaRole(source.ReplicaStates[name])
		if name == source.Leader {
			role = "leader"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t\n", name, orDefault(names[name], "not queried"), role)
	}
	_ = table.Flush()
}

// sumWork returns the number of requests in flight and waiting for an upstream, over all hosts that were queried.
func sumRequests(statuses []oper.Status, upstreamID string) (inFlight, waiting int) {
	for _, status := range statuses {
		for _, u := range status.Upstreams {
			if u.ID == upstreamID {
				inFlight += u.InFlight
				waiting += u.Waiting
			}
		}
	}
	return inFlight, waiting
}
