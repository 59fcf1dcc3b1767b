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

// post lodges a booking and returns its verdict, or "" without an answer.
func (sc *scene) post(entry netip.AddrPort, key, id string, attempt int, age time.Duration) string {
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

// send makes any request and returns its verdict and its answer.
func (sc *scene) send(entry netip.AddrPort, method, path, id, body string) (verdict, text string) {
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

// keyAt returns a key whose dispatcher is one of the first hosts of the zones, and that host.
func (sc *scene) keyAt(isWanted func(host int) bool) (key string, host int) {
	for number := range 500 {
		key = fmt.Sprint("wall-", number)
		for i, one := range sc.Hosts {
			if isWanted(i) && one.IsDispatcherFor("plan", key) {
				return key, i
			}
		}
	}
	sc.t.Fatal("no key has its dispatcher there")
	return "", 0
}

// A resend must not run while the hosts that knew of the first attempt are lost, however long it has
// waited for a new dispatcher, nor after they are back with nothing that they knew.
func TestResendAfterZoneLoss(t *testing.T) {
	for _, course := range []resendCourse{
		{name: "hosts-lost"},
		{name: "hosts-back", areBack: true},
		{name: "hosts-back-upstreams-lost", areBack: true, areUpstreamsLost: true},
	} {
		t.Run(course.name, func(t *testing.T) {
			in(t, func(t *testing.T) { runResendAfterZoneLoss(t, course) })
		})
	}
}

// resendCourse is what happens between a first attempt and its resend.
type resendCourse struct {
	name             string
	areBack          bool // the hosts that knew of it have been restarted
	areUpstreamsLost bool // no upstream can serve the resend
}

func runResendAfterZoneLoss(t *testing.T, course resendCourse) {
	is := is.New(t)
	sc := open(t, setup{config: examples.Gauteng, hosts: 6, checks: false, groups: []Group{
		{Service: "plan", Count: 3, Concurrency: 2, Keyed: true, ServiceTime: 300 * time.Millisecond},
		{Service: "commission", Count: 3, Concurrency: 2, ServiceTime: 300 * time.Millisecond},
	}})
	time.Sleep(5 * time.Second)
	key, host := sc.keyAt(func(i int) bool { return sc.zoneOf(i) == "c" })
	go sc.post(sc.Settings[host].Callers, key, "r1", 1, 0)
	time.Sleep(100 * time.Millisecond)
	for i := range sc.Hosts {
		if sc.zoneOf(i) == "c" {
			sc.kill(i)
		}
	}
	age := 100 * time.Millisecond
	if course.areBack {
		time.Sleep(2 * time.Second)
		sc.restartVictims()
		time.Sleep(18 * time.Second)
		age += 20 * time.Second
	}
	if course.areUpstreamsLost {
		for _, upstream := range sc.Upstreams {
			upstream.Kill()
		}
		time.Sleep(5 * time.Second)
	}
	verdict := sc.post(sc.Settings[sc.hostNamed("a1")].Callers, key, "r1", 2, age)
	time.Sleep(5 * time.Second)
	is.Equal(verdict, verd.MayHaveRun.String())
	is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
}

// A resend at any entry host gets the outcome of the first attempt.
func TestResendRepeatsOutcome(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		for attempt := range 3 {
			entry := sc.Settings[attempt].Callers
			is.Equal(sc.post(entry, "wall-1", "r1", attempt+1, time.Second), verd.Ran.String())
		}
		is.Equal(len(sc.Ledger.Runs()), 1)
	})
}

// A resend of which the first outcome is no longer remembered is not run again.
func TestResendAfterOutcomeIsForgotten(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		sc := open(t, smallSetup())
		entry := sc.Settings[0].Callers
		is.Equal(sc.post(entry, "wall-1", "r1", 1, 0), verd.Ran.String())
		time.Sleep(6 * time.Minute)
		is.Equal(sc.post(entry, "wall-1", "r2", 1, 0), verd.Ran.String())
		is.Equal(sc.post(entry, "wall-1", "r1", 2, 6*time.Minute), verd.MayHaveRun.String())
		is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
	})
}

// What a host knew that was stopped is known to two hosts again, whichever of the others is lost next.
func TestResendAfterStopAndLoss(t *testing.T) {
	in(t, func(t *testing.T) {
		is := is.New(t)
		s := smallSetup()
		s.hosts = 6
		sc := open(t, s)
		time.Sleep(5 * time.Second)
		key, host := sc.keyAt(func(i int) bool { return sc.zoneOf(i) == "c" })
		is.Equal(sc.post(sc.Settings[host].Callers, key, "r1", 1, 0), verd.Ran.String())
		sc.Hosts[host].Stop(context.Background())
		sc.victims[host] = true
		for i := range sc.Hosts {
			if sc.zoneOf(i) == "c" {
				sc.kill(i) // the other host of the zone had noted the start
			}
		}
		time.Sleep(5 * time.Second)
		is.Equal(sc.post(sc.Settings[0].Callers, key, "r1", 2, 10*time.Second), verd.Ran.String())
		is.Equal(upsim.Examine(sc.Ledger.Runs()).ByID["r1"], 1)
	})
}
