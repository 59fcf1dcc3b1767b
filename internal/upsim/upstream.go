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

// Periods of the stand-in.
const (
	announcePeriod  = 300 * time.Millisecond
	announceTimeout = 500 * time.Millisecond
)

// Settings describe a stand-in upstream.
type Settings struct {
	ID             string
	Service        string
	Zone           string
	Address        netip.AddrPort
	Concurrency    int
	Connections    int
	VerifiesGrants bool // refuses work without a valid grant
	Keyed          bool // the service is divided by key
	ServiceTime    time.Duration
	Warmup         time.Duration // after the start, work takes three times as long
	ShedAbove      int           // requests at a time above which work is refused; 0 means never
	AnswerBytes    int
	Entries        []netip.AddrPort // where to announce itself, tried in turn
	AnnounceAll    bool             // at all of them each time
}

// Upstream is one stand-in upstream.
type Upstream struct {
	settings    Settings
	network     peer.Network
	ledger      *Ledger
	incarnation string
	started     time.Time
	slots       chan struct{}
	server      *http.Server
	client      *http.Client
	tomb        tomb.Tomb
	stop        context.CancelFunc

	mu       sync.Mutex
	fence    fence
	draining bool
	busy     int
	faults   Faults
	thaw     chan struct{} // closed while the process is not frozen
}

// Faults is how an upstream misbehaves.
type Faults struct {
	Late         time.Duration `json:"late"`    // added to each answer, behind the work
	FalseHealthy bool          `json:"lie"`     // the health endpoint says all is well whatever happens
	Truncate     bool          `json:"cut"`     // answers end in the middle
	WrongID      bool          `json:"crossed"` // answers carry the id of another request
}

// New returns a stand-in; Start sets it to work.
func New(now time.Time, settings Settings, network peer.Network, ledger *Ledger) *Upstream {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	thaw := make(chan struct{})
	close(thaw)
	return &Upstream{
		settings: settings, network: network, ledger: ledger,
		incarnation: hex.EncodeToString(raw[:]), started: now,
		slots: make(chan struct{}, settings.Concurrency), thaw: thaw,
		client: newClient(network),
	}
}

func newClient(network peer.Network) *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(network)}}
}

// Start opens the address and begins to announce the upstream.
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

// Kill ends the upstream at once.
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

// Drain has the upstream say that it is leaving.
func (u *Upstream) Drain() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = true
}

// SetFrozen stops all work of the upstream, or lets it go on as though nothing had happened.
func (u *Upstream) SetFrozen(frozen bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	isFrozen := u.isFrozen()
	switch {
	case frozen && !isFrozen:
		u.thaw = make(chan struct{})
	case !frozen && isFrozen:
		close(u.thaw)
	}
}

// SetFaults sets the faults.
func (u *Upstream) SetFaults(faults Faults) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.faults = faults
}

// GrantedSlots lists the slots that are granted to the upstream at present, by its own clock.
func (u *Upstream) GrantedSlots(now time.Time) []int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.fence.held(u.clock(now))
}

func (u *Upstream) isFrozen() bool {
	select {
	case <-u.thaw:
		return false
	default:
		return true
	}
}

// gate holds a task up while the process is frozen.
func (u *Upstream) gate() {
	u.mu.Lock()
	thaw := u.thaw
	u.mu.Unlock()
	<-thaw
}

// clock is the upstream's own time, which goes on during a freeze.
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

// announceLoop tells one entry host after the other that the upstream is there.
func (u *Upstream) announceLoop() error {
	turn := 0
	for u.tomb.Alive() {
		u.gate()
		if u.settings.AnnounceAll {
			u.announceAll()
		} else if len(u.settings.Entries) > 0 && u.announce(u.settings.Entries[turn%len(u.settings.Entries)]) != nil {
			turn++
		}
		pause.For(u.tomb.Context(context.Background()), announcePeriod)
	}
	return nil
}

// announceAll tells every entry host, for routers that do not tell one another.
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
		return fmt.Errorf("announcement was answered by status %d", response.StatusCode)
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
	lie, draining, busy := u.faults.FalseHealthy, u.draining, u.busy
	u.mu.Unlock()
	if !lie {
		u.gate()
	}
	_ = json.NewEncoder(w).Encode(struct {
		Draining bool `json:"draining"`
		Busy     int  `json:"busy"`
	}{draining && !lie, busy})
}
