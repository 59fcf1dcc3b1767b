package core

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Times of grants and moves of keys. A grant outlasts a change of leader, which takes up to 2 s, and a restart of all
// control hosts, which takes about 3 s. The keys of a lost upstream can't go to others until its grants have expired.
const (
	grantTTL       = 5 * time.Second
	renewInterval  = 2 * time.Second // after a change of leader within 2 s, a grant still has a second left
	grantTimeout   = time.Second
	releaseTimeout = 4 * time.Second // an upstream responds to a release only after the running requests have ended
	planInterval   = 100 * time.Millisecond
	maxPlanDelay   = 300 * time.Millisecond
	maxPlanShare   = 20                      // planning takes at most one part in this many of the time
	minLeaseLeft   = 50 * time.Millisecond   // no call to an upstream starts when the leader's lease has less time left
	pollInterval   = 30 * time.Millisecond   // time between checks of released keys, and between retries of a proposal
	joinSettleTime = 1200 * time.Millisecond // time without new upstreams before keys of a service are first assigned
)

// keyManager assigns keys to upstreams and grants them to their owners during one tenure as leader.
type keyManager struct {
	host       *Host
	client     UpstreamClient
	ballot     paxos.Ballot
	firstIndex uint64 // index of the log at which the tenure began
	terms      keyed.Terms
	tomb       tomb.Tomb

	activations *activations

	mu           sync.Mutex
	tracker      *keyed.GrantTracker
	pacer        *keyed.Pacer
	startTime    time.Time
	planners     map[string]*keyed.Planner
	tasks        map[realm.Instance]*grantTask
	moving       map[movingRange]bool
	lastJoin     time.Time                    // when a new instance of an upstream last appeared
	seen         map[realm.Instance]time.Time // when an instance was first seen
	latestAt     map[string]realm.Instance    // the latest instance at each id and each address
	goneSince    map[realm.Instance]time.Time // when an instance was first seen in phase Gone
	unresponsive map[realm.Instance]bool      // instances that acknowledge no grants, so that their keys go to others
}

// runLeader runs a keyManager for each tenure of this host as leader. While the lease lapses, the keyManager sends
// nothing and decides nothing, but keeps its connections and what it knows of the grants: if the lease resumes under the
// same ballot, no other host has led in between. To begin anew costs each owner a connection and a token, which is more
// than a host that is late with its heartbeats can afford.
func (h *Host) runLeader() error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	var k *keyManager
	isLapsed := false
	var nextPlan time.Time
	var members paxos.Members
	for {
		select {
		case <-h.tomb.Dying():
			k.stop()
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		status, leads := h.leads(now)
		if !slices.Equal(members, status.Members) {
			members = status.Members
			_ = h.logger.Log("event", "members", "members", strings.Join(h.memberNames(now), ","), "commit", status.Commit, "votes", members.Has(h.currentReplica().replica.Identify().ID))
		}
		if k != nil && k.ballot != status.Ballot {
			_ = h.logger.Log("event", "leadership-lost", "ballot", k.ballot, "leader", status.Leader)
			k.stop()
			k, isLapsed = nil, false
		}
		if k != nil && leads == isLapsed {
			isLapsed = !leads
			_ = h.logger.Log("event", "lease", "ballot", k.ballot, "lapsed", isLapsed)
		}
		if !leads {
			continue
		}
		if k == nil {
			k = newKeyManager(now, h, status)
			_ = h.logger.Log("event", "leadership-won", "ballot", status.Ballot, "commit", status.Commit)
			k.renewAllTokens()
		}
		if now.Before(nextPlan) {
			continue
		}
		took := k.plan(now)
		nextPlan = time.Now().Add(min(maxPlanShare*took, maxPlanDelay))
	}
}

func newKeyManager(now time.Time, h *Host, status paxos.Status) *keyManager {
	k := &keyManager{
		host: h, client: h.newClient(), ballot: status.Ballot, firstIndex: status.Commit, startTime: now, lastJoin: now,
		terms:    keyed.Terms{TTL: min(grantTTL, h.site.Bounds.MaxGrantTTL), RenewInterval: renewInterval, CallTimeout: grantTimeout},
		planners: make(map[string]*keyed.Planner), tasks: make(map[realm.Instance]*grantTask),
		moving: make(map[movingRange]bool), seen: make(map[realm.Instance]time.Time), latestAt: make(map[string]realm.Instance), goneSince: make(map[realm.Instance]time.Time),
		unresponsive: make(map[realm.Instance]bool), activations: newActivations(),
	}
	owners := h.owners()
	k.tracker = keyed.NewGrantTracker(now, k.terms, owners)
	k.pacer = keyed.NewPacer(keyed.GrantInterval(h.site.Processor))
	k.tomb.Go(k.proposeActivations)
	return k
}

// owners returns the instances that own keys.
func (h *Host) owners() (owners []realm.Instance) {
	isListed := make(map[realm.Instance]bool)
	h.Read(func(s *realm.State) {
		for _, ownership := range s.Ownership {
			for _, r := range ownership.Ranges {
				if !isListed[r.Owner] {
					isListed[r.Owner] = true
					owners = append(owners, r.Owner)
				}
			}
		}
	})
	return owners
}

// renewAllTokens gives all keys new fencing tokens in one entry of the log, since a tenure begins without connections
// for grants. If that fails, the tasks of the owners renew their own tokens.
func (k *keyManager) renewAllTokens() {
	owners := k.host.owners()
	if len(owners) == 0 {
		return
	}
	if err := k.host.propose(k.tomb.Context(context.Background()), k.ballot, realm.Command{RenewTokens: owners}); err != nil {
		_ = k.host.logger.Log("event", "keys-fenced", "outcome", "unknown", "owners", len(owners), "reason", err)
		return
	}
	_ = k.host.logger.Log("event", "keys-fenced", "owners", len(owners), "reason", "a tenure as leader begins without connections for grants")
}

func (k *keyManager) stop() {
	if k == nil {
		return
	}
	k.tomb.Kill(nil)
	_ = k.tomb.Wait()
}

// mayCallUpstreams reports whether the lease of this tenure lasts long enough to send a grant or a release.
func (k *keyManager) mayCallUpstreams(now time.Time) bool {
	status, leads := k.host.leads(now)
	return leads && status.Ballot == k.ballot && status.LeaseUntil.Sub(now) > minLeaseLeft
}

// plan checks all upstreams and all keys once, starts moves and proposes assignments and changes of phases. It returns
// how long that took without the proposal.
func (k *keyManager) plan(now time.Time) (took time.Duration) {
	var command realm.Command
	plans := make(map[string]keyed.Plan)
	var s realm.State // a copy, so that the state is not locked while grants are checked
	k.host.Read(func(current *realm.State) { s = current.Clone() })
	upstreams := s.Sorted()
	k.trackInstances(now, upstreams, &command)
	for _, service := range s.KeyedServices() {
		var ranges realm.Ranges
		if ownership := s.Ownership[service]; ownership != nil {
			ranges = ownership.Ranges
		}
		plans[service] = k.planService(now, upstreams, service, ranges)
	}
	command.Withdrawals = k.withdrawals(now, &s)
	command.SetLimits = k.host.takeLimits(s.Upstreams)
	command.KeepOwners = !s.KeepsOwners && k.host.allUnderstand(now, keptOwners)
	k.updateTasks(&s)
	defer func() { k.endMoves(command.Assignments) }()
	for service, plan := range plans {
		command.Assignments = append(command.Assignments, plan.Assignments...)
		for _, m := range plan.Moves {
			k.startMove(service, m)
		}
	}
	took = time.Since(now)
	if len(command.Assignments)+len(command.SetPhase)+len(command.SetLimits)+len(command.Forget)+len(command.Withdrawals) == 0 && !command.KeepOwners {
		return took
	}
	if command.KeepOwners {
		_ = k.host.logger.Log("event", "owners-kept", "reason", "all members of the log keep the owners of services that a configuration takes away")
	}
	for _, assignment := range command.Assignments {
		_ = k.host.logger.Log("event", "keys-assigned", "service", assignment.Service, "from", assignment.Keys.From, "to", assignment.Keys.To,
			"owner", assignment.Owner.ID, "born", assignment.Owner.StartMillis, "was", assignment.ExpectedToken)
	}
	for _, w := range command.Withdrawals {
		_ = k.host.logger.Log("event", "keys-withdrawn", "service", w.Service, "accepted", w.ConfigIndex,
			"reason", "the service is no longer divided by key, and its grants have expired")
	}
	for _, change := range command.SetLimits {
		_ = k.host.logger.Log("event", "upstream-limits", "upstream", change.ID, "born", change.StartMillis, "limit", change.Limit)
	}
	k.proposeUntilKnown(command)
	return took
}

// withdrawals returns the services that are no longer divided by key and of which no grant can still be in force.
func (k *keyManager) withdrawals(now time.Time, s *realm.State) (withdrawals []realm.Withdrawal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for service, ownership := range s.Ownership {
		if s.IsKeyed(service) {
			continue
		}
		if !slices.ContainsFunc(ownership.Ranges, func(r realm.Range) bool { return !k.tracker.GrantsExpired(now, r.Owner) }) {
			withdrawals = append(withdrawals, realm.Withdrawal{Service: service, ConfigIndex: s.ConfigIndex})
		}
	}
	return withdrawals
}

// proposeUntilKnown proposes a command until its outcome is known or the tenure is over. Until then the keys may or may
// not have a new owner, so neither owner may be sent a grant.
func (k *keyManager) proposeUntilKnown(command realm.Command) {
	ctx := k.tomb.Context(context.Background())
	for ctx.Err() == nil && k.host.Status(time.Now()).Ballot == k.ballot {
		err := k.host.propose(ctx, k.ballot, command)
		if err == nil {
			return
		}
		_ = k.host.logger.Log("event", "command", "outcome", "unknown", "reason", err)
		pause.For(ctx, pollInterval)
	}
}

// endMoves ends the moves of keys that were assigned, during which they are granted to nobody.
func (k *keyManager) endMoves(assigned []realm.Assignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, assignment := range assigned {
		delete(k.moving, movingRange{assignment.Service, assignment.Keys})
	}
}

func (k *keyManager) planService(now time.Time, all []*realm.Upstream, service string, ranges realm.Ranges) keyed.Plan {
	if len(ranges) == 0 && now.Sub(k.lastJoin) < joinSettleTime {
		return keyed.Plan{} // upstreams are still joining; keys that are assigned after that need not move to late ones
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var upstreams []keyed.Upstream
	speeds, bias, work := k.host.speedsOf(now, all, service)
	for _, u := range all {
		if u.Service != service {
			continue
		}
		lastHeartbeat := k.host.lastHeartbeat(u.Instance, k.startTime)
		isUnresponsive, failing := k.tracker.IsUnresponsive(now, u.Instance, lastHeartbeat), k.tracker.FailingFor(now, u.Instance)
		k.logUnresponsive(now, u.Instance, isUnresponsive && !u.Ended, failing, lastHeartbeat)
		upstreams = append(upstreams, keyed.Upstream{
			Instance: u.Instance, Zone: u.Zone, Capacity: keyed.Limited(keyed.Capacity(float64(u.Slots()), speeds[u.ID], bias), u.Limit, work), Failing: failing,
			IsReady:            u.Phase == realm.Ready && failing == 0 && now.Sub(lastHeartbeat) < k.host.lostAfter(),
			IsWarming:          k.seen[u.Instance].After(k.startTime) && now.Sub(k.seen[u.Instance]) < u.WarmFor,
			IsEnded:            u.Ended,
			IsUnresponsive:     isUnresponsive,
			ReleaseIsImmediate: k.tracker.ReleaseIsImmediate(now, u.Instance),
			IsDraining:         u.Phase == realm.Draining || u.Phase == realm.Gone,
		})
	}
	planner := k.planners[service]
	if planner == nil {
		planner = keyed.NewPlanner(service)
		k.planners[service] = planner
	}
	planner.SetWork(work)
	k.host.mu.Lock()
	loads := *k.host.loadsOf(service)
	k.host.mu.Unlock()
	moving := k.movingKeys(service)
	plan := planner.Plan(now, ranges, upstreams, &loads,
		func(instance realm.Instance) bool { return k.tracker.GrantsExpired(now, instance) },
		func(keys realm.KeyRange) bool { return overlapsAny(moving, keys) })
	for _, assignment := range plan.Assignments {
		// The previous owner's grants are no longer in force, or it is an earlier instance of the new owner. From now
		// on it is sent no grant.
		k.moving[movingRange{service, assignment.Keys}] = true
	}
	return plan
}

func (k *keyManager) task(instance realm.Instance) *grantTask {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tasks[instance]
}
