package quest

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"lovagelink.example/lovagelink/internal/conf"
)

// portsPerHost is the number of consecutive ports on which a host listens.
const portsPerHost = 5

// minDiskHosts is the smallest number of hosts with disks that keeps a majority after the loss of one host.
const minDiskHosts = 3

// checker collects the issues of a team's answers.
type checker struct {
	Answers
	finder lineFinder
	issues []Issue
}

// Check parses the answers in a file and returns all issues, in the order of the questions.
func Check(data []byte) (Answers, []Issue, error) {
	answers, err := Parse(data)
	if err != nil {
		return Answers{}, nil, err
	}
	finder, err := newLineFinder(data)
	if err != nil {
		return Answers{}, nil, err
	}
	c := &checker{Answers: answers, finder: finder}
	c.checkZones()
	c.checkHosts()
	c.checkDisks()
	c.checkRanks()
	c.checkServices()
	return answers, c.issues, nil
}

func (c *checker) report(field, message, remedy string) {
	c.issues = append(c.issues, Issue{Line: c.finder.line(field), Field: field, Message: message, Remedy: remedy})
}

// checkName reports a name that is missing or used twice.
func (c *checker) checkName(field, name string, seen map[string]bool) {
	switch {
	case name == "":
		c.report(field, "it is missing", "give a name")
	case seen[name]:
		c.report(field, fmt.Sprintf("%q is used twice", name), "choose a different name for each")
	}
	seen[name] = true
}

func (c *checker) checkZones() {
	if len(c.Zones) == 0 {
		c.report("zones", "none is named", "name each availability zone that has hosts")
	}
	seen := make(map[string]bool)
	for i, zone := range c.Zones {
		field := fmt.Sprintf("zones[%d]", i)
		c.checkName(field, zone, seen)
		if !slices.ContainsFunc(c.Hosts, func(host Host) bool { return host.Zone == zone }) {
			c.report(field, fmt.Sprintf("zone %s has no entry host", zone), "give it a host, or leave it out")
		}
	}
}

func (c *checker) checkHosts() {
	names := make(map[string]bool)
	hostByAddress := make(map[netip.AddrPort]string)
	for i, host := range c.Hosts {
		field := fmt.Sprintf("hosts[%d]", i)
		c.checkName(field+".name", host.Name, names)
		if !slices.Contains(c.Zones, host.Zone) {
			c.report(field+".zone", fmt.Sprintf("host %s is in zone %q, which is not among the zones", host.Name, host.Zone),
				"add the zone, or correct the name")
		}
		c.checkAddress(field+".callers", host, hostByAddress)
	}
}

// checkAddress reports an address that is missing or has too few ports after it, and ports that two hosts share.
func (c *checker) checkAddress(field string, host Host, hostByAddress map[netip.AddrPort]string) {
	if !host.Callers.IsValid() || int(host.Callers.Port())+portsPerHost-1 > 65535 || host.Callers.Port() == 0 {
		c.report(field, fmt.Sprintf("host %s needs an address with %d free ports from there on", host.Name, portsPerHost),
			"write IP:PORT, such as 10.0.1.5:7000")
		return
	}
	for offset := range portsPerHost {
		address := addressOf(host, offset)
		if other, ok := hostByAddress[address]; ok {
			c.report(field, fmt.Sprintf("%s is taken by host %s as well", address, other),
				fmt.Sprintf("keep hosts on one IP %d ports apart", portsPerHost))
			return
		}
		hostByAddress[address] = host.Name
	}
}

// checkDisks reports a placement of disks in which an accepted configuration might not survive the loss of a host, or
// of a zone if there are at least minDiskHosts zones.
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
	case count < minDiskHosts:
		c.report("hosts", fmt.Sprintf("%d of them have a disk", count),
			fmt.Sprintf("name a disk for at least %d, so that one can be lost", minDiskHosts))
	case len(c.Zones) >= minDiskHosts && len(zones) < minDiskHosts:
		c.report("hosts", fmt.Sprintf("those with disks are in %d zones", len(zones)),
			fmt.Sprintf("spread them over %d zones, so that one zone can be lost", minDiskHosts))
	}
}

func (c *checker) checkRanks() {
	if len(c.Ranks) == 0 {
		c.report("ranks", "none is named", "name at least one rank of work")
		return
	}
	names := make(map[string]bool)
	totalFloor := 0
	for i, rank := range c.Ranks {
		field := fmt.Sprintf("ranks[%d]", i)
		c.checkName(field+".name", rank.Name, names)
		c.checkRank(field, rank)
		totalFloor += rank.KeptInFlood
	}
	if totalFloor > 100 {
		c.report("ranks", fmt.Sprintf("together they keep %d percent in a flood", totalFloor), "lower kept-in-flood to 100 in all")
	}
	lowest := slices.MinFunc(c.Ranks, func(a, b Rank) int { return int(a.Worth) - int(b.Worth) })
	if len(c.Ranks) > 1 && c.Ranks[0].Worth <= lowest.Worth {
		c.report("ranks[0].worth", fmt.Sprintf("rank %s is the most urgent and worth the least", c.Ranks[0].Name),
			"put the ranks in order, the most urgent first, or raise its worth")
	}
}

func (c *checker) checkRank(field string, rank Rank) {
	if rank.AnsweredWithin <= 0 {
		c.report(field+".answered-within", "it is missing", "say within what time callers want an answer, such as 300ms")
	}
	if !(rank.Worth > 0) {
		c.report(field+".worth", "it is not above 0", "say what an answer in time is worth beside the other ranks")
	}
	if rank.KeptInFlood < 0 || rank.KeptInFlood > 99 {
		c.report(field+".kept-in-flood", fmt.Sprintf("%d is no percentage below 100", rank.KeptInFlood), "write 0 to 99")
	}
	if rank.MayWait < 0 {
		c.report(field+".may-wait", "it is below 0", "write a time, or leave it out")
	}
	isUsed := slices.ContainsFunc(c.Services, func(service Service) bool {
		return slices.ContainsFunc(service.Work, func(work Work) bool { return work.Rank == rank.Name })
	})
	if !isUsed {
		c.report(field+".name", fmt.Sprintf("no work has rank %q", rank.Name), "leave it out, or give it to some work")
	}
}

func (c *checker) checkServices() {
	if len(c.Services) == 0 {
		c.report("services", "none is named", "name at least one service")
	}
	names := make(map[string]bool)
	for i, service := range c.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.checkName(field+".name", service.Name, names)
		c.checkPath(field+".path", i)
		if key := service.Key; key != nil && (key.Segment == 0) == (key.Header == "") {
			c.report(field+".key", "it must be in one place", "name either a segment of the path or a header")
		}
		if choice := service.WhenCut; choice != "" && choice != serveElsewhere && choice != serveInZone {
			c.report(field+".when-zone-is-cut-off", fmt.Sprintf("%q is no choice", choice),
				fmt.Sprintf("write %s or %s", serveElsewhere, serveInZone))
		}
		if len(service.Work) == 0 {
			c.report(field+".work", "none is named", "say which methods do what kind of work")
		}
		c.checkWork(field, service)
	}
}

func (c *checker) checkPath(field string, i int) {
	path := c.Services[i].Path
	if !strings.HasPrefix(path, "/") || !strings.HasSuffix(path, "/") {
		c.report(field, fmt.Sprintf("%q does not begin and end with /", path), "write it as /name/")
		return
	}
	for _, other := range c.Services[:i] {
		if other.Path != "" && (strings.HasPrefix(path, other.Path) || strings.HasPrefix(other.Path, path)) {
			c.report(field, fmt.Sprintf("%s leads to service %s as well", path, other.Name), "give each service a path of its own")
		}
	}
}

func (c *checker) checkWork(field string, service Service) {
	methods := make(map[string]bool)
	for i, work := range service.Work {
		workField := fmt.Sprintf("%s.work[%d]", field, i)
		if len(work.Methods) == 0 {
			c.report(workField+".methods", "none is named", "name the HTTP methods of this work, such as [POST]")
		}
		for _, method := range work.Methods {
			if !slices.Contains(conf.Methods, method) {
				c.report(workField+".methods", fmt.Sprintf("%q is no method", method), "choose among "+strings.Join(conf.Methods, ", "))
			}
			if methods[method] {
				c.report(workField+".methods", fmt.Sprintf("%s is listed for two kinds of work", method), "keep one")
			}
			methods[method] = true
		}
		c.checkTimeout(workField, work)
	}
}

// checkTimeout reports callers that give up before the time within which their rank promises an answer.
func (c *checker) checkTimeout(field string, work Work) {
	index := slices.IndexFunc(c.Ranks, func(rank Rank) bool { return rank.Name == work.Rank })
	if index < 0 {
		c.report(field+".rank", fmt.Sprintf("%q is not among the ranks", work.Rank), "add the rank, or correct the name")
		return
	}
	if rank := c.Ranks[index]; work.GiveUp < rank.AnsweredWithin || work.GiveUp <= 0 {
		c.report(field+".give-up-after", fmt.Sprintf("callers give up after %s, but rank %s promises an answer within %s",
			work.GiveUp, rank.Name, rank.AnsweredWithin), "let them wait at least as long")
	}
}
