package conf

import (
	"fmt"
	"slices"
	"strings"
)

// Changes says in words what a new configuration changes, one sentence for each change.
func Changes(from, to Config) []string {
	var changes []string
	say := func(format string, args ...any) { changes = append(changes, fmt.Sprintf(format, args...)) }
	for _, rank := range from.Ranks {
		if to.RankOf(rank.Name) < 0 {
			say("rank %s is gone", rank.Name)
		}
	}
	for i, rank := range to.Ranks {
		at := from.RankOf(rank.Name)
		if at < 0 {
			say("rank %s is new, at place %d", rank.Name, i+1)
			continue
		}
		changes = append(changes, rank.changes(from.Ranks[at])...)
	}
	if order := orderOf(to, from); !slices.Equal(order, orderOf(from, to)) {
		say("the ranks' order is now %s", strings.Join(order, ", "))
	}
	for _, service := range from.Services {
		if to.ServiceNamed(service.Name) == nil {
			say("service %s is gone: its route %s leads nowhere", service.Name, service.Route)
		}
	}
	for _, service := range to.Services {
		old := from.ServiceNamed(service.Name)
		if old == nil {
			say("service %s is new, with route %s", service.Name, service.Route)
			continue
		}
		changes = append(changes, service.changes(*old)...)
	}
	return changes
}

// orderOf lists the ranks of a configuration that another one has as well.
func orderOf(c, other Config) []string {
	var names []string
	for _, rank := range c.Ranks {
		if other.RankOf(rank.Name) >= 0 {
			names = append(names, rank.Name)
		}
	}
	return names
}

// field is one value before and after.
type field struct {
	name     string
	old, new any
}

// differences says which fields have changed.
func differences(place string, fields []field) []string {
	var changes []string
	for _, one := range fields {
		if one.old != one.new {
			changes = append(changes, fmt.Sprintf("%s: %s was %v and becomes %v", place, one.name, one.old, one.new))
		}
	}
	return changes
}

func (r Rank) changes(old Rank) []string {
	return differences("rank "+r.Name, []field{
		{"target", old.Target, r.Target},
		{"worth", old.Worth, r.Worth},
		{"floor", old.Floor, r.Floor},
		{"wait", old.Wait, r.Wait},
	})
}

func (s Service) changes(old Service) []string {
	changes := differences("service "+s.Name, []field{
		{"route", old.Route, s.Route},
		{"key", old.Key.String(), s.Key.String()},
		{"slots", old.Slots, s.Slots},
		{"when-cut", old.WhenCut, s.WhenCut},
		{"body-limit", old.BodyLimit, s.BodyLimit},
	})
	for _, method := range methodsOf(old, s) {
		changes = append(changes, ruleChanges(s.Name, method, old.RuleFor(method), s.RuleFor(method))...)
	}
	return changes
}

// String says where a key stands.
func (k *Key) String() string {
	switch {
	case k == nil:
		return "none"
	case k.Header != "":
		return "header " + k.Header
	}
	return fmt.Sprintf("segment %d", k.Segment)
}

func methodsOf(services ...Service) []string {
	var methods []string
	for _, service := range services {
		for _, rule := range service.Rules {
			methods = append(methods, rule.Methods...)
		}
	}
	slices.Sort(methods)
	return slices.Compact(methods)
}

func ruleChanges(service, method string, old, rule *Rule) []string {
	place := fmt.Sprintf("service %s: %s", service, method)
	switch {
	case old == nil:
		return []string{fmt.Sprintf("%s is new, with rank %s", place, rule.Rank)}
	case rule == nil:
		return []string{place + " is refused from now on"}
	}
	return differences(place, []field{
		{"rank", old.Rank, rule.Rank},
		{"idempotent", old.Idempotent, rule.Idempotent},
		{"deadline", old.Deadline, rule.Deadline},
	})
}
