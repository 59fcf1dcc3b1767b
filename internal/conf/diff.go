package conf

import (
	"fmt"
	"slices"
	"strings"
)

// Changes describes the differences between two configurations, one sentence for each change.
func Changes(from, to Config) []string {
	var changes []string
	add := func(format string, args ...any) { changes = append(changes, fmt.Sprintf(format, args...)) }
	for _, rank := range from.Ranks {
		if to.RankOf(rank.Name) < 0 {
			add("rank %s is gone", rank.Name)
		}
	}
	for i, rank := range to.Ranks {
		oldIndex := from.RankOf(rank.Name)
		if oldIndex < 0 {
			add("rank %s is new, at place %d", rank.Name, i+1)
			continue
		}
		changes = append(changes, rank.changes(from.Ranks[oldIndex])...)
	}
	if order := commonRanks(to, from); !slices.Equal(order, commonRanks(from, to)) {
		add("the ranks' order is now %s", strings.Join(order, ", "))
	}
	for _, service := range from.Services {
		if to.ServiceNamed(service.Name) == nil {
			add("service %s is gone: its route %s leads nowhere", service.Name, service.Route)
		}
	}
	for _, service := range to.Services {
		old := from.ServiceNamed(service.Name)
		if old == nil {
			add("service %s is new, with route %s", service.Name, service.Route)
			continue
		}
		changes = append(changes, service.changes(*old)...)
	}
	return changes
}

// commonRanks returns the names of the ranks in config that other contains too, in the order of config.
func commonRanks(config, other Config) []string {
	var names []string
	for _, rank := range config.Ranks {
		if other.RankOf(rank.Name) >= 0 {
			names = append(names, rank.Name)
		}
	}
	return names
}

// field is a named value before and after a change.
type field struct {
	name     string
	old, new any
}

// fieldChanges describes the fields whose values have changed.
func fieldChanges(location string, fields []field) []string {
	var changes []string
	for _, f := range fields {
		if f.old != f.new {
			changes = append(changes, fmt.Sprintf("%s: %s was %v and becomes %v", location, f.name, f.old, f.new))
		}
	}
	return changes
}

func (r Rank) changes(old Rank) []string {
	return fieldChanges("rank "+r.Name, []field{
		{"target", old.Target, r.Target},
		{"worth", old.Worth, r.Worth},
		{"floor", old.Floor, r.Floor},
		{"wait", old.Wait, r.Wait},
	})
}

func (s Service) changes(old Service) []string {
	changes := fieldChanges("service "+s.Name, []field{
		{"route", old.Route, s.Route},
		{"key", old.Key.String(), s.Key.String()},
		{"slots", old.Slots, s.Slots},
		{"when-cut", old.WhenCut, s.WhenCut},
		{"body-limit", old.BodyLimit, s.BodyLimit},
	})
	for _, method := range sortedMethods(old, s) {
		changes = append(changes, ruleChanges(s.Name, method, old.RuleFor(method), s.RuleFor(method))...)
	}
	return changes
}

// String returns a description of the part of a request that holds the key.
func (k *Key) String() string {
	switch {
	case k == nil:
		return "none"
	case k.Header != "":
		return "header " + k.Header
	}
	return fmt.Sprintf("segment %d", k.Segment)
}

func sortedMethods(services ...Service) []string {
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
	location := fmt.Sprintf("service %s: %s", service, method)
	switch {
	case old == nil:
		return []string{fmt.Sprintf("%s is new, with rank %s", location, rule.Rank)}
	case rule == nil:
		return []string{location + " is refused from now on"}
	}
	return fieldChanges(location, []field{
		{"rank", old.Rank, rule.Rank},
		{"idempotent", old.Idempotent, rule.Idempotent},
		{"deadline", old.Deadline, rule.Deadline},
	})
}
