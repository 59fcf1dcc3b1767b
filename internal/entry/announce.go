package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// announcementTTL is how long heartbeats to the leader repeat an announcement after this host received it.
const announcementTTL = 2 * time.Second

// announcements holds the recent announcements that upstreams sent to this host.
type announcements struct {
	mu         sync.Mutex
	byID       map[string]state.Announced
	receivedAt map[string]time.Time
}

func newAnnouncements() *announcements {
	return &announcements{byID: make(map[string]state.Announced), receivedAt: make(map[string]time.Time)}
}

func (a *announcements) add(now time.Time, announced state.Announced) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[announced.ID] = announced
	a.receivedAt[announced.ID] = now
}

// missingFrom returns the unexpired announcements of upstreams that the state does not hold or has marked as
// lost. It removes expired announcements.
func (a *announcements) missingFrom(now time.Time, s *state.State) []state.Announced {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []state.Announced
	for id, announced := range a.byID {
		if now.Sub(a.receivedAt[id]) > announcementTTL {
			delete(a.byID, id)
			delete(a.receivedAt, id)
			continue
		}
		upstream := s.Upstreams[id]
		if upstream == nil || upstream.Phase == state.Lost {
			list = append(list, announced)
		}
	}
	return list
}

// serveAnnounce records an upstream's announcement, and triggers a heartbeat to the leader if the state does not hold
// the upstream or has marked it as lost.
func (h *Host) serveAnnounce(w http.ResponseWriter, request *http.Request) {
	var announced state.Announced
	body := http.MaxBytesReader(w, request.Body, 64<<10)
	if err := json.NewDecoder(body).Decode(&announced); err != nil {
		writeError(w, notRunError(http.StatusBadRequest, "announcement", err.Error(), "send the fields of the protocol"))
		return
	}
	var fault *verd.Error
	isPresent := false
	h.store.Read(func(s *state.State) {
		fault = checkAnnounced(s, announced)
		upstream := s.Upstreams[announced.ID]
		isPresent = upstream != nil && upstream.Phase != state.Lost
	})
	if fault != nil {
		writeError(w, fault)
		return
	}
	h.announcements.add(time.Now(), announced)
	if !isPresent {
		h.client.TriggerHeartbeat()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Known bool `json:"known"`
	}{isPresent})
}

func checkAnnounced(s *state.State, a state.Announced) *verd.Error {
	switch {
	case a.ID == "" || a.Incarnation == "" || a.Zone == "":
		return notRunError(http.StatusBadRequest, "announcement", "id, incarnation or zone is missing", "send all three")
	case !a.Address.IsValid():
		return notRunError(http.StatusBadRequest, "announcement: address", "it is not an IP address with a port",
			"correct it")
	case a.Concurrency < 1:
		return notRunError(http.StatusBadRequest, "announcement: slots", "it must be 1 or more", "correct it")
	case s.ConfigVersion > 0 && s.Config.ServiceNamed(a.Service) == nil:
		return notRunError(http.StatusNotFound, "announcement: service", "no service is named "+a.Service,
			"correct it, or accept a configuration with the service")
	}
	return nil
}
