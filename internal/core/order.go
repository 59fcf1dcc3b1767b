package core

import (
	"context"
	"encoding/json"
	"time"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// orderLimit is how long an order tries to reach the leader. Callers wait for a second.
const orderLimit = 800 * time.Millisecond

const askAgain = 30 * time.Millisecond // between two attempts to find the leader

// ordered is the leader's answer to a command.
type ordered struct {
	OK     bool   `json:"ok"`
	Leader string `json:"leader,omitempty"`
}

// AcceptConfig puts a configuration in force. It returns nil once a majority holds it, or a higher version, on disk.
func (h *Host) AcceptConfig(ctx context.Context, _ time.Time, config route.Config, body []byte) error {
	known := uint64(0)
	h.Read(func(s *realm.State) { known = s.Version() })
	if known >= config.Version {
		return nil
	}
	return h.order(ctx, realm.Command{AcceptConfig: &realm.AcceptConfig{Config: config, Body: body}})
}

// order puts a command into the log by way of the leader. After an error it may or may not be there.
func (h *Host) order(ctx context.Context, command realm.Command) error {
	_, err := askLeader(ctx, h, "order", command, func(r ordered) (bool, string) { return r.OK, r.Leader })
	return err
}

func (h *Host) handleOrder(ctx context.Context, _ string, command realm.Command) (ordered, error) {
	status, leads := h.leads(time.Now())
	if !leads {
		return ordered{Leader: status.Leader}, nil
	}
	for _, u := range command.Join {
		h.hear(time.Now(), u.Instance) // the host that passes this on has just heard it
	}
	return ordered{OK: true}, h.propose(ctx, paxos.Ballot{}, command)
}

// propose puts a command into the log. What was decided on under one ballot is proposed under that alone, since another
// leader may have granted in between what was free; the zero value is any.
func (h *Host) propose(ctx context.Context, ballot paxos.Ballot, command realm.Command) error {
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	_, _, err = h.current().replica.ProposeInBallot(ctx, ballot, data)
	return err
}

// held is the version that a host holds when it asks for the newest one.
type held struct {
	Version uint64 `json:"version"`
}

// newest is the newest configuration as the operator sent it; without its body for a host that holds it.
type newest struct {
	OK      bool   `json:"ok"`
	Leader  string `json:"leader,omitempty"`
	Version uint64 `json:"version"`
	Body    []byte `json:"body,omitempty"`
}

// CurrentConfig returns the newest configuration as the operator sent it, by the word of the leader.
func (h *Host) CurrentConfig(ctx context.Context, _ time.Time) ([]byte, error) {
	var own held
	var body []byte
	h.Read(func(s *realm.State) { own.Version, body = s.Version(), s.Body })
	reply, err := askLeader(ctx, h, "current", own, func(r newest) (bool, string) { return r.OK, r.Leader })
	switch {
	case err != nil:
		return nil, err
	case reply.Version == 0:
		return nil, ErrUnavailable
	case reply.Version == own.Version:
		return body, nil
	}
	return reply.Body, nil
}

func (h *Host) handleCurrent(_ context.Context, _ string, asker held) (newest, error) {
	var reply newest
	h.Read(func(s *realm.State) {
		reply.Version = s.Version()
		if reply.Version != asker.Version {
			reply.Body = s.Body
		}
	})
	status, leads := h.leads(time.Now()) // asked after the state was read, so that no later leader can have changed it
	if !leads {
		return newest{Leader: status.Leader}, nil
	}
	reply.OK = true
	return reply, nil
}

// askLeader calls the leader, or whoever may know it, until it has answered.
func askLeader[R any](ctx context.Context, h *Host, method string, args any, read func(R) (bool, string)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	var none R
	target := h.Status(time.Now()).Leader
	for turn := 0; ctx.Err() == nil; turn++ {
		if target == "" {
			members := h.members(time.Now())
			if len(members) == 0 {
				return none, ErrUnavailable
			}
			target = members[turn%len(members)]
		}
		reply, err := callWithin[R](ctx, h, target, method, args)
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
		pause.For(ctx, askAgain)
	}
	return none, ErrUnavailable
}
