package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"goji.io"
	"goji.io/pat"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/disp"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// operatorTimeout bounds an operator's call.
const operatorTimeout = 5 * time.Second

// Status is the status report of one host for operators.
type Status struct {
	Host          string                     `json:"host"`
	Zone          string                     `json:"zone"`
	AppliedIndex  uint64                     `json:"index"`
	ConfigVersion uint64                     `json:"version"`
	Leader        string                     `json:"leader"`
	LeaseLeft     time.Duration              `json:"lease-left"`
	Hosts         map[string]*state.Host     `json:"hosts"`
	Upstreams     map[string]*state.Upstream `json:"upstreams"`
	Owned         map[string]int             `json:"owned"`
	Unowned       int                        `json:"unowned"`
	Dispatches    map[string]disp.Health     `json:"dispatches"`
	ReplicaStates map[string]string          `json:"replicas,omitempty"` // by name; only on a host that is a replica
	Ranks         []string                   `json:"ranks"`              // names of the ranks, the most urgent first
	Counts        map[string]int64           `json:"counts"`
}

// operatorMux serves operators, on an address of its own that callers can't reach.
func (h *Host) operatorMux() http.Handler {
	mux := goji.NewMux()
	mux.Handle(pat.Get("/metrics"), h.metrics)
	mux.HandleFunc(pat.Get("/status"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.Status(time.Now()))
	})
	mux.HandleFunc(pat.Get("/timeline"), func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, h.timeline.All())
	})
	mux.HandleFunc(pat.Get("/config"), h.serveConfig)
	mux.HandleFunc(pat.Post("/config"), h.serveAccept)
	mux.HandleFunc(pat.Get("/progress"), h.serveProgress)
	mux.HandleFunc(pat.Post("/drain/:upstream"), h.serveDrain)
	return mux
}

// Status returns the current status of the host.
func (h *Host) Status(now time.Time) Status {
	status := Status{
		Host: h.settings.Name, Zone: h.settings.Zone, Leader: h.client.Leader(),
		LeaseLeft: h.client.LeaseUntil().Sub(now), Dispatches: h.dispatchers.Health(now),
		Hosts: make(map[string]*state.Host), Upstreams: make(map[string]*state.Upstream),
		Owned: make(map[string]int), Counts: h.counterValues(),
	}
	h.store.Read(func(s *state.State) { status.addState(s) })
	if h.controller != nil {
		status.ReplicaStates = make(map[string]string)
		for name, state := range h.controller.ReplicaStates(now) {
			status.ReplicaStates[name] = state.String()
		}
	}
	return status
}

// addState adds the ranks, hosts, upstreams and slot counts of the replicated state.
func (status *Status) addState(s *state.State) {
	for _, rank := range s.Config.Ranks {
		status.Ranks = append(status.Ranks, rank.Name)
	}
	status.AppliedIndex = s.Index
	status.ConfigVersion = s.ConfigVersion
	for name, host := range s.Hosts {
		copied := *host
		status.Hosts[name] = &copied
	}
	for id, upstream := range s.Upstreams {
		copied := *upstream
		status.Upstreams[id] = &copied
	}
	for _, table := range s.Tables {
		for owner, count := range table.Counts() {
			if owner == "" {
				status.Unowned += count
				continue
			}
			status.Owned[owner] += count
		}
	}
}

// counterValues returns the values of all counters by name.
func (h *Host) counterValues() map[string]int64 {
	all := make(map[string]int64, len(counters))
	for _, c := range counters {
		all[c.name] = c.read(h)
	}
	return all
}

// AcceptedConfig is the accepted configuration with its version.
type AcceptedConfig struct {
	Version uint64 `json:"version"`
	Body    string `json:"body"`
}

func (h *Host) serveConfig(w http.ResponseWriter, _ *http.Request) {
	var accepted AcceptedConfig
	h.store.Read(func(s *state.State) { accepted = AcceptedConfig{Version: s.ConfigVersion, Body: s.ConfigText} })
	writeJSON(w, accepted)
}

// serveAccept proposes a configuration that an operator sends.
func (h *Host) serveAccept(w http.ResponseWriter, request *http.Request) {
	var args state.AcceptConfig
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, 1<<20))
	if err == nil {
		err = json.Unmarshal(body, &args)
	}
	if err != nil || args.RequestID == "" {
		writeError(w, notRunError(http.StatusBadRequest, "body", "it is not an accept call with a request-id",
			"use lovagelink config accept"))
		return
	}
	accepted, err := h.Accept(request.Context(), args)
	switch {
	case err != nil:
		writeError(w, &verd.Error{
			Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Place: "configuration",
			Reason: err.Error(), Remedy: "send the same request-id again to learn the outcome",
		})
	case accepted.Refused != "":
		writeError(w, notRunError(http.StatusConflict, "configuration", accepted.Refused, ""))
	default:
		writeJSON(w, accepted)
	}
}

// Accept proposes a configuration through the leader and returns the result of the command.
func (h *Host) Accept(ctx context.Context, args state.AcceptConfig) (state.AcceptResult, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var accepted state.AcceptResult
	reply, err := h.client.Propose(ctx, state.Command{AcceptConfig: &args})
	if err != nil {
		return accepted, err
	}
	return accepted, json.Unmarshal(reply.Result, &accepted)
}

func (h *Host) serveProgress(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	progress, err := h.client.Progress(ctx)
	if err != nil {
		writeError(w, notRunError(http.StatusServiceUnavailable, "control", err.Error(), "ask a host of another zone"))
		return
	}
	writeJSON(w, h.progress(progress))
}

// Progress reports the log index that each host has applied.
type Progress struct {
	Hosts       map[string]uint64 `json:"hosts"`                 // for all hosts; 0 for a host that has never reported
	Unreachable []string          `json:"unreachable,omitempty"` // hosts that are not up
}

// Lagging returns the hosts that are up and have not applied the log up to an index.
func (p Progress) Lagging(index uint64) []string {
	var names []string
	for host, applied := range p.Hosts {
		if applied < index && !slices.Contains(p.Unreachable, host) {
			names = append(names, host)
		}
	}
	slices.Sort(names)
	return names
}

// progress completes the leader's report with the hosts of the settings that are missing from it, and lists the
// hosts that are not up.
func (h *Host) progress(reported ctrl.Progress) Progress {
	progress := Progress{Hosts: make(map[string]uint64)}
	h.store.Read(func(s *state.State) {
		for host := range h.zones {
			progress.Hosts[host] = reported.Hosts[host]
			if hostState := s.Hosts[host]; hostState == nil || !hostState.Up {
				progress.Unreachable = append(progress.Unreachable, host)
			}
		}
	})
	slices.Sort(progress.Unreachable)
	return progress
}

// serveDrain starts to drain an upstream.
func (h *Host) serveDrain(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	id := pat.Param(request, "upstream")
	exists := false
	h.store.Read(func(s *state.State) { exists = s.Upstreams[id] != nil })
	if !exists {
		writeError(w, notRunError(http.StatusNotFound, "upstream "+id, "it has not announced itself",
			"look at lovagelink status"))
		return
	}
	reply, err := h.client.Propose(ctx, state.Command{Drain: &state.Drain{Upstream: id}})
	if err != nil {
		writeError(w, &verd.Error{
			Verdict: verd.MayHaveRun, Status: http.StatusBadGateway, Place: "upstream " + id,
			Reason: err.Error(), Remedy: "look at lovagelink status, or drain it again",
		})
		return
	}
	writeJSON(w, ctrl.ProposalReply{OK: reply.OK, Index: reply.Index})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
