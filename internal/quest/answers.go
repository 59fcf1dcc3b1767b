package quest

import (
	"net/netip"
	"time"

	"lovagelink.example/lovagelink/internal/conf"
)

// Answers are a team's answers to the questionnaire about its deployment.
type Answers struct {
	Zones    []string  `yaml:"zones"`
	Hosts    []Host    `yaml:"hosts"`
	Ranks    []Rank    `yaml:"ranks"` // in order, the most urgent first
	Services []Service `yaml:"services"`
}

// Host is one entry host; it also listens on the four ports after the one for callers.
type Host struct {
	Name    string         `yaml:"name"`
	Zone    string         `yaml:"zone"`
	Callers netip.AddrPort `yaml:"callers"`
	Disk    string         `yaml:"disk,omitempty"` // folder on a persistent disk, "" if the host has none
}

// Rank is a priority class of work.
type Rank struct {
	Name           string        `yaml:"name"`
	AnsweredWithin time.Duration `yaml:"answered-within"`
	Worth          float64       `yaml:"worth"`
	KeptInFlood    int           `yaml:"kept-in-flood,omitempty"` // guaranteed upstream time under overload, in percent
	MayWait        time.Duration `yaml:"may-wait,omitempty"`
}

// Service is one service that the upstreams offer: its path, its key and its kinds of work.
type Service struct {
	Name    string    `yaml:"name"`
	Path    string    `yaml:"path"`
	Key     *conf.Key `yaml:"key,omitempty"`
	Parts   int       `yaml:"parts,omitempty"`
	WhenCut string    `yaml:"when-zone-is-cut-off,omitempty"`
	Work    []Work    `yaml:"work"`
}

// Work is the work that a service does for some HTTP methods.
type Work struct {
	Methods   []string      `yaml:"methods"`
	Rank      string        `yaml:"rank"`
	MayRepeat bool          `yaml:"may-repeat,omitempty"`
	GiveUp    time.Duration `yaml:"give-up-after"`
}

// Choices of Service.WhenCut: whether the keys of a partitioned zone move to other zones or stay.
const (
	serveElsewhere = "serve-elsewhere"
	serveInZone    = "serve-in-zone"
)

// Parse decodes answers strictly: an unknown field is an error that names its line.
func Parse(data []byte) (Answers, error) {
	var answers Answers
	err := conf.Decode(data, &answers)
	return answers, err
}
