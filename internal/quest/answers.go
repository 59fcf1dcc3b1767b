package quest

import (
	"net/netip"
	"time"

	"lovagelink.example/lovagelink/internal/conf"
)

// Answers are what a team says of its deployment.
type Answers struct {
	Zones    []string  `yaml:"zones"`
	Hosts    []Host    `yaml:"hosts"`
	Ranks    []Rank    `yaml:"ranks"` // the most urgent first
	Services []Service `yaml:"services"`
}

// Host is one entry host; the four ports after the callers' are its own as well.
type Host struct {
	Name    string         `yaml:"name"`
	Zone    string         `yaml:"zone"`
	Callers netip.AddrPort `yaml:"callers"`
	Disk    string         `yaml:"disk,omitempty"` // folder whose files last, "" without a disk
}

// Rank is one rank of work.
type Rank struct {
	Name           string        `yaml:"name"`
	AnsweredWithin time.Duration `yaml:"answered-within"`
	Worth          float64       `yaml:"worth"`
	KeptInFlood    int           `yaml:"kept-in-flood,omitempty"` // percent of the upstreams' time
	MayWait        time.Duration `yaml:"may-wait,omitempty"`
}

// Service is one service of the upstreams.
type Service struct {
	Name    string    `yaml:"name"`
	Path    string    `yaml:"path"`
	Key     *conf.Key `yaml:"key,omitempty"`
	Parts   int       `yaml:"parts,omitempty"`
	WhenCut string    `yaml:"when-zone-is-cut-off,omitempty"`
	Work    []Work    `yaml:"work"`
}

// Work is one kind of work of a service.
type Work struct {
	Methods   []string      `yaml:"methods"`
	Rank      string        `yaml:"rank"`
	MayRepeat bool          `yaml:"may-repeat,omitempty"`
	GiveUp    time.Duration `yaml:"give-up-after"`
}

// What a zone that is cut off does with a service.
const (
	elsewhere = "serve-elsewhere"
	inZone    = "serve-in-zone"
)

// Parse reads answers strictly; an unknown field is an error that shows its line.
func Parse(data []byte) (Answers, error) {
	var answers Answers
	err := conf.Decode(data, &answers)
	return answers, err
}
