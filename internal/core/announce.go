package core

import (
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
)

// Each control host announces itself to the leader, which answers with the list of all control hosts. A host without a
// vote asks for one that way.
const (
	announceInterval = 500 * time.Millisecond
	announceTTL      = 2 * time.Second // how long the leader lists a host after its last announcement
	hostListTTL      = 3 * time.Second // how long a host uses a list after it has received it
)

// announcement names the control host that sends it.
type announcement struct {
	Zone string `json:"zone"`
}

// announceReply is the leader's answer: the control hosts, and the number of entry hosts that have reported lately.
type announceReply struct {
	OK         bool     `json:"ok"`
	Leader     string   `json:"leader,omitempty"`
	Hosts      []Member `json:"hosts,omitempty"`
	EntryHosts int      `json:"entry-hosts,omitempty"`
}

// hostList is what the leader has answered last.
type hostList struct {
	hosts      []Member
	entryHosts int
	receivedAt time.Time
}

func (h *Host) handleAnnouncement(_ context.Context, from string, args announcement) (announceReply, error) {
	now := time.Now()
	if _, leads := h.leads(now); !leads {
		return announceReply{Leader: h.leaderName(now)}, nil
	}
	h.mu.Lock()
	h.announced[from] = now
	h.zones[from] = args.Zone
	h.joinRequests[from] = now // without effect if it is a member
	h.mu.Unlock()
	return announceReply{OK: true, Leader: h.name, Hosts: h.controlHosts(now), EntryHosts: h.entryHostCount(now)}, nil
}

// announce announces this host to the leader.
func (h *Host) announce() error {
	ctx := h.tomb.Context(context.Background())
	for h.tomb.Alive() {
		pause.For(ctx, announceInterval)
		now := time.Now()
		leader := h.leaderName(now)
		if leader == "" || leader == h.name || h.hasResigned() {
			continue
		}
		reply, err := callWithTimeout[announceReply](ctx, h, leader, "announce", announcement{Zone: h.site.Zone})
		if err != nil || !reply.OK {
			continue // the next round may have another leader
		}
		h.mu.Lock()
		h.hostList = hostList{hosts: reply.Hosts, entryHosts: reply.EntryHosts, receivedAt: now}
		h.mu.Unlock()
	}
	return nil
}

// markOf returns a number that tells one list of control hosts from another, never 0.
func markOf(hosts []Member) uint64 {
	hash := fnv.New64a()
	for _, host := range hosts {
		fmt.Fprintf(hash, "%s/%s/%t,", host.Name, host.Zone, host.Leads)
	}
	return hash.Sum64() | 1
}

// controlHosts returns the control hosts, sorted by name. The leader knows those that announce themselves, and other
// hosts what the leader has answered; without an answer, they are the members of the log.
func (h *Host) controlHosts(now time.Time) []Member {
	_, leads := h.leads(now)
	h.mu.Lock()
	list := h.hostList
	h.mu.Unlock()
	if !leads && now.Sub(list.receivedAt) < hostListTTL {
		return list.hosts
	}
	members := h.membersWithZones(now)
	if !leads {
		return members
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, announcedAt := range h.announced {
		if now.Sub(announcedAt) > announceTTL {
			delete(h.announced, name)
			continue
		}
		if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == name }) {
			members = append(members, Member{Name: name, Zone: h.zones[name]})
		}
	}
	for i := range members {
		members[i].Leads = members[i].Name == h.name
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}
