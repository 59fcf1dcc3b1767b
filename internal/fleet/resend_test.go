package fleet

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/examples"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/upsim"
	"lovagelink.example/lovagelink/pkg/verd"
)

// postBooking sends a booking and returns its verdict, or "" without a response.
func (sc *scenario) postBooking(entry netip.AddrPort, key, id string, attempt int, age time.Duration) string {
	client := &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(sc.net.At("callers", "caller"))}}
	defer client.CloseIdleConnections()
	url := fmt.Sprintf("http://%s/plan/%s/bookings", entry, key)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("x"))
	if err != nil {
		sc.t.Fatal(err)
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Request-Attempt", fmt.Sprint(attempt))
	request.Header.Set("Request-Age", fmt.Sprint(age.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return ""
	}
	defer response.Body.Close()
	return response.Header.Get(verd.Header)
}

// send sends a request and returns the verdict and the body of the response.
func (sc *scenario) send(entry netip.AddrPort, method, path, id, body string) (verdict, text string) {
	client := &http.Client{Transport: &http.Transport{DialContext: peer.DialHTTP(sc.net.At("callers", "caller"))}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s%s", entry, path), strings.NewReader(body))
	if err != nil {
		sc.t.Fatal(err)
	}
	if id != "" {
		request.Header.Set("Request-Id", id)
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err.Error()
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.Header.Get(verd.Header), string(data)
}

// keyWithDispatcher returns a key whose dispatcher is a host for which isWanted returns true, and that host's index.
func (sc *scenario) keyWithDispatcher(isWanted func(host int) bool) (key string, host int) {
	for number := range 500 {
		key = fmt.Sprint("wall-", number)
		for i, candidate := range sc.Hosts {
			if isWanted(i) && candidate.IsDispatcherFor("plan", key) {
				return key, i
			}
		}
	}
	sc.t.Fatal("no key has a wanted host as its dispatcher")
	return "", 0
}

// Guards against a resend that runs a second time: the hosts with a record of the first attempt are lost while the
// resend waits for a new dispatcher, or are back with empty deduplication tables.
func TestResendAfterZoneLoss(t *testing.T) {
	for _, tc := range []resendCase{
		{name: "hosts-lost"},
		{name: "hosts-back", restartsHosts: true},
		{name: "hosts-back-upstreams-lost", restartsHosts: true, killsUpstreams: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) { runResendAfterZoneLoss(t, tc) })
		})
	}
}

// resendCase describes what happens between a first attempt and its resend.
type resendCase struct {
	name           string
	restartsHosts  bool // restart the hosts that had a record of the first attempt
	killsUpstreams bool // leave no upstream that can serve the resend
}

func runResendAfterZoneLoss(t *testing.T, tc resendCase) {
	is := is.New(t)
	sc := newScenario(t, setup{config: examples.Gauteng, hosts: 6, verifiesGrants: false, groups: []Group{
		{Service: "plan", Count: 3, Concurrency: 2, Keyed: true, ServiceTime: 300 * time.Millisecond},
		{Service: "commission", Count: 3, Concurrency: 2, ServiceTime: 300 * time.Millisecond},
	}})
	time.Sleep(5 * time.Second)
	key, host := sc.keyWithDispatcher(func(i int) bool { return sc.zoneOf(i) == "c" })
	go sc.postBooking(sc.Settings[host].Callers, key, "r1", 1, 0)
	time.Sleep(100 * time.Millisecond)
	for i := range sc.Hosts {
		if sc.zoneOf(i) == "c" {
			sc.kill(i)
		}
	}
	age := 100 * time.Millisecond
	if tc.restartsHosts {
		time.Sleep(2 * time.Second)
		sc.restartDownHosts()
		time.Sleep(18 * time.Second)
		age += 20 * time.Second
	}
	if tc.killsUpstreams {
		for _, upstream := range sc.Upstreams {
			upstream.Kill()
		}
		time.Sleep(5 * time.Second)
	}
	verdict := sc.postBooking(sc.Settings[sc.hostNamed("a1")].Callers, key, "r1", 2, age)
	time.Sleep(5 * time.Second)
	is.Equal(verdict, verd.MayHaveRun.String())
	is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
}

// A resend to any entry host must get the outcome of the first attempt and must not run again.
func TestResendRepeatsOutcome(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		for attempt := range 3 {
			entry := sc.Settings[attempt].Callers
			is.Equal(sc.postBooking(entry, "wall-1", "r1", attempt+1, time.Second), verd.Ran.String())
		}
		is.Equal(len(sc.Ledger.Runs()), 1)
	})
}

// A resend must not run again when the record of the first attempt has expired.
func TestResendAfterOutcomeIsForgotten(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		sc := newScenario(t, smallSetup())
		entry := sc.Settings[0].Callers
		is.Equal(sc.postBooking(entry, "wall-1", "r1", 1, 0), verd.Ran.String())
		time.Sleep(6 * time.Minute)
		is.Equal(sc.postBooking(entry, "wall-1", "r2", 1, 0), verd.Ran.String())
		is.Equal(sc.postBooking(entry, "wall-1", "r1", 2, 6*time.Minute), verd.MayHaveRun.String())
		is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
	})
}

// Guards against records that are lost in two steps: when one of the two hosts with a record stops, the record must
// be on two hosts again before the other one crashes.
func TestResendAfterStopAndLoss(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := newScenario(t, s)
		time.Sleep(5 * time.Second)
		key, host := sc.keyWithDispatcher(func(i int) bool { return sc.zoneOf(i) == "c" })
		is.Equal(sc.postBooking(sc.Settings[host].Callers, key, "r1", 1, 0), verd.Ran.String())
		sc.Hosts[host].Stop(context.Background())
		sc.down[host] = true
		for i := range sc.Hosts {
			if sc.zoneOf(i) == "c" {
				sc.kill(i) // the other host of the zone had recorded the start
			}
		}
		time.Sleep(5 * time.Second)
		is.Equal(sc.postBooking(sc.Settings[0].Callers, key, "r1", 2, 10*time.Second), verd.Ran.String())
		is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
	})
}
