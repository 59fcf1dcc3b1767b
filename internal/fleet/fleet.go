package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/internal/conf"
	"lovagelink.example/lovagelink/internal/entry"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/walog"
)

// Group describes a number of upstreams with equal settings.
type Group struct {
	Service     string
	Count       int
	Concurrency int
	Keyed       bool
	ServiceTime time.Duration
	Warmup      time.Duration // time after the start during which requests take longer
	WarmupEvery int           // every WarmupEvery-th upstream starts cold; 0 means all
	ShedAbove   int           // concurrent requests at which further ones are refused; 0 means never
}

// Plan describes a deployment.
type Plan struct {
	Zones          []string
	Replicas       int // number of replicas, held by the first hosts; 0 means one for each zone
	Hosts          int // number of hosts, spread over the zones in turn
	Groups         []Group
	Folder         string
	VerifiesGrants bool                           // upstreams refuse requests without a valid grant
	Naive          bool                           // upstreams announce themselves to every host, as the naive router needs
	NextAddress    func() (netip.AddrPort, error) // returns an unused address
	Network        func(zone, name string) peer.Network
	Logger         log.Logger
	Disk           []walog.Option
}

// Fleet is a running deployment.
type Fleet struct {
	Hosts     []*entry.Host
	Settings  []conf.Host
	Upstreams []*upsim.Upstream
	IDs       []string // ids of Upstreams, by index
	Ledger    *upsim.Ledger
	plan      Plan
}

// Build creates the hosts and upstreams of a plan; Start starts them.
func Build(now time.Time, plan Plan) (*Fleet, error) {
	f := &Fleet{Ledger: &upsim.Ledger{}, plan: plan}
	if err := f.generateSettings(plan); err != nil {
		return nil, err
	}
	for i := range f.Settings {
		host, err := f.newHost(now, i)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, host)
	}
	return f, f.addUpstreams(now, plan)
}

func (f *Fleet) newHost(now time.Time, i int) (*entry.Host, error) {
	settings := f.Settings[i]
	return entry.New(now, settings, f.plan.Network(settings.Zone, settings.Name), f.plan.Logger, f.plan.Disk...)
}

// Restart replaces a killed or stopped host by a new instance with the same settings, and starts it.
func (f *Fleet) Restart(now time.Time, i int) error {
	host, err := f.newHost(now, i)
	if err != nil {
		return err
	}
	f.Hosts[i] = host
	return host.Start()
}

// generateSettings assigns names, zones and addresses to all hosts; the first plan.Replicas hosts hold a replica.
func (f *Fleet) generateSettings(plan Plan) error {
	replicas := plan.Replicas
	if replicas == 0 {
		replicas = len(plan.Zones)
	}
	var peers []conf.Peer
	for i := range plan.Hosts {
		address, err := plan.NextAddress()
		if err != nil {
			return err
		}
		forward, err := plan.NextAddress()
		if err != nil {
			return err
		}
		zone := plan.Zones[i%len(plan.Zones)]
		peers = append(peers, conf.Peer{
			Name: fmt.Sprintf("%s%d", zone, i/len(plan.Zones)+1), Zone: zone, Address: address, Forward: forward,
			Replica: i < replicas,
		})
	}
	for _, host := range peers {
		settings := conf.Host{Name: host.Name, Zone: host.Zone, Hosts: peers}
		for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Upstreams, &settings.Operators} {
			next, err := plan.NextAddress()
			if err != nil {
				return err
			}
			*address = next
		}
		if host.Replica {
			settings.DataFolder = filepath.Join(plan.Folder, host.Name)
		}
		f.Settings = append(f.Settings, settings)
	}
	return nil
}

func (f *Fleet) addUpstreams(now time.Time, plan Plan) error {
	for _, group := range plan.Groups {
		for i := range group.Count {
			address, err := plan.NextAddress()
			if err != nil {
				return err
			}
			zone := plan.Zones[i%len(plan.Zones)]
			settings := upsim.Settings{
				ID: fmt.Sprintf("%s-%02d", group.Service, i+1), Service: group.Service, Zone: zone,
				Address: address, Concurrency: group.Concurrency, Connections: 120, VerifiesGrants: plan.VerifiesGrants,
				Keyed: group.Keyed, ServiceTime: group.ServiceTime, ShedAbove: group.ShedAbove,
				AnswerBytes: 2048, Entries: f.upstreamAddresses(zone),
			}
			if i%max(group.WarmupEvery, 1) == 0 {
				settings.Warmup = group.Warmup
			}
			if plan.Naive {
				settings.Entries = f.allUpstreamAddresses()
				settings.AnnounceAll = true
			}
			f.IDs = append(f.IDs, settings.ID)
			f.Upstreams = append(f.Upstreams, upsim.New(now, settings, plan.Network(zone, settings.ID), f.Ledger))
		}
	}
	return nil
}

// upstreamAddresses returns the addresses at which the hosts of a zone serve upstreams.
func (f *Fleet) upstreamAddresses(zone string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, settings := range f.Settings {
		if settings.Zone == zone {
			addresses = append(addresses, settings.Upstreams)
		}
	}
	return addresses
}

func (f *Fleet) allUpstreamAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, settings := range f.Settings {
		addresses = append(addresses, settings.Upstreams)
	}
	return addresses
}

// Entries returns the addresses at which the hosts serve callers.
func (f *Fleet) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, settings := range f.Settings {
		entries = append(entries, settings.Callers)
	}
	return entries
}

// Start starts the hosts, has them accept a configuration, starts the upstreams and waits until every slot
// has an owner.
func (f *Fleet) Start(ctx context.Context, config string) error {
	for _, host := range f.Hosts {
		if err := host.Start(); err != nil {
			return err
		}
	}
	if err := f.acceptConfig(ctx, config); err != nil {
		return err
	}
	for _, upstream := range f.Upstreams {
		if err := upstream.Start(); err != nil {
			return err
		}
	}
	return f.awaitStatus(ctx, func(status entry.Status) bool {
		return status.Unowned == 0 && len(status.Owned) == len(f.Upstreams)
	})
}

func (f *Fleet) acceptConfig(ctx context.Context, config string) error {
	accepted, err := f.Hosts[0].Accept(ctx, state.AcceptConfig{RequestID: "first", ConfigText: config})
	if err != nil {
		return err
	}
	if accepted.Refused != "" {
		return errors.New(accepted.Refused)
	}
	return f.awaitStatus(ctx, func(status entry.Status) bool { return status.ConfigVersion == accepted.ConfigVersion })
}

// awaitStatus waits until the status of every host meets a condition.
func (f *Fleet) awaitStatus(ctx context.Context, isMet func(entry.Status) bool) error {
	for _, host := range f.Hosts {
		for !isMet(host.Status(time.Now())) {
			timer := time.NewTimer(20 * time.Millisecond)
			select {
			case <-timer.C:
			case <-ctx.Done():
				text, _ := json.Marshal(host.Status(time.Now()))
				return fmt.Errorf("host is not ready: %s: %w", text, ctx.Err())
			}
		}
	}
	return nil
}

// Upstream returns the upstream with an id, or nil if there is none.
func (f *Fleet) Upstream(id string) *upsim.Upstream {
	for i, upstreamID := range f.IDs {
		if upstreamID == id {
			return f.Upstreams[i]
		}
	}
	return nil
}

// Stop kills all upstreams and hosts.
func (f *Fleet) Stop() {
	for _, upstream := range f.Upstreams {
		upstream.Kill()
	}
	for _, host := range f.Hosts {
		host.Kill()
	}
}

// firstPort is below the range from which the operating system takes the ports of outgoing connections.
const firstPort = 17000

// Loopback returns a function that returns loopback addresses on which no process listens, each of them once.
func Loopback() func() (netip.AddrPort, error) {
	port := uint16(firstPort)
	return func() (netip.AddrPort, error) {
		for ; port < 2*firstPort; port++ {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
			listener, err := peer.TCP{}.Listen(address)
			if err != nil {
				continue
			}
			port++
			return address, listener.Close()
		}
		return netip.AddrPort{}, errors.New("no free port on loopback")
	}
}
