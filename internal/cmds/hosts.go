package cmds

import (
	"context"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"lovagelink.example/lovagelink/internal/clock"
	"lovagelink.example/lovagelink/internal/core"
	"lovagelink.example/lovagelink/internal/event"
	"lovagelink.example/lovagelink/internal/front"
	"lovagelink.example/lovagelink/internal/logs"
	"lovagelink.example/lovagelink/internal/meter"
	"lovagelink.example/lovagelink/internal/oper"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/site"
	"lovagelink.example/lovagelink/platform"
)

// Use of memory: the collector runs when the heap has grown by half, and harder near the limit of the host, of which a
// part is left for what the collector does not count.
const (
	heapGrowth  = 50  // percent
	heapShare   = 0.7 // of the memory of the host
	linesPerSec = 50  // of the log, above which lines are dropped and counted
)

// process is what every process of a deployment has.
type process struct {
	site   site.Host
	path   string // of the settings
	writer *logs.Writer
	line   *event.Timeline
	logger log.Logger
}

// perRequest are the events that come with requests and heartbeats, too many for the time line.
var perRequest = []string{"request", "attempt-lost", "attempt-misled", "upstream-unreachable", "answer-broken-off", "heartbeat"}

// openProcess reads the settings of a process and sets up its log and its use of memory.
func openProcess(role string) (*process, error) {
	signal.Ignore(syscall.SIGHUP) // until the settings are watched
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return nil, usageError{platform.SettingsVariable + " is not set; it must name the file with the settings of this process"}
	}
	host, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(heapGrowth)
	if host.Memory > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(host.Memory)))
	}
	p := &process{site: host, path: path, writer: logs.NewWriter(os.Stdout), line: event.NewTimeline(host.Name, &event.Clock{})}
	p.logger = logs.Limit(log.With(logs.New(p.writer), "host", host.Name, "role", role), p.writer, linesPerSec)
	p.logger = event.Logger(p.line, p.logger, perRequest...)
	_ = p.logger.Log("event", "start", "zone", host.Zone, "first", host.Bootstrap, "seeds", len(host.Seeds))
	return p, nil
}

// told is what a process tells operators.
type told interface {
	Metrics() (counts, gauges []meter.Metric)
	Overview(now time.Time) oper.Status
}

// serveOperators serves the numbers, the state and the events of a process on a port of its host until ctx ends;
// measure gets the meter.
func (p *process) serveOperators(ctx context.Context, port uint16, of told, measure func(*meter.Meter)) error {
	if port == 0 {
		return nil
	}
	counts, gauges := of.Metrics()
	counts = append(counts, meter.Metric{
		Name: "lines-dropped", Help: "lines of the log that were dropped", Read: func(time.Time) int64 { return p.writer.Dropped() },
	})
	m, err := meter.New(counts, gauges)
	if err != nil {
		return err
	}
	if measure != nil {
		measure(m)
	}
	listener, err := net.Listen("tcp", netip.AddrPortFrom(p.site.IP, port).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: oper.NewHandler(m, of.Overview, p.line), ReadHeaderTimeout: controlLimit}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // a scrape that is cut off comes again
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = p.logger.Log("event", "metrics-ended", "reason", err)
		}
	}()
	return nil
}

// close logs the end and writes what is queued.
func (p *process) close(began time.Time, err error) {
	_ = p.logger.Log("event", "stop", "ran", time.Since(began).Round(time.Millisecond), "reason", err)
	p.writer.Stop()
}

// runFront carries traffic until ctx ends.
func runFront(ctx context.Context, metrics uint16) (err error) {
	began := time.Now()
	p, err := openProcess("entry")
	if err != nil {
		return err
	}
	defer func() { p.close(began, err) }()
	if !p.site.Callers.IsValid() || !p.site.ReadinessAddress.IsValid() || len(p.site.Seeds) == 0 {
		return trace.BadParameter("an entry host needs an address for callers, one for the balancer, and seeds")
	}
	hub := peer.NewDynamic(peer.TCP{}, p.site.Name, netip.AddrPort{})
	hub.SetPingDelay(front.FollowTime)
	if err := hub.Start(); err != nil {
		return err
	}
	defer hub.Stop()
	f := front.New(p.site, hub, platform.Headers{}, p.logger)
	if err := f.Start(); err != nil {
		return err
	}
	if err := p.serveOperators(ctx, metrics, f, f.SetMeter); err != nil {
		return err
	}
	reload(ctx, p.logger, p.path, f.Reload)
	<-ctx.Done()
	_ = p.logger.Log("event", "stopping", "reason", "signal")
	f.Stop(time.Now())
	return nil
}

// controlLimit is how long a call to the control address may take to arrive.
const controlLimit = 5 * time.Second

// controlStop is how long calls under way may take to end.
const controlStop = 500 * time.Millisecond

func controlCommand() command {
	var metrics uint
	return command{
		name:    "control",
		short:   "run a control host, by the settings that " + platform.SettingsVariable + " names",
		usage:   "control [--metrics PORT]",
		example: "control --metrics 9464",
		flags: func(flags *flag.FlagSet) {
			flags.UintVar(&metrics, "metrics", 0, "port for metrics; 0 for none")
		},
		run: func(ctx context.Context, _ []string, _ io.Writer) error { return runControl(ctx, uint16(metrics)) },
	}
}

// runControl runs a control host until ctx ends.
func runControl(ctx context.Context, metrics uint16) (err error) {
	began := time.Now()
	p, err := openProcess("control")
	if err != nil {
		return err
	}
	defer func() { p.close(began, err) }()
	if !p.site.Control.IsValid() || p.site.DataFolder == "" {
		return trace.BadParameter("a control host needs an address for the operator and a data folder")
	}
	hub := peer.NewDynamic(peer.TCP{}, p.site.PeerName(p.site.Control), p.site.PeerAddress(p.site.Control))
	host, err := core.New(time.Now(), p.site, hub, func() core.UpstreamClient { return platform.NewGrantClient() }, clock.New(), p.logger)
	if err != nil {
		return err
	}
	if err := hub.Start(); err != nil {
		return err
	}
	defer hub.Stop()
	listener, err := net.Listen("tcp", p.site.Control.String())
	if err != nil {
		return err
	}
	host.Start()
	defer host.Stop()
	if err := p.serveOperators(ctx, metrics, host, nil); err != nil {
		return err
	}
	reload(ctx, p.logger, p.path, host.Reload)
	server := &http.Server{Handler: platform.NewControl(host, p.logger), ReadHeaderTimeout: controlLimit}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	_ = p.logger.Log("event", "stopping", "reason", "signal")
	stopCtx, cancel := context.WithTimeout(context.Background(), controlStop)
	defer cancel()
	if err := server.Shutdown(stopCtx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return server.Close()
}
