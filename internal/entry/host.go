package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"
	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/event"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/paxos"
	"lovagelink.example/lovagelink/pkg/place"
)

// stopPatience bounds how long a stopping host waits for its requests to end.
const stopPatience = 15 * time.Second

// readyPath is where the platform's balancer asks whether to send callers to this host.
const readyPath = "/lovagelink/ready"

// Periods of the start and the stop of a host.
const (
	stateMaxWait    = 3 * time.Second
	stateCheckPause = 20 * time.Millisecond
	leavePeriod     = time.Second // in which callers' connections are closed after an answer
)

// headerTimeout bounds how long a connection may take to send the head of a request.
const headerTimeout = 10 * time.Second

// Host is one entry host.
type Host struct {
	settings  conf.Host
	network   peer.Network
	logger    log.Logger
	zones     map[string]string
	line      *event.Line
	hub       *peer.Hub
	feed      *state.Feed
	leader    *ctrl.Leader // nil without a replica
	client    *ctrl.Client
	zoneLease *zoneLease
	book      *disp.Book
	disps     *disp.Set
	attempts  *attempts
	hop       *hop
	hopsIn    atomic.Int64 // requests of other hosts under way here
	retries   *budget
	heard     *heard
	stats     Stats
	dispatch  disp.Stats
	tomb      tomb.Tomb
	leaving   chan struct{}
	began     time.Time
	restored  atomic.Bool // the book holds all that other hosts knew

	mu      sync.Mutex
	servers []*http.Server
}

// New returns the host that the settings describe; Start sets it to work.
func New(now time.Time, settings conf.Host, network peer.Network, logger log.Logger) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	h := &Host{
		settings: settings,
		network:  network,
		logger:   log.With(logger, "host", settings.Name),
		zones:    make(map[string]string),
		feed:     state.NewFeed(),
		book:     disp.NewBook(),
		attempts: newAttempts(),
		retries:  newBudget(),
		heard:    newHeard(),
		leaving:  make(chan struct{}),
		began:    now,
	}
	addresses := make(map[string]netip.AddrPort)
	forwards := make(map[string]netip.AddrPort)
	for _, other := range settings.Hosts {
		addresses[other.Name] = other.Address
		forwards[other.Name] = other.Forward
		h.zones[other.Name] = other.Zone
	}
	h.hop = newHop(network, forwards)
	h.hub = peer.New(network, settings.Name, addresses)
	if err := h.openReplica(now); err != nil {
		return nil, err
	}
	clock := &event.Clock{}
	h.line = event.NewLine(settings.Name, clock)
	h.zoneLease = &zoneLease{host: h}
	incarnation := newToken()
	h.client = ctrl.NewClient(settings.Name, h.hub, h.feed, h.nearestReplicas(), h.sources(), &reporter{h, incarnation}, clock)
	h.disps = disp.NewSet(h.feed, incarnation, disp.Deps{
		Host: settings.Name, Network: network, Lease: h.client, ZoneLease: h.zoneLease, Witness: witness{h}, Historian: h,
		Control: h, Book: h.book, Stats: &h.dispatch,
	})
	h.serveHosts()
	return h, nil
}

// openReplica opens the data folder when this host holds a replica of the log.
func (h *Host) openReplica(now time.Time) error {
	self, _ := h.settings.Self()
	if !self.Replica {
		return nil
	}
	setup := paxos.Setup{
		Name: h.settings.Name, Folder: h.settings.DataFolder,
		Founders: h.settings.Replicas(), Timing: paxos.DefaultTiming(),
	}
	leader, err := ctrl.NewLeader(now, setup, h.settings.Zone, h.hub, h.feed)
	if err != nil {
		return trace.Wrap(err, "data-folder %s", h.settings.DataFolder)
	}
	h.leader = leader
	return nil
}

// sources lists whom this host follows, the preferred one first: a replica of the own zone, or the
// zone's relay, so that the replicas do not serve every host of a large zone.
func (h *Host) sources() []string {
	replicas := h.nearestReplicas()
	if len(replicas) > 0 && h.zones[replicas[0]] == h.settings.Zone {
		return replicas
	}
	var near []string
	for host, zone := range h.zones {
		if zone == h.settings.Zone {
			near = append(near, host)
		}
	}
	relay := place.Best(h.settings.Zone, near)
	if relay == h.settings.Name {
		return replicas
	}
	return append([]string{relay}, replicas...)
}

// nearestReplicas lists the replicas, those of the own zone first.
func (h *Host) nearestReplicas() []string {
	replicas := h.settings.Replicas()
	slices.SortStableFunc(replicas, func(a, b string) int {
		return rankZone(h.zones[a], h.settings.Zone) - rankZone(h.zones[b], h.settings.Zone)
	})
	return replicas
}

func rankZone(zone, own string) int {
	if zone == own {
		return 0
	}
	return 1
}

// Start opens the addresses of the host and joins the others.
func (h *Host) Start() error {
	if err := h.hub.Start(); err != nil {
		return trace.Wrap(err, "address for other hosts; is another process using it?")
	}
	if h.leader != nil {
		h.leader.Start()
		h.tomb.Go(h.watchReplica)
	}
	h.client.Start()
	h.disps.Start()
	if err := h.openDoors(); err != nil {
		h.Kill()
		return err
	}
	h.tomb.Go(h.watchState)
	h.tomb.Go(h.openCallers)
	h.tomb.Go(h.zoneLease.run)
	h.note("host-started", "", "")
	return nil
}

// openDoors opens the addresses for upstreams and operators, and makes sure that the one for
// callers is free.
func (h *Host) openDoors() error {
	if err := h.open(h.settings.Upstreams, h.upstreamMux()); err != nil {
		return trace.Wrap(err, "address for upstreams; is another process using it?")
	}
	if err := h.openForward(); err != nil {
		return trace.Wrap(err, "address for forwarded requests; is another process using it?")
	}
	operators, err := h.operatorMux()
	if err != nil {
		return trace.Wrap(err, "metrics")
	}
	if err := h.open(h.settings.Operators, operators); err != nil {
		return trace.Wrap(err, "address for operators; is another process using it?")
	}
	listener, err := h.network.Listen(h.settings.Callers)
	if err != nil {
		return trace.Wrap(err, "address for callers; is another process using it?")
	}
	return listener.Close()
}

// openForward takes the requests of other hosts to the dispatchers here.
func (h *Host) openForward() error {
	self, _ := h.settings.Self()
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post(hopPath), h.serveRun)
	return h.open(self.Forward, mux)
}

// openCallers opens the address for callers once this host knows what the leader knows. A host that
// is cut off from the leader serves from what it has after a while.
func (h *Host) openCallers() error {
	began := time.Now()
	for h.tomb.Alive() && !h.isLeaving() {
		hasWaited := time.Since(began) > stateMaxWait && h.hasConfig()
		if h.client.IsCurrent() || hasWaited {
			h.restored.Store(h.restoreBook(h.tomb.Context(context.Background())))
			return h.open(h.settings.Callers, h)
		}
		timer := time.NewTimer(stateCheckPause)
		select {
		case <-timer.C:
		case <-h.tomb.Dying():
		}
		timer.Stop()
	}
	return nil
}

func (h *Host) hasConfig() bool {
	has := false
	h.feed.Read(func(s *state.State) { has = s.Version > 0 })
	return has
}

func (h *Host) isLeaving() bool {
	select {
	case <-h.leaving:
		return true
	default:
		return false
	}
}

// serveReady tells the platform's balancer whether to send callers here.
func (h *Host) serveReady(w http.ResponseWriter) {
	if h.isLeaving() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) open(address netip.AddrPort, handler http.Handler) error {
	listener, err := h.network.Listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.tomb.Alive() {
		return listener.Close()
	}
	h.servers = append(h.servers, server)
	h.tomb.Go(func() error { return serve(server, listener) })
	return nil
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Stop ends the host without cutting a request: its roles go to other hosts, then what is under
// way ends, then the links close.
func (h *Host) Stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, stopPatience)
	defer cancel()
	h.note("host-stopping", "", "")
	close(h.leaving)
	h.client.Nudge()
	h.awaitNoRoles(ctx)
	awaitPeriod(ctx, leavePeriod)
	h.handOverBook(ctx)
	for _, server := range h.doors() {
		_ = server.Shutdown(ctx)
	}
	h.Kill()
}

func (h *Host) doors() []*http.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.servers)
}

// awaitNoRoles waits until other hosts have taken over and the work here has ended.
func (h *Host) awaitNoRoles(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		now := time.Now()
		hasLease := now.Before(h.client.LeaseUntil())
		hasNoRoles := len(h.disps.Health(now)) == 0 || !hasLease || h.isLastHost()
		if hasNoRoles && h.hopsIn.Load() == 0 && h.disps.Busy(now) == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func awaitPeriod(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isLastHost reports whether no other host is left to take over.
func (h *Host) isLastHost() bool {
	others := 0
	h.feed.Read(func(s *state.State) {
		for name, host := range s.Hosts {
			if host.Up && name != h.settings.Name {
				others++
			}
		}
	})
	return others == 0
}

// Kill ends the host at once, as a crash would.
func (h *Host) Kill() {
	h.tomb.Kill(nil)
	for _, server := range h.doors() {
		_ = server.Close()
	}
	h.disps.Stop()
	h.client.Stop()
	if h.leader != nil {
		h.leader.Stop()
	}
	h.hub.Stop()
	h.hop.client.CloseIdleConnections()
}

// watchState notes changes of the state in the time line.
func (h *Host) watchState() error {
	previous := newView()
	for {
		changed := h.feed.Changed()
		next := viewOf(h.feed)
		for _, change := range next.since(previous) {
			h.note(change.kind, change.subject, change.detail)
		}
		previous = next
		select {
		case <-changed:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

// watchReplica notes when the replica of this host ends by itself.
func (h *Host) watchReplica() error {
	select {
	case <-h.tomb.Dying():
	case <-h.leader.Dead():
		if err := h.leader.Err(); err != nil {
			h.note("replica-failed", h.settings.Name, oneLine(err.Error()))
		}
	}
	return nil
}

// note adds an event to the time line and a line to the log.
func (h *Host) note(kind, subject, detail string) {
	h.line.Add(time.Now(), kind, subject, detail)
	_ = h.logger.Log("event", kind, "subject", subject, "detail", detail)
}

// upstreamMux serves upstreams that announce themselves.
func (h *Host) upstreamMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/lovagelink/announce"), h.serveAnnounce)
	return mux
}

func lostReport(upstream string, epoch uint64) ctrl.LostReport {
	return ctrl.LostReport{Upstream: upstream, Epoch: epoch}
}

func releasedSlots(service string, slots map[int]uint64) []ctrl.Released {
	var released []ctrl.Released
	for slot, epoch := range slots {
		released = append(released, ctrl.Released{Service: service, Slot: slot, Epoch: epoch})
	}
	slices.SortFunc(released, func(a, b ctrl.Released) int { return a.Slot - b.Slot })
	return released
}
