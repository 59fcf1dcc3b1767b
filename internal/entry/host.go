package entry

import (
	"context"
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

// stopTimeout bounds how long a stopping host waits for its roles to move and its requests to end.
const stopTimeout = 15 * time.Second

// closingTime is how long before the end of stopTimeout the requests in progress are responded to, whatever their state.
const closingTime = time.Second

// readyPath is the path of the readiness check of the platform's load balancer.
const readyPath = "/lovagelink/ready"

// Timing of the start and the stop of a host.
const (
	catchUpTimeout      = 3 * time.Second
	catchUpPollInterval = 20 * time.Millisecond
	connDrainPeriod     = time.Second // time in which callers' connections are closed after a response
)

// headerTimeout bounds how long a connection may take to send the header of a request.
const headerTimeout = 10 * time.Second

// Host is an entry host.
type Host struct {
	settings       conf.Host
	network        peer.Network
	logger         log.Logger
	zones          map[string]string
	timeline       *event.Timeline
	endpoint       *peer.Endpoint
	store          *state.Store
	controller     *ctrl.Controller // nil without a replica
	client         *ctrl.Client
	zoneLease      *zoneLease
	dedup          *disp.DedupTable
	dispatchers    *disp.Set
	attempts       *attempts
	remote         *dispatcherClient
	remoteRequests atomic.Int64 // requests in progress here that other hosts forwarded
	retryBudget    *retryBudget
	estimates      *estimateCache
	announcements  *announcements
	stats          Stats
	dispatchStats  disp.Stats
	metrics        *metrics
	tomb           tomb.Tomb
	leaving        chan struct{}
	closing        context.Context    // ends when the requests in progress have to be responded to at once
	endRequests    context.CancelFunc // ends closing
	startTime      time.Time
	incarnation    string      // identifies this run of the host
	dedupRestored  atomic.Bool // dedup holds every record that other hosts share with this host

	mu      sync.Mutex
	servers []*http.Server
}

// New returns a host with the given settings; Start starts it.
func New(now time.Time, settings conf.Host, network peer.Network, logger log.Logger, walOptions ...walog.Option) (*Host, error) {
	if err := settings.Check(); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	h := &Host{
		settings:      settings,
		network:       network,
		logger:        log.With(logger, "host", settings.Name),
		zones:         make(map[string]string),
		store:         state.NewStore(),
		dedup:         disp.NewDedupTable(),
		attempts:      newAttempts(),
		retryBudget:   newRetryBudget(),
		estimates:     newEstimateCache(),
		announcements: newAnnouncements(),
		leaving:       make(chan struct{}),
		startTime:     now,
		incarnation:   newToken(),
	}
	h.closing, h.endRequests = context.WithCancel(context.Background())
	addresses := make(map[string]netip.AddrPort)
	forwards := make(map[string]netip.AddrPort)
	for _, other := range settings.Hosts {
		addresses[other.Name] = other.Address
		forwards[other.Name] = other.Forward
		h.zones[other.Name] = other.Zone
	}
	h.remote = newDispatcherClient(network, forwards)
	h.endpoint = peer.New(network, settings.Name, addresses)
	if err := h.openReplica(now, walOptions); err != nil {
		return nil, err
	}
	clock := &event.Clock{}
	h.timeline = event.NewTimeline(settings.Name, clock)
	h.zoneLease = &zoneLease{host: h}
	var sources ctrl.Sources
	sources.Preferred, sources.Fallbacks = sourcesOf(settings.Name, settings.Zone, settings.Hosts)
	h.client = ctrl.NewClient(settings.Name, h.endpoint, h.store, replicasNear(settings.Zone, settings.Hosts), sources,
		&reporter{h}, clock)
	h.dispatchers = disp.NewSet(h.store, h.incarnation, disp.Deps{
		Host: settings.Name, Network: network, Lease: h.client, ZoneLease: h.zoneLease, Recorder: recorder{h},
		HistorySource: h, Offloader: h, Control: h, Dedup: h.dedup, Stats: &h.dispatchStats,
		LargeResponses: disp.NewLargeResponses(),
	})
	h.serveHosts()
	metrics, err := newMetrics(h)
	if err != nil {
		return nil, trace.Wrap(err, "create metrics")
	}
	h.metrics = metrics
	return h, nil
}

// openReplica opens the data folder if this host is a replica of the log.
func (h *Host) openReplica(now time.Time, walOptions []walog.Option) error {
	self, _ := h.settings.Self()
	if !self.Replica {
		return nil
	}
	config := paxos.Config{
		Name: h.settings.Name, Folder: h.settings.DataFolder,
		InitialMembers: h.settings.Replicas(), Timing: paxos.DefaultTiming(),
	}
	controller, err := ctrl.NewController(now, config, h.endpoint, h.store, walOptions...)
	if err != nil {
		return trace.Wrap(err, "open the replica in data-folder %s", h.settings.DataFolder)
	}
	h.controller = controller
	return nil
}

// Start starts the host's servers and connects it to the other hosts.
func (h *Host) Start() error {
	if err := h.endpoint.Start(); err != nil {
		return trace.Wrap(err, "listen on the address for other hosts; is another process using it?")
	}
	if h.controller != nil {
		h.controller.Start()
		h.tomb.Go(h.watchReplica)
	}
	h.client.Start()
	h.dispatchers.Start()
	if err := h.openListeners(); err != nil {
		h.Kill()
		return err
	}
	h.tomb.Go(h.watchState)
	h.tomb.Go(h.openCallerListener)
	h.tomb.Go(h.zoneLease.run)
	h.recordEvent("host-started", "", "")
	return nil
}

// watchState records changes of the state in the timeline.
func (h *Host) watchState() error {
	previous := newView()
	for {
		changed := h.store.Changed()
		next := viewOf(h.store)
		for _, change := range next.changesSince(previous) {
			h.recordEvent(change.kind, change.subject, change.detail)
		}
		previous = next
		select {
		case <-changed:
		case <-h.tomb.Dying():
			return nil
		}
	}
}

// watchReplica records a failure that stops the replica of this host.
func (h *Host) watchReplica() error {
	select {
	case <-h.tomb.Dying():
	case <-h.controller.Done():
		if err := h.controller.Err(); err != nil {
			h.recordEvent("replica-failed", h.settings.Name, oneLine(err.Error()))
		}
	}
	return nil
}

// recordEvent adds an event to the timeline and a line to the log.
func (h *Host) recordEvent(kind, subject, detail string) {
	h.timeline.Add(time.Now(), kind, subject, detail)
	_ = h.logger.Log("event", kind, "subject", subject, "detail", detail)
}

// upstreamMux serves the announcements of upstreams.
func (h *Host) upstreamMux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Post("/lovagelink/announce"), h.serveAnnounce)
	return mux
}
