package upsim

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
	"gopkg.in/tomb.v2"

	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/state"
	"lovagelink.example/lovagelink/internal/upapi"
)

const (
	announceInterval = 300 * time.Millisecond
	announceTimeout  = 500 * time.Millisecond
)

// Settings describe a simulated upstream.
type Settings struct {
	ID             string
	Service        string
	Zone           string
	Address        netip.AddrPort
	Concurrency    int
	Connections    int
	VerifiesGrants bool // requests without a valid grant are refused
	Keyed          bool // each key of the service has one owner
	ServiceTime    time.Duration
	Warmup         time.Duration // period after the start in which the service time is multiplied by coldFactor
	ShedAbove      int           // maximum number of concurrent requests; further ones are refused; 0 means no maximum
	AnswerBytes    int
	Entries        []netip.AddrPort // addresses to announce to; the next one is used after a failure
	AnnounceAll    bool             // announce to all entry hosts at each interval
}

// Upstream is a simulated upstream.
type Upstream struct {
	settings    Settings
	network     peer.Network
	ledger      *Ledger
	incarnation string
	started     time.Time
	semaphore   chan struct{}
	server      *http.Server
	client      *http.Client
	tomb        tomb.Tomb
	stop        context.CancelFunc

	mu       sync.Mutex
	granted  grantState
	draining bool
	busy     int
	faults   Faults
	thawed   chan struct{} // closed while the upstream is not frozen
}

// Faults are the faults injected into the responses of an upstream.
type Faults struct {
	Late         time.Duration `json:"late"`    // delay of each response after the work is done
	FalseHealthy bool          `json:"lie"`     // the health endpoint answers while frozen and hides draining
	Truncate     bool          `json:"cut"`     // response bodies end in the middle
	WrongID      bool          `json:"crossed"` // responses carry the id of another request
}

// New returns an upstream that does not listen before Start is called.
func New(now time.Time, settings Settings, network peer.Network, ledger *Ledger) *Upstream {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	thawed := make(chan struct{})
	close(thawed)
	return &Upstream{
		settings: settings, network: network, ledger: ledger,
		incarnation: hex.EncodeToString(raw[:]), started: now,
		semaphore: make(chan struct{}, settings.Concurrency), thawed: thawed,
		client: newClient(network),
	}
}

func newClient(network peer.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(network)}}
}

// Start listens on the upstream's address and begins to announce the upstream.
func (u *Upstream) Start() error {
	listener, err := u.network.Listen(u.settings.Address)
	if err != nil {
		return fmt.Errorf("upstream %s: %w; is another process using the address?", u.settings.ID, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	u.stop = stop
	u.server = &http.Server{
		Handler:           u.mux(),
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	u.tomb.Go(func() error {
		if err := u.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	u.tomb.Go(u.announceLoop)
	return nil
}

// Kill stops the upstream immediately, without draining.
func (u *Upstream) Kill() {
	if u.server == nil {
		return
	}
	u.stop()
	u.tomb.Kill(nil)
	_ = u.server.Close()
	u.SetFrozen(false)
	_ = u.tomb.Wait()
	u.client.CloseIdleConnections()
}

// Drain makes the upstream report that it is draining.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// SetFrozen pauses all work of the upstream, like a stopped process, or resumes it.
func (u *Upstream) SetFrozen(frozen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	isFrozen := u.isFrozen()
	switch {
	case frozen && !isFrozen:
		u.thawed = make(chan struct{})
	case !frozen && isFrozen:
		close(u.thawed)
	}
}

// SetFaults replaces the injected faults.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// GrantedSlots returns the slots whose grant has not expired by the upstream's own clock.
func (u *Upstream) GrantedSlots(now time.Time) []int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.granted.activeSlots(u.clock(now))
}

func (u *Upstream) isFrozen() bool {
	select {
	case <-u.thawed:
		return false
	default:
		return true
	}
}

// waitWhileFrozen blocks until the upstream is not frozen.
func (u *Upstream) waitWhileFrozen() {
	u.mu.Lock()
	thawed := u.thawed
	u.mu.Unlock()
	<-thawed
}

// clock returns the upstream's own time, which advances during a freeze.
func (u *Upstream) clock(now time.Time) time.Duration {
	return now.Sub(u.started) + time.Second
}

func (u *Upstream) mux() http.Handler {
	mux := goji.NewMux()
	mux.HandleFunc(pat.Put(upapi.GrantPath), u.serveGrant)
	mux.HandleFunc(pat.Get("/lovagelink/ledger"), u.serveLedger)
	mux.HandleFunc(pat.Post("/lovagelink/faults"), u.serveFaults)
	mux.HandleFunc(pat.Post("/lovagelink/drain"), func(http.ResponseWriter, *http.Request) { u.Drain() })
	mux.HandleFunc(pat.Get("/health"), u.serveHealth)
	mux.HandleFunc(pat.New("/*"), u.serveWork)
	return mux
}

// announceLoop announces the upstream at each interval: to all entry hosts with AnnounceAll, otherwise to one of them,
// and to the next one after a failure.
func (u *Upstream) announceLoop() error {
	next := 0
	for u.tomb.Alive() {
		u.waitWhileFrozen()
		if u.settings.AnnounceAll {
			u.announceAll()
		} else if len(u.settings.Entries) > 0 && u.announce(u.settings.Entries[next%len(u.settings.Entries)]) != nil {
			next++
		}
		pause.For(u.tomb.Context(context.Background()), announceInterval)
	}
	return nil
}

// announceAll announces the upstream to every entry host, for routers that do not share announcements.
func (u *Upstream) announceAll() {
	for _, entry := range u.settings.Entries {
		go func() { _ = u.announce(entry) }()
	}
}

func (u *Upstream) announce(entry netip.AddrPort) error {
	data, err := json.Marshal(state.Announced{
		ID: u.settings.ID, Incarnation: u.incarnation, Service: u.settings.Service,
		Zone: u.settings.Zone, Address: u.settings.Address, Concurrency: u.settings.Concurrency,
		Connections: u.settings.Connections, VerifiesGrants: u.settings.VerifiesGrants,
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(u.tomb.Context(context.Background()), announceTimeout)
	defer cancel()
	url := "http://" + entry.String() + upapi.AnnouncePath
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := u.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("entry host responded to the announcement with status %d", response.StatusCode)
	}
	return nil
}

func (u *Upstream) serveLedger(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(u.ledger.Runs())
}

func (u *Upstream) serveFaults(w http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	u.SetFaults(faults)
}

func (u *Upstream) serveHealth(w http.ResponseWriter, _ *http.Request) {
	u.mu.Lock()
	falseHealthy, draining, busy := u.faults.FalseHealthy, u.draining, u.busy
	u.mu.Unlock()
	if !falseHealthy {
		u.waitWhileFrozen()
	}
	_ = json.NewEncoder(w).Encode(struct {
		Draining bool `json:"draining"`
		Busy     int  `json:"busy"`
	}{draining && !falseHealthy, busy})
}
