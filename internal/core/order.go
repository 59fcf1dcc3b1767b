package core

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// orderTimeout bounds how long the leader waits for a configuration to be chosen, whether or not anyone still asks. An
// order with thousands of routes takes longer than a call.
const orderTimeout = 3 * time.Second

// configOrder is a configuration that this host, which leads, is proposing.
type configOrder struct {
	body []byte
	done chan struct{} // is closed when the outcome is known
	err  error
}

// proposeConfig proposes a configuration. The host that has received it, and the operator, ask again while a large one is
// being encoded and replicated; they wait for the same proposal then, since another one would take as long again.
func (h *Host) proposeConfig(ctx context.Context, now time.Time, accept *realm.AcceptConfig) error {
	version, isHeld := accept.Config.Version, false
	h.Read(func(s *realm.State) { isHeld = s.Version() >= version })
	if isHeld {
		return nil
	}
	h.mu.Lock()
	order := h.configOrders[version]
	if order == nil || !bytes.Equal(order.body, accept.Body) {
		order = &configOrder{body: accept.Body, done: make(chan struct{})}
		h.configOrders[version] = order
		go h.runOrder(now, order, accept)
	}
	h.mu.Unlock()
	select {
	case <-order.done:
		return order.err
	case <-ctx.Done():
		return paxos.ErrOutcomeUnknown
	}
}

func (h *Host) runOrder(now time.Time, order *configOrder, accept *realm.AcceptConfig) {
	order.err = h.proposeNew(now, accept)
	h.mu.Lock()
	if version := accept.Config.Version; h.configOrders[version] == order {
		delete(h.configOrders, version)
	}
	h.mu.Unlock()
	close(order.done)
}

// errOwnersNotKept is returned for a configuration that can't be accepted yet: members of the log may forget owners whose
// grants are still in force.
var errOwnersNotKept = errors.New("not all members of the log are known to keep the owners of the service that the configuration takes away")

// proposeNew proposes a configuration, compressed if all members understand it.
func (h *Host) proposeNew(now time.Time, accept *realm.AcceptConfig) error {
	keepsOwners, withdrawn := h.keepsOwners(now), ""
	h.Read(func(s *realm.State) { withdrawn = s.WithdrawnBy(&accept.Config) })
	if withdrawn != "" {
		_ = h.logger.Log("event", "service-withdrawn", "service", withdrawn, "version", accept.Config.Version, "owners-kept", keepsOwners)
		if !keepsOwners {
			return errOwnersNotKept
		}
	}
	command := realm.Command{AcceptConfig: accept}
	if h.allUnderstand(now, packedConfigs) {
		var err error
		if command, err = realm.NewAcceptPacked(accept); err != nil {
			return err
		}
	}
	command.KeepOwners = keepsOwners
	data, err := json.Marshal(command)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(h.tomb.Context(context.Background()), orderTimeout)
	defer cancel()
	_, _, err = h.currentReplica().replica.Propose(ctx, data)
	return err
}
