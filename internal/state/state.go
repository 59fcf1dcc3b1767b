package state

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"lovagelink.example/lovagelink/internal/conf"
)

// maxResults bounds how many answers to operators are kept for resends.
const maxResults = 4096

// State is everything that the control log decides.
type State struct {
	Index         uint64               `json:"index"`
	Digest        uint64               `json:"digest"` // of all commands so far
	ConfigVersion uint64               `json:"version"`
	ConfigText    string               `json:"body"`
	Hosts         map[string]*Host     `json:"hosts"`
	Upstreams     map[string]*Upstream `json:"upstreams"`
	Tables        map[string]*Table    `json:"tables"`
	Results       []Result             `json:"results"`

	Config conf.Config `json:"-"`
}

// Host is an entry host as the leader sees it.
type Host struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	Up          bool   `json:"up"`
	Restarted   bool   `json:"returned,omitempty"` // it has had an earlier life
}

// IsHostUp reports whether this life of a host counts as up.
func (s *State) IsHostUp(holder HostInstance) bool {
	host := s.Hosts[holder.Host]
	return host != nil && host.Up && host.Incarnation == holder.Incarnation
}

// Result is a kept answer to an operator.
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

// Parse reads a state from its snapshot.
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

// Apply carries out a command at a log position and returns its answer.
func (s *State) Apply(index uint64, data []byte) []byte {
	s.Index = index
	s.Digest = chain(s.Digest, index, data)
	var command Command
	if err := json.Unmarshal(data, &command); err != nil {
		return nil
	}
	switch {
	case command.AcceptConfig != nil:
		answer, _ := json.Marshal(s.accept(index, *command.AcceptConfig))
		return answer
	case command.HostStatus != nil:
		s.markHost(*command.HostStatus)
	case command.Join != nil:
		s.join(command.Join.Upstream)
	case command.DispatcherAssignments != nil:
		s.dispatch(index, command.DispatcherAssignments)
	case command.MarkLost != nil:
		s.lose(index, *command.MarkLost)
	case command.Drain != nil:
		s.drain(command.Drain.Upstream)
	case command.Leave != nil:
		s.leave(command.Leave.Upstream)
	case command.SlotMoves != nil:
		s.move(command.SlotMoves)
	case command.SlotAssignments != nil:
		s.assign(index, command.SlotAssignments)
	}
	return nil
}

// accept takes a configuration on: of two operators with equal versions the first wins, and a
// resend gets the first answer.
func (s *State) accept(index uint64, args AcceptConfig) AcceptResult {
	for _, result := range s.Results {
		if result.RequestID == args.RequestID {
			return result.Accepted
		}
	}
	answer := s.tryAccept(args)
	answer.Index = index
	s.Results = append(s.Results, Result{RequestID: args.RequestID, Accepted: answer})
	if over := len(s.Results) - maxResults; over > 0 {
		s.Results = append([]Result(nil), s.Results[over:]...)
	}
	return answer
}

func (s *State) tryAccept(args AcceptConfig) AcceptResult {
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
	s.fitTables()
	return AcceptResult{ConfigVersion: s.ConfigVersion}
}

// fitTables adds tables for new services and drops those of services that are gone.
func (s *State) fitTables() {
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

func (s *State) markHost(mark HostStatus) {
	host := s.Hosts[mark.Name]
	if !mark.Up {
		if host != nil && host.Incarnation == mark.Incarnation {
			host.Up = false
		}
		return
	}
	s.Hosts[mark.Name] = &Host{
		Name: mark.Name, Zone: mark.Zone, Incarnation: mark.Incarnation, Up: true,
		Restarted: host != nil && (host.Restarted || host.Incarnation != mark.Incarnation),
	}
}

// IsFirstIncarnation reports whether a host is known to be in its first life, so that it can't have lost anything.
func (s *State) IsFirstIncarnation(holder HostInstance) bool {
	host := s.Hosts[holder.Host]
	return host != nil && host.Incarnation == holder.Incarnation && !host.Restarted
}

// chain extends the digest by a command, so that copies which differ anywhere differ from then on.
func chain(digest, index uint64, data []byte) uint64 {
	var hash xxhash.Digest
	hash.Reset()
	fmt.Fprintf(&hash, "%d %d ", digest, index)
	_, _ = hash.Write(data)
	return hash.Sum64()
}
