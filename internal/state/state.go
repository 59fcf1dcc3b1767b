package state

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/conf"
)

// maxResults is the number of results of AcceptConfig commands that are stored to answer retries.
const maxResults = 4096

// State is the state that the control log replicates.
type State struct {
	Index         uint64               `json:"index"`
	Digest        uint64               `json:"digest"` // hash over all applied commands
	ConfigVersion uint64               `json:"version"`
	ConfigText    string               `json:"body"`
	Hosts         map[string]*Host     `json:"hosts"`
	Upstreams     map[string]*Upstream `json:"upstreams"`
	Tables        map[string]*Table    `json:"tables"`
	Results       []Result             `json:"results"`

	Config conf.Config `json:"-"`
}

// Host is the state of an entry host as recorded by the leader.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Up          bool   `json:"up"`
	Restarted   bool   `json:"returned,omitempty"` // there was an earlier incarnation of the host
}

// IsHostUp reports whether this instance of a host is marked as up.
func (s *State) IsHostUp(instance HostInstance) bool {
	host := s.Hosts[instance.Host]
	return host != nil && host.Up && host.Incarnation == instance.Incarnation
}

// Result is the stored result of an AcceptConfig command.
type Result struct {
	RequestID string       `json:"request-id"`
	Accepted  AcceptResult `json:"accepted"`
}

// New returns an empty state.
func New() *State {
	return &State{
		Hosts:     make(map[string]*Host),
		Upstreams: make(map[string]*Upstream),
		Tables:    make(map[string]*Table),
	}
}

// Parse decodes a state from a snapshot.
func Parse(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	for name, table := range s.Tables {
		if table == nil {
			return nil, fmt.Errorf("read state: service %s has no table", name)
		}
		table.reindex()
	}
	if s.ConfigText == "" {
		return s, nil
	}
	config, err := conf.ParseConfig([]byte(s.ConfigText))
	if err != nil {
		return nil, fmt.Errorf("read state: %w", err)
	}
	s.Config = config
	return s, nil
}

// Apply applies the command at a log index and returns the command's result, or nil if the command has none.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.Index = index
	s.Digest = extendDigest(s.Digest, index, data)
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return nil
	}
	switch {
	case command.AcceptConfig != nil:
		result, _ := json.Marshal(s.acceptConfig(index, *command.AcceptConfig))
		return result
	case command.HostStatus != nil:
		s.markHost(*command.HostStatus)
	case command.Join != nil:
		s.join(command.Join.Upstream)
	case command.DispatcherAssignments != nil:
		s.assignDispatchers(index, command.DispatcherAssignments)
	case command.MarkLost != nil:
		s.markLost(index, *command.MarkLost)
	case command.Drain != nil:
		s.drain(command.Drain.Upstream)
	case command.Leave != nil:
		s.leave(command.Leave.Upstream)
	case command.SlotMoves != nil:
		s.setNextOwners(command.SlotMoves)
	case command.SlotAssignments != nil:
		s.assignSlots(index, command.SlotAssignments)
	}
	return nil
}

// acceptConfig accepts a configuration if the expected version is the current version, so that only the first of two
// concurrent changes is accepted. A retry with the same request id gets the result of the first attempt.
func (s *State) acceptConfig(index uint64, args AcceptConfig) AcceptResult {
	for _, result := range s.Results {
		if result.RequestID == args.RequestID {
			return result.Accepted
		}
	}
	accepted := s.tryAcceptConfig(args)
	accepted.Index = index
	s.Results = append(s.Results, Result{RequestID: args.RequestID, Accepted: accepted})
	if excess := len(s.Results) - maxResults; excess > 0 {
		s.Results = append([]Result(nil), s.Results[excess:]...)
	}
	return accepted
}

func (s *State) tryAcceptConfig(args AcceptConfig) AcceptResult {
	if args.ExpectedVersion != s.ConfigVersion {
		return AcceptResult{ConfigVersion: s.ConfigVersion, Refused: fmt.Sprintf(
			"expected version %d but %d is accepted; look at what changed and accept again", args.ExpectedVersion, s.ConfigVersion)}
	}
	config, err := conf.ParseConfig([]byte(args.ConfigText))
	if err != nil {
		return AcceptResult{ConfigVersion: s.ConfigVersion, Refused: err.Error()}
	}
	for _, service := range config.Services {
		if table := s.Tables[service.Name]; table != nil && len(table.Slots) != service.Slots {
			return AcceptResult{ConfigVersion: s.ConfigVersion, Refused: fmt.Sprintf(
				"service %s has %d slots, which can't change; keep the number", service.Name, len(table.Slots))}
		}
	}
	s.ConfigVersion++
	s.ConfigText = args.ConfigText
	s.Config = config
	s.syncTables()
	return AcceptResult{ConfigVersion: s.ConfigVersion}
}

// syncTables adds tables for new services and deletes the tables of services that were removed.
func (s *State) syncTables() {
	for _, service := range s.Config.Services {
		if s.Tables[service.Name] == nil {
			s.Tables[service.Name] = newTable(service.Slots)
		}
	}
	for name := range s.Tables {
		if s.Config.ServiceNamed(name) == nil {
			delete(s.Tables, name)
		}
	}
}

func (s *State) markHost(status HostStatus) {
	host := s.Hosts[status.Name]
	if !status.Up {
		if host != nil && host.Incarnation == status.Incarnation {
			host.Up = false
		}
		return
	}
	s.Hosts[status.Name] = &Host{
		Name: status.Name, Zone: status.Zone, Incarnation: status.Incarnation, Up: true,
		Restarted: host != nil && (host.Restarted || host.Incarnation != status.Incarnation),
	}
}

// IsFirstIncarnation reports whether this instance is known to be the first one of its host, so that no earlier
// instance can have lost records.
func (s *State) IsFirstIncarnation(instance HostInstance) bool {
	host := s.Hosts[instance.Host]
	return host != nil && host.Incarnation == instance.Incarnation && !host.Restarted
}

// extendDigest adds a command to the digest. The digests of two stores that applied different commands differ from the
// first difference on.
func extendDigest(digest, index uint64, data []byte) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	fmt.Fprintf(&hash, "%d %d ", digest, index)
	_, _ = hash.Write(data)
	return hash.Sum64()
}
