package core

import (
	"context"
	"encoding/json"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// leaderTimeout bounds a call to the leader, with all retries. Callers wait for a second.
const leaderTimeout = 800 * time.Millisecond

// leaderRetryInterval is the time between attempts to reach the leader.
const leaderRetryInterval = 30 * time.Millisecond

// proposeReply is the reply to a command: OK from the leader, the name of the leader from any other host.
type proposeReply struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
}

// AcceptConfig puts a configuration in force. It returns nil once a majority holds this or a higher version on disk.
func (h *Host) AcceptConfig(ctx context.Context, _ time.Time, config route.Config, body []byte) error {
	version := uint64(0)
	h.readNewest(func(s *realm.State) { version = s.Version() })
	if version >= config.Version {
		return nil
	}
	command := realm.Command{AcceptConfig: &realm.AcceptConfig{Config: config, Body: body}}
	_, err := askLeader(ctx, h, "order", orderTimes(len(body)), command, readProposeReply)
	return err
}

// orderRate is the least number of bytes of a configuration per second that a host sends to the leader, which encodes and
// replicates them.
const orderRate = 256 << 10

// orderTimes returns the time limits of an order with some bytes. Callers wait longer for a large one, too.
func orderTimes(bytes int) leaderTimes {
	more := time.Duration(bytes) * time.Second / orderRate
	return leaderTimes{call: callTimeout + more, all: leaderTimeout + more}
}

// proposeViaLeader proposes a command through the leader. After an error the command may or may not be in the log.
func (h *Host) proposeViaLeader(ctx context.Context, command realm.Command) error {
	_, err := askLeader(ctx, h, "order", usualTimes, command, readProposeReply)
	return err
}

func readProposeReply(r proposeReply) (bool, string) { return r.OK, r.Leader }

func (h *Host) handlePropose(ctx context.Context, _ string, command realm.Command) (proposeReply, error) {
	status, leads := h.leads(time.Now())
	if !leads {
		return proposeReply{Leader: status.Leader}, nil
	}
	for _, u := range command.Join {
		// The host that forwards the command has just received a heartbeat of the upstream.
		h.recordHeartbeats(time.Now(), u.Instance)
	}
	if command.AcceptConfig != nil {
		return proposeReply{OK: true}, h.proposeConfig(ctx, time.Now(), command.AcceptConfig)
	}
	return proposeReply{OK: true}, h.propose(ctx, paxos.Ballot{}, command)
}

// propose proposes a command. A command that was decided on under a ballot is proposed under this ballot only, since
// another leader may have granted the same keys in between; the zero ballot allows any.
func (h *Host) propose(ctx context.Context, ballot paxos.Ballot, command realm.Command) error {
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	_, _, err = h.currentReplica().replica.ProposeInBallot(ctx, ballot, data)
	return err
}

// configRequest asks for the newest configuration; Version is the version that the asking host has.
type configRequest struct {
	Version uint64 `json:"version"`
}

// configReply is the newest configuration as the operator sent it; without the body if the asking host has its version.
type configReply struct {
	OK      bool   `json:"ok"`
	Leader  string `json:"leader,omitempty"`
	Version uint64 `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// CurrentConfig returns the newest configuration, according to the leader, as the operator sent it.
func (h *Host) CurrentConfig(ctx context.Context, _ time.Time) ([]byte, error) {
	var request configRequest
	var body []byte
	h.readNewest(func(s *realm.State) {
		if body = s.Body; len(body) > 0 { // a mirrored state has no text of the configuration
			request.Version = s.Version()
		}
	})
	reply, err := askLeader(ctx, h, "current", usualTimes, request, func(r configReply) (bool, string) { return r.OK, r.Leader })
	switch {
	case err != nil:
		return nil, err
	case reply.Version == 0:
		return nil, ErrUnavailable
	case reply.Version == request.Version:
		return body, nil
	}
	return reply.Body, nil
}

func (h *Host) handleCurrent(_ context.Context, _ string, request configRequest) (configReply, error) {
	var reply configReply
	h.Read(func(s *realm.State) {
		reply.Version = s.Version()
		if reply.Version != request.Version {
			reply.Body = s.Body
		}
	})
	// Checked after the state was read, so that no later leader can have changed it before.
	status, leads := h.leads(time.Now())
	if !leads {
		return configReply{Leader: status.Leader}, nil
	}
	reply.OK = true
	return reply, nil
}

// leaderTimes limits the time of each call to the leader, and that of all of them.
type leaderTimes struct{ call, all time.Duration }

var usualTimes = leaderTimes{call: callTimeout, all: leaderTimeout}

// askLeader calls the leader, or members in turn while the leader is unknown, until the leader has replied. The
// function read reports whether a reply is the leader's, and the leader that another host names.
func askLeader[R any](ctx context.Context, h *Host, method string, times leaderTimes, args any, read func(R) (bool, string)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, times.all)
	defer cancel()
	var zero R
	target := h.leaderName(time.Now())
	for turn := 0; ctx.Err() == nil; turn++ {
		if target == "" {
			members := h.controlHosts(time.Now())
			if len(members) == 0 {
				return zero, ErrUnavailable
			}
			target = members[turn%len(members)].Name
		}
		callCtx, cancelCall := context.WithTimeout(ctx, times.call)
		reply, err := peer.Call[R](callCtx, h.endpoint, target, method, args)
		cancelCall()
		if err == nil {
			ok, leader := read(reply)
			if ok {
				return reply, nil
			}
			if leader == target {
				leader = ""
			}
			target = leader
		} else {
			target = ""
		}
		pause.For(ctx, leaderRetryInterval)
	}
	return zero, ErrUnavailable
}
