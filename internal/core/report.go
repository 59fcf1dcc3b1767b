package core

import (
	"context"
	"slices"
	"strings"
	"time"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/realm"
)

// Report holds the counts of an entry host since its last report. A control host that does not lead joins those of the
// entry hosts that report to it.
type Report struct {
	Loads map[string]map[int]int `json:"key-loads,omitempty"` // number of requests by service and bucket of keys
	// ServiceTimes are by upstream id, of requests after which the upstream had nothing queued.
	ServiceTimes map[string]keyed.ServiceTime `json:"service-times,omitempty"`
	Limits       []realm.LimitChange          `json:"limits,omitempty"`      // that upstreams have named, or name no more
	EntryHosts   []string                     `json:"entry-hosts,omitempty"` // names of the entry hosts; empty in an entry host's own report
}

// ReportReply holds the number of entry hosts, which divide the limits of the deployment among them.
type ReportReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
	Hosts  int    `json:"hosts"` // 0 until the leader has counted for entryHostTTL
}

// add adds another report to r.
func (r *Report) add(other Report) {
	if r.Loads == nil {
		r.Loads, r.ServiceTimes = make(map[string]map[int]int), make(map[string]keyed.ServiceTime)
	}
	for service, counts := range other.Loads {
		sum := r.Loads[service]
		if sum == nil {
			sum = make(map[int]int)
			r.Loads[service] = sum
		}
		for bucket, count := range counts {
			sum[bucket] += count
		}
	}
	for id, measured := range other.ServiceTimes {
		r.ServiceTimes[id] = r.ServiceTimes[id].Plus(measured)
	}
	r.Limits = append(r.Limits, other.Limits...)
	r.EntryHosts = append(r.EntryHosts, other.EntryHosts...)
}

func (h *Host) handleReport(_ context.Context, from string, report Report) (ReportReply, error) {
	now := time.Now()
	report.EntryHosts = []string{from}
	if _, leads := h.leads(now); leads {
		h.takeReport(now, report)
		return ReportReply{OK: true, Hosts: h.entryHostCount(now)}, nil
	}
	if !h.hasLeaderContact(now) {
		return ReportReply{Leader: h.leaderName(now)}, nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports.add(report)
	return ReportReply{OK: true, Hosts: h.hostList.entryHosts}, nil
}

// takeReport adds a report to what this host, which leads, knows of the load.
func (h *Host) takeReport(now time.Time, report Report) {
	status := h.Status(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	if status.Ballot != h.countBallot {
		h.countBallot, h.countSince = status.Ballot, now
	}
	for _, name := range report.EntryHosts {
		h.entryHosts[name] = now
	}
	for service, counts := range report.Loads {
		h.loadsOf(service).Add(now, counts)
	}
	for id, measured := range report.ServiceTimes {
		h.serviceTimes.Add(id, measured)
	}
	for _, change := range report.Limits {
		h.limits[change.Instance] = change.Limit
	}
}

// knownEntryHosts returns the number of entry hosts that this host has counted or learned from the leader, or 0.
func (h *Host) knownEntryHosts(now time.Time) int {
	if _, leads := h.leads(now); leads {
		return h.entryHostCount(now)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hostList.entryHosts
}

// entryHostCount returns the number of entry hosts that have reported lately, 0 until this host has led for
// entryHostTTL.
func (h *Host) entryHostCount(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, reportedAt := range h.entryHosts {
		if now.Sub(reportedAt) > entryHostTTL {
			delete(h.entryHosts, name)
		}
	}
	if h.countSince.IsZero() || now.Sub(h.countSince) <= entryHostTTL {
		return 0
	}
	return len(h.entryHosts)
}

// takeLimits returns the reported limits that the state does not hold yet, and forgets them. Entry hosts report them again
// until they have received them with the state.
func (h *Host) takeLimits(upstreams map[string]*realm.Upstream) (changes []realm.LimitChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for instance, limit := range h.limits {
		if u := upstreams[instance.ID]; u != nil && u.Instance == instance && u.Phase != realm.Gone && u.Limit != limit {
			changes = append(changes, realm.LimitChange{Instance: instance, Limit: limit})
		}
	}
	clear(h.limits)
	slices.SortFunc(changes, func(a, b realm.LimitChange) int { return strings.Compare(a.ID, b.ID) })
	return changes
}
