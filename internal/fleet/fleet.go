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

// Group is a number of alike upstreams.
type Group struct {
	Service     string
	Count       int
	Concurrency int
	Keyed       bool
	ServiceTime time.Duration
	Warmup      time.Duration // after the start, work takes longer
	WarmupEvery int           // of so many upstreams one starts cold; all do if not given
	ShedAbove   int           // requests at a time above which work is refused; 0 means never
}

// Plan describes a deployment.
type Plan struct {
	Zones          []string
	Replicas       int // the first hosts hold a replica; as many as zones if not given
	Hosts          int // spread over the zones in turn
	Groups         []Group
	Folder         string
	VerifiesGrants bool                           // upstreams refuse orders without a valid grant
	Naive          bool                           // upstreams announce themselves to every host, for the naive router
	NextAddress    func() (netip.AddrPort, error) // the next free address
	Network        func(zone, owner string) peer.Network
	Logger         log.Logger
	Disk           []walog.Option
}

// Fleet is a running deployment.
type Fleet struct {
	Hosts     []*entry.Host
	Settings  []conf.Host
	Upstreams []*upsim.Upstream
	IDs       []string // of the upstreams
	Ledger    *upsim.Ledger
	plan      Plan
}

// Build lays a deployment out; Start sets it to work.
func Build(now time.Time, plan Plan) (*Fleet, error) {
	f := &Fleet{Ledger: &upsim.Ledger{}, plan: plan}
	if err := f.layOut(plan); err != nil {
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

// Restart starts a host anew that was killed or stopped.
func (f *Fleet) Restart(now time.Time, i int) error {
	host, err := f.newHost(now, i)
	if err != nil {
		return err
	}
	f.Hosts[i] = host
	return host.Start()
}

// layOut writes the settings of all hosts; the first host of each zone holds a replica.
func (f *Fleet) layOut(plan Plan) error {
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
	for _, one := range peers {
		settings := conf.Host{Name: one.Name, Zone: one.Zone, Hosts: peers}
		for _, address := range []*netip.AddrPort{&settings.Callers, &settings.Upstreams, &settings.Operators} {
			next, err := plan.NextAddress()
			if err != nil {
				return err
			}
			*address = next
		}
		if one.Replica {
			settings.DataFolder = filepath.Join(plan.Folder, one.Name)
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
				Keyed: group.Keyed, ServiceTime: group.ServiceTime, ShedAbove: group.ShedAbove, AnswerBytes: 2048, Entries: f.doors(zone),
			}
			if i%max(group.WarmupEvery, 1) == 0 {
				settings.Warmup = group.Warmup
			}
			if plan.Naive {
				settings.Entries = f.allDoors()
				settings.AnnounceAll = true
			}
			f.IDs = append(f.IDs, settings.ID)
			f.Upstreams = append(f.Upstreams, upsim.New(now, settings, plan.Network(zone, settings.ID), f.Ledger))
		}
	}
	return nil
}

// doors lists the addresses for upstreams in a zone.
func (f *Fleet) doors(zone string) []netip.AddrPort {
	var doors []netip.AddrPort
	for _, settings := range f.Settings {
		if settings.Zone == zone {
			doors = append(doors, settings.Upstreams)
		}
	}
	return doors
}

func (f *Fleet) allDoors() []netip.AddrPort {
	var doors []netip.AddrPort
	for _, settings := range f.Settings {
		doors = append(doors, settings.Upstreams)
	}
	return doors
}

// Entries lists the addresses for callers.
func (f *Fleet) Entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, settings := range f.Settings {
		entries = append(entries, settings.Callers)
	}
	return entries
}

// Start starts the hosts, accepts the configuration, starts the upstreams and waits until every
// slot has an owner.
func (f *Fleet) Start(ctx context.Context, config string) error {
	for _, host := range f.Hosts {
		if err := host.Start(); err != nil {
			return err
		}
	}
	if err := f.accept(ctx, config); err != nil {
		return err
	}
	for _, upstream := range f.Upstreams {
		if err := upstream.Start(); err != nil {
			return err
		}
	}
	return f.await(ctx, func(status entry.Status) bool {
		return status.Unowned == 0 && len(status.Owned) == len(f.Upstreams)
	})
}

func (f *Fleet) accept(ctx context.Context, config string) error {
	accepted, err := f.Hosts[0].Accept(ctx, state.AcceptConfig{RequestID: "first", ConfigText: config})
	if err != nil {
		return err
	}
	if accepted.Refused != "" {
		return errors.New(accepted.Refused)
	}
	return f.await(ctx, func(status entry.Status) bool { return status.ConfigVersion == accepted.ConfigVersion })
}

// await waits until all hosts meet a condition.
func (f *Fleet) await(ctx context.Context, isMet func(entry.Status) bool) error {
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

// Upstream returns an upstream by its id.
func (f *Fleet) Upstream(id string) *upsim.Upstream {
	for i, name := range f.IDs {
		if name == id {
			return f.Upstreams[i]
		}
	}
	return nil
}

// Stop ends everything.
func (f *Fleet) Stop() {
	for _, upstream := range f.Upstreams {
		upstream.Kill()
	}
	for _, host := range f.Hosts {
		host.Kill()
	}
}

// firstPort lies below the range from which the system takes the ports of outgoing connections.
const firstPort = 17000

// Loopback returns a function that hands out addresses on loopback that nobody listens on.
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
