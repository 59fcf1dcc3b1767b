package cmds

import (
	"encoding/json"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/entry"
	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/internal/state"
)

func encoded(t *testing.T, values ...any) (responses []json.RawMessage) {
	t.Helper()
	for _, value := range values {
		data, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		responses = append(responses, data)
	}
	return responses
}

// The leader's report decides which replicas are in sync; a replica that is catching up is not shown as a replica.
func TestStatusTellsOfRepairs(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	hosts := map[string]*state.Host{"a1": {Zone: "a"}, "b1": {Zone: "b"}, "c1": {Zone: "c"}}
	follower := entry.Status{Host: "b1", AppliedIndex: 9, Leader: "a1", Hosts: hosts, ReplicaStates: map[string]string{"a1": "unknown", "b1": "unknown", "c1": "unknown"}}
	leader := entry.Status{Host: "a1", AppliedIndex: 9, Leader: "a1", Hosts: hosts, ReplicaStates: map[string]string{"a1": "whole", "b1": "whole", "c1": "repairing"}}
	is.NoErr(printStatuses(&out, encoded(t, follower, leader)))
	rows := rowsOf(out.String())
	is.True(strings.HasSuffix(rows["a1"], "leader"))
	is.True(strings.HasSuffix(rows["b1"], "replica"))
	is.True(strings.HasSuffix(rows["c1"], "repairing"))
	out.Reset()
	is.NoErr(printStatuses(&out, encoded(t, follower)))
	is.True(strings.Contains(rowsOf(out.String())["c1"], "ask the leader"))
}

// A deployment on the users' platform is shown as seen by the host with the highest applied index.
func TestStatusOfDeployment(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	leader := oper.Status{
		Host: "core-1", Role: "control", Zone: "a", Name: "10.0.0.1:7720", Leader: "10.0.0.1:7720", LeaderReachable: true, AppliedIndex: 12, ConfigVersion: 3,
		ReplicaStates: map[string]string{"10.0.0.1:7720": "whole", "10.0.0.2:7720": "repairing"},
		Unowned:       map[string]int{"plan": 7},
		Upstreams: []oper.Upstream{{
			ID: "u1", Service: "plan", Zone: "a", Address: netip.MustParseAddrPort("10.0.0.9:80"), Phase: "ready", Keys: 50, GrantedKeys: 40,
		}},
	}
	front := oper.Status{Host: "front-1", Role: "entry", Zone: "b", AppliedIndex: 11, ConfigVersion: 3, Upstreams: []oper.Upstream{{ID: "u1", InFlight: 2, Waiting: 5}}}
	is.NoErr(printStatuses(&out, encoded(t, front, leader)))
	rows := rowsOf(out.String())
	is.True(strings.HasSuffix(rows["10.0.0.1:7720"], "leader"))
	is.True(strings.HasSuffix(rows["10.0.0.2:7720"], "repairing"))
	is.Equal(strings.Fields(rows["u1"])[5:], []string{"50", "40", "2", "5"})
	is.True(strings.Contains(out.String(), "service plan: 7 keys without owner"))
	is.True(printStatuses(&out, []json.RawMessage{[]byte(`[]`)}) != nil)
}

// rowsOf returns the lines of a table by their first column.
func rowsOf(text string) map[string]string {
	rows := make(map[string]string)
	for _, line := range strings.Split(text, "\n") {
		if words := strings.Fields(line); len(words) > 0 {
			rows[words[0]] = strings.Join(words, " ")
		}
	}
	return rows
}
