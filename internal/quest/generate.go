package quest

import (
	"fmt"
	"net/netip"
	"path"

	"github.com/goccy/go-yaml"

	"lovagelink.example/lovagelink/internal/conf"
)

// Ports of a host, as offsets from its port for callers.
const (
	callersPort = iota
	upstreamsPort
	operatorsPort
	controlPort
	forwardPort
)

// maxReplicas is the largest number of hosts that hold a replica of the log; more replicas only slow down each change.
const maxReplicas = 5

// File is a generated file.
type File struct {
	Name string
	Data []byte
}

// Generate returns the configuration and the settings of each host; the same answers give the same files.
func Generate(answers Answers) ([]File, error) {
	body, err := yaml.Marshal(answers.config())
	if err != nil {
		return nil, err
	}
	if _, err := conf.ParseConfig(body); err != nil {
		return nil, fmt.Errorf("check the generated configuration: %w", err)
	}
	files := []File{{"config.yaml", body}}
	peers := answers.peers()
	for i, host := range answers.Hosts {
		settings := conf.Host{
			Name: host.Name, Zone: host.Zone, Hosts: peers, Callers: addressOf(host, callersPort),
			Upstreams: addressOf(host, upstreamsPort), Operators: addressOf(host, operatorsPort),
		}
		if peers[i].Replica {
			settings.DataFolder = path.Join(host.Disk, "data-"+host.Name)
		}
		if err := settings.Check(); err != nil {
			return nil, fmt.Errorf("check the generated settings of host %s: %w", host.Name, err)
		}
		data, err := yaml.Marshal(settings)
		if err != nil {
			return nil, err
		}
		files = append(files, File{host.Name + ".yaml", data})
	}
	return files, nil
}

func addressOf(host Host, offset int) netip.AddrPort {
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
	if s.WhenCut == serveInZone {
		service.WhenCut = conf.Stay
	}
	for _, work := range s.Work {
		service.Rules = append(service.Rules, conf.Rule{
			Methods: work.Methods, Rank: work.Rank, Idempotent: work.MayRepeat, Deadline: work.GiveUp,
		})
	}
	return service
}

// peers returns the list of hosts that is part of each host's settings.
func (a Answers) peers() []conf.Peer {
	replicas := a.replicas()
	var peers []conf.Peer
	for _, host := range a.Hosts {
		peers = append(peers, conf.Peer{
			Name: host.Name, Zone: host.Zone, Address: addressOf(host, controlPort),
			Forward: addressOf(host, forwardPort), Replica: replicas[host.Name],
		})
	}
	return peers
}

// replicas selects an odd number of hosts with disks, one of each zone in turn, so that the zones hold about the same
// number of replicas.
func (a Answers) replicas() map[string]bool {
	var candidates []string
	for round := 0; ; round++ {
		previous := len(candidates)
		for _, zone := range a.Zones {
			if disks := a.disksIn(zone); round < len(disks) {
				candidates = append(candidates, disks[round])
			}
		}
		if len(candidates) == previous {
			break
		}
	}
	count := min(len(candidates), max(len(a.Zones), minDiskHosts), maxReplicas)
	if count%2 == 0 {
		count--
	}
	replicas := make(map[string]bool)
	for _, name := range candidates[:max(count, 0)] {
		replicas[name] = true
	}
	return replicas
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
