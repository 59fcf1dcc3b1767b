package entry

import (
	"net/http"
	"net/netip"
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
	"lovagelink.example/lovagelink/pkg/walog"
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
	settings    conf.Host
	network     peer.Network
	logger      log.Logger
	zones       map[string]string
	line        *event.Timeline
	hub         *peer.Endpoint
	feed        *state.Store
	leader      *ctrl.Controller // nil without a replica
	client      *ctrl.Client
	zoneLease   *zoneLease
	book        *disp.DedupTable
	disps       *disp.Set
	attempts    *attempts
	hop         *hop
	hopsIn      atomic.Int64 // requests of other hosts under way here
	retries     *budget
	told        *told
	heard       *heard
	stats       Stats
	dispatch    disp.Stats
	metrics     *metrics
	tomb        tomb.Tomb
	leaving     chan struct{}
	began       time.Time
	incarnation string      // of this life of the host
	restored    atomic.Bool // the book holds all that other hosts knew

	mu      sync.Mutex
	servers []*http.Server
}

// New returns the host that the settings describe; Start sets it to work.
func New(now time.Time, settings conf.Host, network peer.Network, logger log.Logger, disk ...walog.Option) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	h := &Host{
		settings:    settings,
		network:     network,
		logger:      log.With(logger, "host", settings.Name),
		zones:       make(map[string]string),
		feed:        state.NewStore(),
		book:        disp.NewDedupTable(),
		attempts:    newAttempts(),
		retries:     newBudget(),
		told:        newTold(),
		heard:       newHeard(),
		leaving:     make(chan struct{}),
		began:       now,
		incarnation: newToken(),
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
	if err := h.openReplica(now, disk); err != nil {
		return nil, err
	}
	clock := &event.Clock{}
	h.line = event.NewTimeline(settings.Name, clock)
	h.zoneLease = &zoneLease{host: h}
	var follow ctrl.Sources
	follow.Preferred, follow.Fallbacks = sourcesOf(settings.Name, settings.Zone, settings.Hosts)
	h.client = ctrl.NewClient(settings.Name, h.hub, h.feed, replicasNear(settings.Zone, settings.Hosts), follow, &reporter{h}, clock)
	h.disps = disp.NewSet(h.feed, h.incarnation, disp.Deps{
		Host: settings.Name, Network: network, Lease: h.client, ZoneLease: h.zoneLease, Recorder: witness{h}, HistorySource: h,
		Offloader: h, Control: h, Dedup: h.book, Stats: &h.dispatch,
	})
	h.serveHosts()
	metrics, err := newMetrics(h)
	if err != nil {
		return nil, trace.Wrap(err, "metrics")
	}
	h.metrics = metrics
	return h, nil
}

// openReplica opens the data folder when this host holds a replica of the log.
func (h *Host) openReplica(now time.Time, disk []walog.Option) error {
	self, _ := h.settings.Self()
	if !self.Replica {
		return nil
	}
	setup := paxos.Config{
		Name: h.settings.Name, Folder: h.settings.DataFolder,
		InitialMembers: h.settings.Replicas(), Timing: paxos.DefaultTiming(),
	}
	leader, err := ctrl.NewController(now, setup, h.hub, h.feed, disk...)
	if err != nil {
		return trace.Wrap(err, "data-folder %s", h.settings.DataFolder)
	}
	h.leader = leader
	return nil
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
	case <-h.leader.Done():
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
