package entry

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/pkg/verd"
)

// announceKept is how long an announcement is passed on to the leader.
const announceKept = 2 * time.Second

// heard holds the upstreams that have announced themselves here lately.
type heard struct {
	mu    sync.Mutex
	all   map[string]state.Announced
	times map[string]time.Time
}

func newHeard() *heard {
	return &heard{all: make(map[string]state.Announced), times: make(map[string]time.Time)}
}

func (h *heard) add(now time.Time, announced state.Announced) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.all[announced.ID] = announced
	h.times[announced.ID] = now
}

// unknown lists the upstreams that the state does not count as present.
func (h *heard) unknown(now time.Time, s *state.State) []state.Announced {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []state.Announced
	for id, announced := range h.all {
		if now.Sub(h.times[id]) > announceKept {
			delete(h.all, id)
			delete(h.times, id)
			continue
		}
		known := s.Upstreams[id]
		if known == nil || known.Phase == state.Lost {
			list = append(list, announced)
		}
	}
	return list
}

// serveAnnounce hears an upstream announce itself.
func (h *Host) serveAnnounce(w http.ResponseWriter, request *http.Request) {
	var announced state.Announced
	body := http.MaxBytesReader(w, request.Body, 64<<10)
	if err := json.NewDecoder(body).Decode(&announced); err != nil {
		writeFault(w, notRun(http.StatusBadRequest, "announcement", err.Error(), "send the fields of the protocol"))
		return
	}
	var fault *verd.Error
	isKnown := false
	h.feed.Read(func(s *state.State) {
		fault = checkAnnounced(s, announced)
		known := s.Upstreams[announced.ID]
		isKnown = known != nil && known.Phase != state.Lost
	})
	if fault != nil {
		writeFault(w, fault)
		return
	}
	h.heard.add(time.Now(), announced)
	if !isKnown {
		h.client.TriggerHeartbeat()
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Known bool `json:"known"`
	}{isKnown})
}

func checkAnnounced(s *state.State, a state.Announced) *verd.Error {
	switch {
	case a.ID == "" || a.Incarnation == "" || a.Zone == "":
		return notRun(http.StatusBadRequest, "announcement", "id, incarnation or zone is missing", "send all three")
	case !a.Address.IsValid():
		return notRun(http.StatusBadRequest, "announcement: address", "it is not an IP address with a port", "correct it")
	case a.Concurrency < 1:
		return notRun(http.StatusBadRequest, "announcement: slots", "it must be 1 or more", "correct it")
	case s.ConfigVersion > 0 && s.Config.ServiceNamed(a.Service) == nil:
		return notRun(http.StatusNotFound, "announcement: service", "no service is named "+a.Service, "correct it, or accept a configuration with the service")
	}
	return nil
}
