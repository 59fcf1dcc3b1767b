package quest

import (
	"fmt"
	"net/netip"
	"path"

	"github.com/goccy/go-yaml"

	"lovagelink.example/lovagelink/internal/conf"
)

// Ports of a host, counted from its callers' one.
const (
	callersPort = iota
	upstreamsPort
	operatorsPort
	controlPort
	forwardPort
)

// mostReplicas is how many hosts hold the log at the most; more only make each change slower.
const mostReplicas = 5

// File is one file that answers lead to.
type File struct {
	Name string
	Data []byte
}

// Generate writes the configuration and the settings of each host; the same answers give the same files.
func Generate(answers Answers) ([]File, error) {
	body, err := yaml.Marshal(answers.config())
	if err != nil {
		return nil, err
	}
	if _, err := conf.ParseConfig(body); err != nil {
		return nil, fmt.Errorf("the configuration from these answers: %w", err)
	}
	files := []File{{"config.yaml", body}}
	peers := answers.peers()
	for i, host := range answers.Hosts {
		settings := conf.Host{
			Name: host.Name, Zone: host.Zone, Hosts: peers, Callers: portOf(host, callersPort),
			Upstreams: portOf(host, upstreamsPort), Operators: portOf(host, operatorsPort),
		}
		if peers[i].Replica {
			settings.DataFolder = path.Join(host.Disk, "data-"+host.Name)
		}
		if err := settings.Check(); err != nil {
			return nil, fmt.Errorf("the settings of host %s from these answers: %w", host.Name, err)
		}
		data, err := yaml.Marshal(settings)
		if err != nil {
			return nil, err
		}
		files = append(files, File{host.Name + ".yaml", data})
	}
	return files, nil
}

func portOf(host Host, offset int) netip.AddrPort {
	return netip.AddrPortFrom(host.Callers.Addr(), host.Callers.Port()+uint16(offset))
}

func (a Answers) config() conf.Config {
	var config conf.Config
	for _, rank := range a.Ranks {
		config.Ranks = append(config.Ranks, conf.Rank{
			Name: rank.Name, Target: rank.AnsweredWithin, Worth: rank.Worth,
			Floor: float64(rank.KeptInFlood) / 100, Wait: rank.MayWait,
		})
	}
	for _, service := range a.Services {
		config.Services = append(config.Services, service.config())
	}
	return config
}

func (s Service) config() conf.Service {
	service := conf.Service{Name: s.Name, Route: s.Path, Key: s.Key, Slots: s.Parts}
	if s.WhenCut == inZone {
		service.WhenCut = conf.Stay
	}
	for _, work := range s.Work {
		service.Rules = append(service.Rules, conf.Rule{
			Methods: work.Methods, Rank: work.Rank, Idempotent: work.MayRepeat, Deadline: work.GiveUp,
		})
	}
	return service
}

// peers lists the hosts as all of them know each other.
func (a Answers) peers() []conf.Peer {
	replicas := a.replicas()
	var peers []conf.Peer
	for _, host := range a.Hosts {
		peers = append(peers, conf.Peer{
			Name: host.Name, Zone: host.Zone, Address: portOf(host, controlPort),
			Forward: portOf(host, forwardPort), Replica: replicas[host.Name],
		})
	}
	return peers
}

// replicas picks an odd number of hosts with disks, one of each zone in turn.
func (a Answers) replicas() map[string]bool {
	var order []string
	for round := 0; ; round++ {
		before := len(order)
		for _, zone := range a.Zones {
			if disks := a.disksIn(zone); round < len(disks) {
				order = append(order, disks[round])
			}
		}
		if len(order) == before {
			break
		}
	}
	count := min(len(order), max(len(a.Zones), leastDisks), mostReplicas)
	if count%2 == 0 {
		count--
	}
	chosen := make(map[string]bool)
	for _, name := range order[:max(count, 0)] {
		chosen[name] = true
	}
	return chosen
}

func (a Answers) disksIn(zone string) []string {
	var names []string
	for _, host := range a.Hosts {
		if host.Zone == zone && host.Disk != "" {
			names = append(names, host.Name)
		}
	}
	return names
}
