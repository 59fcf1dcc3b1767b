package quest

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"lovagelink.example/lovagelink/internal/conf"
)

// portsOfHost is how many ports in a row a host listens on.
const portsOfHost = 5

// leastDisks is how many hosts with disks can lose one and go on.
const leastDisks = 3

// checker collects the faults of a team's answers.
type checker struct {
	Answers
	finder finder
	faults []Issue
}

// Check returns all faults of the answers in a file, in the order of the questions.
func Check(data []byte) (Answers, []Issue, error) {
	answers, err := Parse(data)
	if err != nil {
		return Answers{}, nil, err
	}
	finder, err := newFinder(data)
	if err != nil {
		return Answers{}, nil, err
	}
	c := &checker{Answers: answers, finder: finder}
	c.checkZones()
	c.checkHosts()
	c.checkDisks()
	c.checkRanks()
	c.checkServices()
	return answers, c.faults, nil
}

func (c *checker) fault(field, says, remedy string) {
	c.faults = append(c.faults, Issue{Line: c.finder.line(field), Field: field, Message: says, Remedy: remedy})
}

// needName faults a name that is missing or stands twice.
func (c *checker) needName(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.fault(field, "it is missing", "give a name")
	case seen[name]:
		c.fault(field, fmt.Sprintf("%q stands twice", name), "give each one its own name")
	}
	seen[name] = true
}

func (c *checker) checkZones() {
	if len(c.Zones) == 0 {
		c.fault("zones", "none is named", "name each availability zone that has hosts")
	}
	seen := make(map[string]bool)
	for i, zone := range c.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		c.needName(field, zone, seen)
		if !slices.ContainsFunc(c.Hosts, func(host Host) bool { return host.Zone == zone }) {
			c.fault(field, fmt.Sprintf("zone %s has no entry host", zone), "give it a host, or leave it out")
		}
	}
}

func (c *checker) checkHosts() {
	names := make(map[string]bool)
	owners := make(map[netip.AddrPort]string)
	for i, host := range c.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		c.needName(field+".name", host.Name, names)
		if !slices.Contains(c.Zones, host.Zone) {
			c.fault(field+".zone", fmt.Sprintf("host %s is in zone %q, which is not among the zones", host.Name, host.Zone),
				"add the zone, or correct the name")
		}
		c.checkPorts(field+".callers", host, owners)
	}
}

// checkPorts faults an address that is missing or that two hosts share.
func (c *checker) checkPorts(field string, host Host, owners map[netip.AddrPort]string) {
	if !host.Callers.IsValid() || int(host.Callers.Port())+portsOfHost-1 > 65535 || host.Callers.Port() == 0 {
		c.fault(field, fmt.Sprintf("host %s needs an address with %d free ports from there on", host.Name, portsOfHost),
			"write IP:PORT, such as 10.0.1.5:7000")
		return
	}
	for offset := range portsOfHost {
		address := portOf(host, offset)
		if other, ok := owners[address]; ok {
			c.fault(field, fmt.Sprintf("%s is taken by host %s as well", address, other),
				fmt.Sprintf("keep hosts on one IP %d ports apart", portsOfHost))
			return
		}
		owners[address] = host.Name
	}
}

// checkDisks makes sure that what is accepted outlives the loss of a host, and of a zone where there are
// enough.
func (c *checker) checkDisks() {
	count := 0
	zones := make(map[string]bool)
	for _, host := range c.Hosts {
		if host.Disk != "" {
			count++
			zones[host.Zone] = true
		}
	}
	switch {
	case count < leastDisks:
		c.fault("hosts", fmt.Sprintf("%d of them have a disk", count),
			fmt.Sprintf("name a disk for at least %d, so that one can be lost", leastDisks))
	case len(c.Zones) >= leastDisks && len(zones) < leastDisks:
		c.fault("hosts", fmt.Sprintf("those with disks are in %d zones", len(zones)),
			fmt.Sprintf("spread them over %d zones, so that one zone can be lost", leastDisks))
	}
}

func (c *checker) checkRanks() {
	if len(c.Ranks) == 0 {
		c.fault("ranks", "none is named", "name at least one rank of work")
		return
	}
	names := make(map[string]bool)
	kept := 0
	for i, rank := range c.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		c.needName(field+".name", rank.Name, names)
		c.checkRank(field, rank)
		kept += rank.KeptInFlood
	}
	if kept > 100 {
		c.fault("ranks", fmt.Sprintf("together they keep %d percent in a flood", kept), "lower kept-in-flood to 100 in all")
	}
	least := slices.MinFunc(c.Ranks, func(a, b Rank) int { return int(a.Worth) - int(b.Worth) })
	if len(c.Ranks) > 1 && c.Ranks[0].Worth <= least.Worth {
		c.fault("ranks[0].worth", fmt.Sprintf("rank %s is the most urgent and worth the least", c.Ranks[0].Name),
			"put the ranks in order, the most urgent first, or raise its worth")
	}
}

func (c *checker) checkRank(field string, rank Rank) {
	if rank.AnsweredWithin <= 0 {
		c.fault(field+".answered-within", "it is missing", "say within what time callers want an answer, such as 300ms")
	}
	if !(rank.Worth > 0) {
		c.fault(field+".worth", "it is not above 0", "say what an answer in time is worth beside the other ranks")
	}
	if rank.KeptInFlood < 0 || rank.KeptInFlood > 99 {
		c.fault(field+".kept-in-flood", fmt.Sprintf("%d is no percentage below 100", rank.KeptInFlood), "write 0 to 99")
	}
	if rank.MayWait < 0 {
		c.fault(field+".may-wait", "it is below 0", "write a time, or leave it out")
	}
	isUsed := slices.ContainsFunc(c.Services, func(service Service) bool {
		return slices.ContainsFunc(service.Work, func(work Work) bool { return work.Rank == rank.Name })
	})
	if !isUsed {
		c.fault(field+".name", fmt.Sprintf("no work has rank %q", rank.Name), "leave it out, or give it to some work")
	}
}

func (c *checker) checkServices() {
	if len(c.Services) == 0 {
		c.fault("services", "none is named", "name at least one service")
	}
	names := make(map[string]bool)
	for i, service := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.needName(field+".name", service.Name, names)
		c.checkPath(field+".path", i)
		if key := service.Key; key != nil && (key.Segment == 0) == (key.Header == "") {
			c.fault(field+".key", "it must be in one place", "name either a segment of the path or a header")
		}
		if when := service.WhenCut; when != "" && when != elsewhere && when != inZone {
			c.fault(field+".when-zone-is-cut-off", fmt.Sprintf("%q is no choice", when),
				fmt.Sprintf("write %s or %s", elsewhere, inZone))
		}
		if len(service.Work) == 0 {
			c.fault(field+".work", "none is named", "say which methods do what kind of work")
		}
		c.checkWork(field, service)
	}
}

func (c *checker) checkPath(field string, i int) {
	path := c.Services[i].Path
	if !strings.HasPrefix(path, "/") || !strings.HasSuffix(path, "/") {
		c.fault(field, fmt.Sprintf("%q does not begin and end with /", path), "write it as /name/")
		return
	}
	for _, other := range c.Services[:i] {
		if other.Path != "" && (strings.HasPrefix(path, other.Path) || strings.HasPrefix(other.Path, path)) {
			c.fault(field, fmt.Sprintf("%s leads to service %s as well", path, other.Name), "give each service a path of its own")
		}
	}
}

func (c *checker) checkWork(field string, service Service) {
	methods := make(map[string]bool)
	for i, work := range service.Work {
		place := fmt.Sprintf("%s.work[%d]", field, i)
		if len(work.Methods) == 0 {
			c.fault(place+".methods", "none is named", "name the HTTP methods of this work, such as [POST]")
		}
		for _, method := range work.Methods {
			if !slices.Contains(conf.Methods, method) {
				c.fault(place+".methods", fmt.Sprintf("%q is no method", method), "choose among "+strings.Join(conf.Methods, ", "))
			}
			if methods[method] {
				c.fault(place+".methods", fmt.Sprintf("%s stands for two kinds of work", method), "keep one")
			}
			methods[method] = true
		}
		c.checkPromise(place, work)
	}
}

// checkPromise compares how long callers wait with what their rank promises.
func (c *checker) checkPromise(place string, work Work) {
	at := slices.IndexFunc(c.Ranks, func(rank Rank) bool { return rank.Name == work.Rank })
	if at < 0 {
		c.fault(place+".rank", fmt.Sprintf("%q is not among the ranks", work.Rank), "add the rank, or correct the name")
		return
	}
	if rank := c.Ranks[at]; work.GiveUp < rank.AnsweredWithin || work.GiveUp <= 0 {
		c.fault(place+".give-up-after", fmt.Sprintf("callers give up after %s, but rank %s promises an answer within %s",
			work.GiveUp, rank.Name, rank.AnsweredWithin), "let them wait at least as long")
	}
}
