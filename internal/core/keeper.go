package core

import (
	"context"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/keyed"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// Periods of the granting of keys. A grant outlasts a takeover of the leadership, which takes up to 2 s, and a restart
// of all control hosts, which takes about 3 s; an upstream that is lost keeps its keys from others for as long.
const (
	holdTime    = 5 * time.Second
	renewGap    = 2 * time.Second // a takeover of the leadership within 2 s still finds a second left
	grantLimit  = time.Second
	releaseTime = 4 * time.Second // work under way ends before a release is answered
	planGap     = 100 * time.Millisecond
	leaseLeft   = 50 * time.Millisecond // of the leader's lease, below which it sends no grant
	freeGap     = 30 * time.Millisecond // between two looks whether released keys are free
	settleTime  = 1200 * time.Millisecond
)

// keeper grants keys to their owners during one leadership.
type keeper struct {
	host   *Host
	orders UpstreamClient
	ballot paxos.Ballot
	opened uint64 // position of the log at which the leadership began
	terms  keyed.Terms
	tomb   tomb.Tomb

	mu       sync.Mutex
	book     *keyed.GrantTracker
	began    time.Time
	planners map[string]*keyed.Planner
	tasks    map[realm.Instance]*granting
	moving   map[move]bool
	joined   time.Time // when an upstream was last seen for the first time
	seen     map[realm.Instance]bool
	places   map[string]realm.Instance    // the newest life that was seen at each id and each address
	gone     map[realm.Instance]time.Time // when an upstream was first seen gone
	stuck    map[realm.Instance]bool      // upstreams that take no grants, so that their keys are to go to others
}

// lead grants keys whenever this host leads.
func (h *Host) lead() error {
	ticker := time.NewTicker(planGap)
	defer ticker.Stop()
	var k *keeper
	for {
		select {
		case <-h.tomb.Dying():
			k.stop()
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		status, leads := h.leads(now)
		if k != nil && (!leads || k.ballot != status.Ballot) {
			_ = h.logger.Log("event", "leadership-lost", "ballot", k.ballot, "leader", status.Leader)
			k.stop()
			k = nil
		}
		if !leads {
			continue
		}
		if k == nil {
			k = newKeeper(now, h, status)
			_ = h.logger.Log("event", "leadership-won", "ballot", status.Ballot, "commit", status.Commit)
		}
		k.plan(now)
	}
}

func newKeeper(now time.Time, h *Host, status paxos.Status) *keeper {
	k := &keeper{
		host: h, orders: h.orders(), ballot: status.Ballot, opened: status.Commit, began: now, joined: now,
		terms:    keyed.Terms{TTL: min(holdTime, h.site.Bounds.MaxGrantTTL), RenewInterval: renewGap, CallTimeout: grantLimit},
		planners: make(map[string]*keyed.Planner), tasks: make(map[realm.Instance]*granting),
		moving: make(map[move]bool), seen: make(map[realm.Instance]bool), places: make(map[string]realm.Instance), gone: make(map[realm.Instance]time.Time),
		stuck: make(map[realm.Instance]bool),
	}
	var owners []realm.Instance
	h.Read(func(s *realm.State) {
		for _, owned := range s.Ownership {
			for _, one := range owned.Ranges {
				owners = append(owners, one.Owner)
			}
		}
	})
	k.book = keyed.NewGrantTracker(now, k.terms, owners)
	k.tomb.Go(func() error { // holds the tomb open while there are no other tasks
		<-k.tomb.Dying()
		return nil
	})
	return k
}

func (k *keeper) stop() {
	if k == nil {
		return
	}
	k.tomb.Kill(nil)
	_ = k.tomb.Wait()
}

// mayOrder reports whether this host still leads for long enough to send an order.
func (k *keeper) mayOrder(now time.Time) bool {
	status, leads := k.host.leads(now)
	return leads && status.Ballot == k.ballot && status.LeaseUntil.Sub(now) > leaseLeft
}

// plan looks at all upstreams and all keys once, and begins what is to be done.
func (k *keeper) plan(now time.Time) {
	var command realm.Command
	plans := make(map[string]keyed.Plan)
	var s realm.State // a copy, so that no lock is held while grants are looked at
	k.host.Read(func(present *realm.State) { s = present.Clone() })
	upstreams := s.Sorted()
	k.watchLives(now, upstreams, &command)
	for _, service := range s.KeyedServices() {
		var ranges realm.Ranges
		if owned := s.Ownership[service]; owned != nil {
			ranges = owned.Ranges
		}
		plans[service] = k.planService(now, upstreams, service, ranges)
	}
	k.follow(&s)
	defer func() { k.settle(command.Assignments) }()
	for service, plan := range plans {
		command.Assignments = append(command.Assignments, plan.Assignments...)
		for _, m := range plan.Moves {
			k.begin(service, m)
		}
	}
	if len(command.Assignments)+len(command.SetPhase)+len(command.Forget) == 0 {
		return
	}
	for _, one := range command.Assignments {
		_ = k.host.logger.Log("event", "keys-assigned", "service", one.Service, "from", one.Keys.From, "to", one.Keys.To,
			"owner", one.Owner.ID, "born", one.Owner.StartMillis, "was", one.ExpectedToken)
	}
	k.insist(command)
}

// insist proposes a command until its outcome is known, or the leadership is over. As long as it is not known, the keys
// may or may not have another owner, and none may be sent a grant.
func (k *keeper) insist(command realm.Command) {
	ctx := k.tomb.Context(context.Background())
	for ctx.Err() == nil && k.host.Status(time.Now()).Ballot == k.ballot {
		err := k.host.propose(ctx, k.ballot, command)
		if err == nil {
			return
		}
		_ = k.host.logger.Log("event", "command", "outcome", "unknown", "reason", err)
		pause.For(ctx, freeGap)
	}
}

// settle ends the time in which keys that were assigned are sent to nobody.
func (k *keeper) settle(assigned []realm.Assignment) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, one := range assigned {
		delete(k.moving, move{one.Service, one.Keys})
	}
}

func (k *keeper) planService(now time.Time, known []*realm.Upstream, service string, ranges realm.Ranges) keyed.Plan {
	if len(ranges) == 0 && now.Sub(k.joined) < settleTime {
		return keyed.Plan{} // upstreams are still joining, and keys that are granted once need not move later
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	var upstreams []keyed.Upstream
	speeds, bias := k.host.speedsOf(now, known, service)
	for _, u := range known {
		if u.Service != service {
			continue
		}
		heard := k.host.lastHeard(u.Instance, k.began)
		isStuck, failing := k.book.IsUnresponsive(now, u.Instance, heard), k.book.FailingFor(now, u.Instance)
		k.tellStuck(now, u.Instance, isStuck && !u.Ended, failing, heard)
		upstreams = append(upstreams, keyed.Upstream{
			Instance: u.Instance, Zone: u.Zone, Capacity: keyed.Capacity(float64(u.Concurrency), speeds[u.ID], bias), Failing: failing,
			IsReady:            u.Phase == realm.Ready && failing == 0 && now.Sub(heard) < k.host.lostAfter(),
			IsEnded:            u.Ended,
			IsUnresponsive:     isStuck,
			ReleaseIsImmediate: k.book.ReleaseIsImmediate(now, u.Instance),
			IsDraining:         u.Phase == realm.Draining || u.Phase == realm.Gone,
		})
	}
	planner := k.planners[service]
	if planner == nil {
		planner = keyed.NewPlanner(service)
		k.planners[service] = planner
	}
	k.host.mu.Lock()
	loads := *k.host.loadsOf(service)
	k.host.mu.Unlock()
	plan := planner.Plan(now, ranges, upstreams, &loads,
		func(life realm.Instance) bool { return k.book.GrantsExpired(now, life) },
		func(keys realm.KeyRange) bool { return k.isMoving(service, keys) })
	for _, one := range plan.Assignments {
		k.moving[move{service, one.Keys}] = true // their former owner is free of them, and is sent no grant from now on
	}
	return plan
}

func (k *keeper) task(life realm.Instance) *granting {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tasks[life]
}
