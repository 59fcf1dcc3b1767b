package conf

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type WhenCut -linecomment

// WhenCut selects what happens to the slots of a service in a zone that is cut off from the majority.
type WhenCut int

// The choices for a zone that is cut off: its slots move to other zones, or stay with their owners.
const (
	Move WhenCut = iota // move
	Stay                // stay
)

// UnmarshalText sets the choice by its name.
func (w *WhenCut) UnmarshalText(text []byte) error {
	for _, choice := range []WhenCut{Move, Stay} {
		if choice.String() == string(text) {
			*w = choice
			return nil
		}
	}
	return fmt.Errorf("when-cut: %q is neither move nor stay", text)
}

// MarshalText returns the name of the choice.
func (w WhenCut) MarshalText() ([]byte, error) {
	return []byte(w.String()), nil
}

// Defaults and limits of a configuration.
const (
	DefaultSlots     = 256
	DefaultBodyLimit = 1 << 20 // bytes
	maxSlots         = 65536
)

// Config is the configuration that operators accept: the ranks of requests and the services.
type Config struct {
	Ranks    []Rank    `yaml:"ranks" validate:"required,min=1,dive"`
	Services []Service `yaml:"services" validate:"required,min=1,dive"`
}

// Rank is a priority class of requests; the list of ranks starts with the most urgent rank.
type Rank struct {
	Name   string        `yaml:"name" validate:"required"`
	Target time.Duration `yaml:"target" validate:"required,gt=0"`
	Worth  float64       `yaml:"worth" validate:"gt=0"`
	Floor  float64       `yaml:"floor,omitempty" validate:"gte=0,lt=1"`
	Wait   time.Duration `yaml:"wait,omitempty" validate:"gte=0"` // longest useful wait in an overload; default: Target
}

// Service is a service with its route and rules.
type Service struct {
	Name      string  `yaml:"name" validate:"required"`
	Route     string  `yaml:"route" validate:"required,startswith=/,endswith=/"`
	Key       *Key    `yaml:"key,omitempty"`
	Slots     int     `yaml:"slots,omitempty" validate:"gte=0"`
	WhenCut   WhenCut `yaml:"when-cut,omitempty"`
	BodyLimit int64   `yaml:"body-limit,omitempty" validate:"gte=0"`
	Rules     []Rule  `yaml:"rules" validate:"required,min=1,dive"`
}

// Key is the part of a request that holds the key: a path segment, counted from 1, or a header.
type Key struct {
	Segment int    `yaml:"segment,omitempty" validate:"gte=0"`
	Header  string `yaml:"header,omitempty"`
}

// Methods lists the HTTP methods that a rule can contain.
var Methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
}

// Rule sets the rank and the deadline of requests with the listed methods, and whether they are idempotent.
type Rule struct {
	Methods    []string      `yaml:"methods" validate:"required,min=1"`
	Rank       string        `yaml:"rank" validate:"required"`
	Idempotent bool          `yaml:"idempotent,omitempty"`
	Deadline   time.Duration `yaml:"deadline" validate:"required,gt=0"`
}

// ParseConfig decodes a configuration, sets defaults and validates it.
func ParseConfig(data []byte) (Config, error) {
	var config Config
	if err := Decode(data, &config); err != nil {
		return Config{}, err
	}
	for i := range config.Services {
		config.Services[i].setDefaults()
	}
	for i := range config.Ranks {
		if config.Ranks[i].Wait == 0 {
			config.Ranks[i].Wait = config.Ranks[i].Target
		}
	}
	return config, config.validate()
}

func (s *Service) setDefaults() {
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.BodyLimit == 0 {
		s.BodyLimit = DefaultBodyLimit
	}
}

func (c Config) validate() error {
	if err := c.validateRanks(); err != nil {
		return err
	}
	names := make(map[string]bool)
	for i, service := range c.Services {
		location := fmt.Sprintf("services[%d] %s", i, service.Name)
		if names[service.Name] {
			return fmt.Errorf("%s: the name stands twice; give each service its own", location)
		}
		names[service.Name] = true
		if err := c.validateService(location, service); err != nil {
			return err
		}
		if other := c.overlappingService(i); other != "" {
			return fmt.Errorf("%s: route %s overlaps that of %s; give each service its own", location, service.Route, other)
		}
	}
	return nil
}

func (c Config) validateRanks() error {
	names := make(map[string]bool)
	floorSum := 0.0
	for i, rank := range c.Ranks {
		if names[rank.Name] {
			return fmt.Errorf("ranks[%d]: %q stands twice; give each rank its own name", i, rank.Name)
		}
		names[rank.Name] = true
		floorSum += rank.Floor
	}
	if floorSum > 1 {
		return fmt.Errorf("ranks: the floors add up to %.2f; keep them at 1 or below", floorSum)
	}
	return nil
}

func (c Config) validateService(location string, service Service) error {
	if service.Slots > maxSlots {
		return fmt.Errorf("%s: %d slots; the most is %d", location, service.Slots, maxSlots)
	}
	if key := service.Key; key != nil && (key.Segment == 0) == (key.Header == "") {
		return fmt.Errorf("%s: key: name either a segment or a header", location)
	}
	methods := make(map[string]bool)
	for j, rule := range service.Rules {
		if c.RankOf(rule.Rank) < 0 {
			return fmt.Errorf("%s: rules[%d]: rank %q is not in ranks; add it there or correct the name", location, j, rule.Rank)
		}
		for _, method := range rule.Methods {
			if !slices.Contains(Methods, method) {
				return fmt.Errorf("%s: rules[%d]: %q is no method; choose among %s", location, j, method, strings.Join(Methods, ", "))
			}
			if methods[method] {
				return fmt.Errorf("%s: rules[%d]: method %s stands in two rules; keep one", location, j, method)
			}
			methods[method] = true
		}
	}
	return nil
}

// overlappingService returns the name of an earlier service if one of the two routes is a prefix of the other, or "".
func (c Config) overlappingService(i int) string {
	route := c.Services[i].Route
	for _, other := range c.Services[:i] {
		if strings.HasPrefix(route, other.Route) || strings.HasPrefix(other.Route, route) {
			return other.Name
		}
	}
	return ""
}

// RankOf returns the index of the rank with this name, or -1.
func (c Config) RankOf(name string) int {
	return slices.IndexFunc(c.Ranks, func(rank Rank) bool { return rank.Name == name })
}

// Floors returns the floors of the ranks, most urgent rank first.
func (c Config) Floors() []float64 {
	var floors []float64
	for _, rank := range c.Ranks {
		floors = append(floors, rank.Floor)
	}
	return floors
}

// ServiceNamed returns the service of this name, or nil.
func (c Config) ServiceNamed(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// ServiceForPath returns the service whose route is a prefix of the path, or nil.
func (c Config) ServiceForPath(path string) *Service {
	for i := range c.Services {
		if strings.HasPrefix(path, c.Services[i].Route) {
			return &c.Services[i]
		}
	}
	return nil
}

// RuleFor returns the rule for a method, or nil.
func (s *Service) RuleFor(method string) *Rule {
	for i := range s.Rules {
		if slices.Contains(s.Rules[i].Methods, method) {
			return &s.Rules[i]
		}
	}
	return nil
}

// HasNonIdempotent reports whether the service has any rule for non-idempotent requests.
func (s *Service) HasNonIdempotent() bool {
	return slices.ContainsFunc(s.Rules, func(rule Rule) bool { return !rule.Idempotent })
}
