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

// The garbage collector runs when the heap has grown by half, and more often near the memory limit. The limit leaves a
// part of the host's memory for what the collector does not count.
const (
	heapGrowthPercent = 50
	memoryLimitShare  = 0.7 // fraction of the host's memory
	maxLinesPerSecond = 50  // log lines above this rate are dropped and counted
)

// process holds the settings, the log and the timeline of one process of a deployment on the users' platform.
type process struct {
	site         site.Host
	settingsPath string
	logWriter    *logs.Writer
	timeline     *event.Timeline
	logger       log.Logger
}

// frequentEvents are logged but kept out of the timeline, since there is one for each request or heartbeat.
var frequentEvents = []string{"request", "attempt-lost", "attempt-misled", "upstream-unreachable", "answer-broken-off", "heartbeat"}

// openProcess reads the settings of a process and sets up its log and its memory limit.
func openProcess(role string) (*process, error) {
	signal.Ignore(syscall.SIGHUP) // SIGHUP must not end the process before reload handles it
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return nil, usageError{platform.SettingsVariable + " is not set; it must name the file with the settings of this process"}
	}
	host, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(heapGrowthPercent)
	if host.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(host.Memory)))
	}
	p := &process{site: host, settingsPath: path, logWriter: logs.NewWriter(os.Stdout), timeline: event.NewTimeline(host.Name, &event.Clock{})}
	p.logger = logs.Limit(log.With(logs.New(p.logWriter), "host", host.Name, "role", role), p.logWriter, maxLinesPerSecond)
	p.logger = event.Logger(p.timeline, p.logger, frequentEvents...)
	_ = p.logger.Log("event", "start", "zone", host.Zone, "first", host.Bootstrap, "seeds", len(host.Seeds))
	return p, nil
}

// monitored is a process that reports metrics and its status to operators.
type monitored interface {
	Metrics() (counters, gauges []meter.Metric)
	Overview(now time.Time) oper.Status
}

// serveOperators serves the metrics, the status and the events of a process on a port of its host until ctx ends. With
// port 0 it serves nothing. setMeter, if not nil, is called with the meter.
func (p *process) serveOperators(ctx context.Context, port uint16, source monitored, setMeter func(*meter.Meter)) error {
	if port == 0 {
		return nil
	}
	counters, gauges := source.Metrics()
	counters = append(counters, meter.Metric{
		Name: "lines-dropped", Help: "lines of the log that were dropped", Read: func(time.Time) int64 { return p.logWriter.Dropped() },
	})
	m, err := meter.New(counters, gauges)
	if err != nil {
		return err
	}
	if setMeter != nil {
		setMeter(m)
	}
	listener, err := net.Listen("tcp", netip.AddrPortFrom(p.site.IP, port).String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: oper.NewHandler(m, source.Overview, p.timeline), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() }) // the metrics collector repeats an interrupted scrape
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			_ = p.logger.Log("event", "metrics-ended", "reason", err)
		}
	}()
	return nil
}

// close logs the end of the process and writes the queued log lines.
func (p *process) close(start time.Time, err error) {
	_ = p.logger.Log("event", "stop", "ran", time.Since(start).Round(time.Millisecond), "reason", err)
	p.logWriter.Stop()
}

// runFront runs an entry host on the users' platform until ctx ends.
func runFront(ctx context.Context, metricsPort uint16) (err error) {
	start := time.Now()
	p, err := openProcess("entry")
	if err != nil {
		return err
	}
	defer func() { p.close(start, err) }()
	if !p.site.Callers.IsValid() || !p.site.ReadinessAddress.IsValid() || len(p.site.Seeds) == 0 {
		return trace.BadParameter("an entry host needs an address for callers, one for the balancer, and seeds")
	}
	endpoint := peer.NewDynamic(peer.TCP{}, p.site.Name, netip.AddrPort{})
	endpoint.SetPingDelay(front.FollowTime)
	if err := endpoint.Start(); err != nil {
		return err
	}
	defer endpoint.Stop()
	f := front.New(p.site, endpoint, platform.Headers{}, p.logger)
	if err := f.Start(); err != nil {
		return err
	}
	if err := p.serveOperators(ctx, metricsPort, f, f.SetMeter); err != nil {
		return err
	}
	reload(ctx, p.logger, p.settingsPath, f.Reload)
	<-ctx.Done()
	_ = p.logger.Log("event", "stopping", "reason", "signal")
	f.Stop(time.Now())
	return nil
}

// headerTimeout is the time within which the header of a request to the control address or the metrics port must
// arrive.
const headerTimeout = 5 * time.Second

func controlCommand() command {
	var metricsPort uint
	return command{
		name:    "control",
		short:   "run a control host with the settings file that " + platform.SettingsVariable + " names",
		usage:   "control [--metrics PORT]",
		example: "control --metrics 9464",
		flags: func(flags *flag.FlagSet) {
			flags.UintVar(&metricsPort, "metrics", 0, "port for metrics; 0 for none")
		},
		run: func(ctx context.Context, _ []string, _ io.Writer) error { return runControl(ctx, uint16(metricsPort)) },
	}
}

// runControl runs a control host on the users' platform until ctx ends.
func runControl(ctx context.Context, metricsPort uint16) (err error) {
	start := time.Now()
	p, err := openProcess("control")
	if err != nil {
		return err
	}
	defer func() { p.close(start, err) }()
	if !p.site.Control.IsValid() || p.site.DataFolder == "" {
		return trace.BadParameter("a control host needs an address for the operator and a data folder")
	}
	endpoint := peer.NewDynamic(peer.TCP{}, p.site.PeerName(p.site.Control), p.site.PeerAddress(p.site.Control))
	host, err := core.New(time.Now(), p.site, endpoint, func() core.UpstreamClient { return platform.NewGrantClient() }, clock.New(), p.logger)
	if err != nil {
		return err
	}
	if err := endpoint.Start(); err != nil {
		return err
	}
	defer endpoint.Stop()
	listener, err := net.Listen("tcp", p.site.Control.String())
	if err != nil {
		return err
	}
	host.Start()
	defer host.Stop()
	if err := p.serveOperators(ctx, metricsPort, host, nil); err != nil {
		return err
	}
	reload(ctx, p.logger, p.settingsPath, host.Reload)
	server, endRequests := newDrainable(platform.NewControl(host, p.logger))
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case <-ctx.Done():
	case err := <-served:
		endRequests()
		return err
	}
	_ = p.logger.Log("event", "stopping", "reason", "signal")
	host.Resign(context.Background(), time.Now())
	return drain(server, endRequests)
}
