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
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// Front is one host that carries traffic.
type Front struct {
	site    site.Host
	hub     *peer.Endpoint
	codec   Codec
	logger  log.Logger
	server  *http1.Server
	tomb    tomb.Tomb
	view    atomic.Pointer[View]
	drains  atomic.Bool
	inTouch atomic.Bool // with a control host that hears from the leader
	refuses atomic.Bool // requests, since they would not end before this host does
	stats   stats
	meter   atomic.Pointer[meter.Meter]

	mu        sync.Mutex
	changed   chan struct{} // closes when the view changes
	upstreams map[realm.Instance]*upstream
	splits    map[string]*route.Split
	budgets   map[string]*admit.RetryBudget
	counts    map[string]map[int]int // requests by service and part of the keys since the last report
	hosts     int                    // that carry traffic
	sources   *sources
}

// hostsAtFirst is how many hosts share what is allowed to all, until the leader has told.
const hostsAtFirst = 16

// New returns a host that has not started.
func New(host site.Host, hub *peer.Endpoint, codec Codec, logger log.Logger) *Front {
	f := &Front{
		site: host, hub: hub, codec: codec, logger: logger,
		changed: make(chan struct{}), upstreams: make(map[realm.Instance]*upstream),
		splits: make(map[string]*route.Split), budgets: make(map[string]*admit.RetryBudget),
		counts: make(map[string]map[int]int), hosts: hostsAtFirst,
	}
	f.view.Store(&View{})
	hash := fnv.New32a()
	hash.Write([]byte(host.Name))
	f.sources = newSources(host.Zone, int(hash.Sum32()%97), seedNames(host))
	f.server = http1.NewServer(f.serve, f.limits)
	return f
}

// Start listens and begins to follow the control hosts.
func (f *Front) Start() error {
	callers, err := net.Listen("tcp", f.site.Callers.String())
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", f.site.ReadinessAddress.String())
	if err != nil {
		return errors.Join(err, callers.Close())
	}
	readiness := &http.Server{Handler: http.HandlerFunc(f.serveReady), ReadHeaderTimeout: readyLimit}
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
	return nil
}

// readyLimit bounds how long a question whether this host is ready may take to arrive.
const readyLimit = 2 * time.Second

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether this host takes callers: it knows a configuration and is not stopping. One that is cut off
// from the control hosts goes on with what it knows.
func (f *Front) isReady() bool {
	return f.view.Load().Table != nil && !f.drains.Load()
}

// Defaults until a configuration is known.
var firstLimits = http1.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTime: 3 * time.Second, IdleTime: 15 * time.Second}

func (f *Front) limits() http1.Limits {
	table := f.view.Load().Table
	if table == nil {
		return firstLimits
	}
	l := firstLimits
	set := table.Config.Limits
	if set.HeaderBytes > 0 {
		l.HeaderBytes = set.HeaderBytes
	}
	if set.BodyBytes > 0 {
		l.BodyBytes = set.BodyBytes
	}
	if set.HeaderTime > 0 {
		l.HeaderTime = set.HeaderTime
	}
	if set.IdleTime > 0 {
		l.IdleTime = set.IdleTime
	}
	return l
}

func seedNames(host site.Host) (names []string) {
	for _, seed := range host.Seeds {
		names = append(names, host.PeerName(seed))
	}
	return names
}

// Reload takes in changed settings: the control hosts that the seeds name are added to those that are known.
func (f *Front) Reload(host site.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range seedNames(host) {
		f.sources.add(core.Member{Name: name})
	}
}

// Stopping: the balancer needs two misses, a second apart, to send new connections elsewhere; requests under way end
// before the time in which the process must have ended.
const (
	leaveRotation = 2600 * time.Millisecond
	lastRequests  = 400 * time.Millisecond // in which open connections still bring some; later ones would not end in time
	stopMargin    = 700 * time.Millisecond
	stopGap       = 100 * time.Millisecond
)

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitIdle waits until no request is under way, at the longest until last.
func (f *Front) awaitIdle(ctx context.Context, last time.Time) {
	for time.Now().Before(last) {
		f.server.CloseIdle()
		if _, busy := f.server.Count(); busy == 0 {
			return
		}
		pause.For(ctx, stopGap)
	}
}

// Stop lets requests under way end and takes no new connections once the balancer sends none.
func (f *Front) Stop(now time.Time) {
	f.drains.Store(true)
	f.server.Drain()
	ctx := context.Background()
	pause.For(ctx, min(leaveRotation, f.site.Bounds.Grace/2))
	last := now.Add(f.site.Bounds.Grace - stopMargin)
	f.awaitIdle(ctx, earlier(last, now.Add(leaveRotation+lastRequests)))
	f.refuses.Store(true)
	f.awaitIdle(ctx, last)
	f.server.DiscardNew() // behind this no request begins that the end of the process would cut
	f.awaitIdle(ctx, last)
	f.tomb.Kill(nil)
	_ = f.tomb.Wait()
}
