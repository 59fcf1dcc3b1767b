package front

import (
	"context"
	"errors"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/admit"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/http1"
	"lovagelink.example/lovagelink/internal/meter"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/quota"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// Front is an entry host, which forwards the requests of callers to upstreams.
type Front struct {
	site            site.Host
	endpoint        *peer.Endpoint
	codec           Codec
	logger          log.Logger
	server          *http1.Server
	tomb            tomb.Tomb
	view            atomic.Pointer[View]
	draining        atomic.Bool
	followed        atomic.Value                   // name of the control host that is followed, a string
	hostsMark       uint64                         // of the list of control hosts that this host has; used by the task that follows only
	leaderReachable atomic.Bool                    // the followed control host is in contact with the leader
	refusing        atomic.Bool                    // new requests are refused, since they would not end before the process does
	shutdown        atomic.Pointer[admit.Shutdown] // nil until this host is stopped
	closing         context.Context                // ends when the requests in progress have to be responded to at once
	endRequests     context.CancelFunc             // ends closing
	stats           stats
	meter           atomic.Pointer[meter.Meter]
	unframed        chan struct{}       // holds an entry for each body that is held whole for its caller
	leavers         chan realm.Instance // upstreams that have said that they are leaving, to be reported

	mu        sync.Mutex
	changed   chan struct{} // is closed and replaced when the view changes
	upstreams map[realm.Instance]*upstream
	pools     map[string]*pool // by service
	splits    map[string]*route.Split
	budgets   map[string]*admit.RetryBudget
	keyCounts map[string]map[int]int // requests by service and key bucket since the last report
	hostCount int                    // number of entry hosts, which share the retry slack
	sources   *core.Sources

	countingHosts []quota.Host         // the control hosts according to the newest list
	uncountedAt   map[string]time.Time // when a control host could last not be asked, by name
	// Upstreams whose limit is to be reported, since it differs from that in the state.
	unreportedLimits map[realm.Instance]bool
}

// initialHostCount is the number of entry hosts that is assumed until the leader reports it.
const initialHostCount = 16

// New returns an entry host that has not started.
func New(host site.Host, endpoint *peer.Endpoint, codec Codec, logger log.Logger) *Front {
	f := &Front{
		site: host, endpoint: endpoint, codec: codec, logger: logger,
		changed: make(chan struct{}), leavers: make(chan realm.Instance, maxLeavers), unframed: make(chan struct{}, maxUnframed), upstreams: make(map[realm.Instance]*upstream),
		pools:  make(map[string]*pool),
		splits: make(map[string]*route.Split), budgets: make(map[string]*admit.RetryBudget),
		keyCounts: make(map[string]map[int]int), hostCount: initialHostCount,
		uncountedAt: make(map[string]time.Time), unreportedLimits: make(map[realm.Instance]bool),
	}
	f.closing, f.endRequests = context.WithCancel(context.Background())
	f.view.Store(&View{})
	hash := fnv.New32a()
	hash.Write([]byte(host.Name))
	f.sources = core.NewSources(host.Zone, int(hash.Sum32()%97), seedNames(host))
	f.server = http1.NewServer(f.serve, f.limits)
	return f
}

// Start listens for callers and begins to follow the control hosts.
func (f *Front) Start() error {
	// Deadlines find dead connections of callers, and each keep-alive option would cost a system call per connection.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	callers, err := listenConfig.Listen(context.Background(), "tcp", f.site.Callers.String())
	if err != nil {
		return err
	}
	ready, err := listenConfig.Listen(context.Background(), "tcp", f.site.ReadinessAddress.String())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	readiness := &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: readyHeaderTimeout}
	f.tomb.Go(func() error { return f.server.Serve(callers) })
	f.tomb.Go(func() error {
		if err := readiness.Serve(ready); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	f.tomb.Go(func() error {
		<-f.tomb.Dying()
		return errors.Join(callers.Close(), readiness.Close())
	})
	f.tomb.Go(f.follow)
	f.tomb.Go(f.report)
	f.tomb.Go(f.reportLeavers)
	return nil
}

// readyHeaderTimeout bounds how long the header of a readiness request may take to arrive.
const readyHeaderTimeout = 2 * time.Second

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether this host accepts callers: it has a configuration and is not stopping. A host that is cut off
// from the control hosts stays ready and works with its last view.
func (f *Front) isReady() bool {
	return f.view.Load().Table != nil && !f.draining.Load()
}

// defaultLimits apply until a configuration is received, and to each limit that the configuration leaves out.
var defaultLimits = http1.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

func (f *Front) limits() http1.Limits {
	table := f.view.Load().Table
	if table == nil {
		return defaultLimits
	}
	l := defaultLimits
	configured := table.Config.Limits
	if configured.HeaderBytes > 0 {
		l.HeaderBytes = configured.HeaderBytes
	}
	if configured.BodyBytes > 0 {
		l.BodyBytes = configured.BodyBytes
	}
	if configured.HeaderTime > 0 {
		l.HeaderTime = configured.HeaderTime
	}
	if configured.IdleTime > 0 {
		l.IdleTime = configured.IdleTime
	}
	return l
}

func seedNames(host site.Host) (names []string) {
	for _, seed := range host.Seeds {
		names = append(names, host.PeerName(seed))
	}
	return names
}

// Reload adds the control hosts that the seeds of changed settings name to the known ones.
func (f *Front) Reload(host site.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range seedNames(host) {
		f.sources.Add(core.Member{Name: name})
	}
}
