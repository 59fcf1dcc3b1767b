package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/internal/calls"
	"lovagelink.example/lovagelink/internal/peer"
	"lovagelink.example/lovagelink/internal/realm"
	"lovagelink.example/lovagelink/internal/route"
	"lovagelink.example/lovagelink/internal/site"
)

// The numbers of upstreams of a large deployment, which has 285 entry hosts and five availability zones.
const (
	manyKeyed   = 880
	manyUnkeyed = 110
	manyZones   = 5
)

// largeState returns the whole state of a large deployment with all upstreams at one address. Each keyed upstream owns
// an equal range.
func largeState(address netip.AddrPort) realm.Update {
	services := []route.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}}
	routes := []route.Route{
		{Name: "k", Host: "a.example", Prefix: "/keyed/", Repeat: route.Idempotent, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 2, Destinations: []route.Destination{{Service: "keyed", Weight: 1}}},
		{Name: "p", Host: "a.example", Prefix: "/plain/", Repeat: route.Idempotent, Timeout: time.Second, LatencyTarget: time.Second, Attempts: 2, Destinations: []route.Destination{{Service: "plain", Weight: 1}}},
	}
	update := realm.Update{Index: 1000, Config: &route.Config{Version: 1, Services: services, Routes: routes}, Ranges: make(map[string]realm.Ranges)}
	for i := range manyKeyed + manyUnkeyed {
		u := realm.Upstream{
			Instance: realm.Instance{ID: fmt.Sprintf("i-%08x", i*7919), StartMillis: 1_790_000_000_000 + int64(i)}, Service: "plain",
			Address: address, Zone: fmt.Sprint("zone-", i%manyZones), Concurrency: 2, Changed: uint64(i + 1),
		}
		if i < manyKeyed {
			u.Service = "keyed"
			keys := realm.KeyRange{From: uint16(i * 65536 / manyKeyed), To: uint16((i+1)*65536/manyKeyed - 1)}
			update.Ranges["keyed"] = append(update.Ranges["keyed"], realm.Range{KeyRange: keys, Owner: u.Instance, FencingToken: uint64(i + 1), Active: true, Changed: uint64(i + 1)})
		}
		update.Upstreams = append(update.Upstreams, u)
	}
	return update
}

type scaleCodec struct{ testCodec }

func (scaleCodec) Read(h http.Header) calls.RequestInfo {
	info := calls.RequestInfo{ID: h.Get("Id"), HasKey: true}
	_, _ = fmt.Sscan(h.Get("Key"), &info.Key)
	return info
}

func newLargeFront(b *testing.B, address netip.AddrPort) *Front {
	b.Helper()
	f := New(site.Host{Name: "front", Zone: "zone-1", Bounds: site.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 600}}, peer.NewDynamic(peer.TCP{}, "front", netip.AddrPort{}), scaleCodec{}, log.NewNopLogger())
	view, err := (&View{}).With(time.Now(), largeState(address))
	if err != nil {
		b.Fatal(err)
	}
	f.setView(time.Now(), view, &View{}, nil)
	return f
}

// BenchmarkApplyUpdate applies an update of the size that a busy second brings each 50 ms.
func BenchmarkApplyUpdate(b *testing.B) {
	f := newLargeFront(b, netip.MustParseAddrPort("127.0.0.1:1"))
	state := largeState(netip.MustParseAddrPort("127.0.0.1:1"))
	for b.Loop() {
		view := f.view.Load()
		update := realm.Update{Index: view.Index + 1, Ranges: map[string]realm.Ranges{"keyed": {}}}
		for i := range 5 {
			r := state.Ranges["keyed"][i*100]
			r.FencingToken, r.Changed = update.Index, update.Index
			update.Ranges["keyed"] = append(update.Ranges["keyed"], r)
			u := state.Upstreams[i*100]
			u.Changed = update.Index
			update.Upstreams = append(update.Upstreams, u)
		}
		next, err := view.With(time.Now(), update)
		if err != nil {
			b.Fatal(err)
		}
		f.setView(time.Now(), next, view, update.Upstreams)
	}
}

func serveEchoes(b *testing.B) netip.AddrPort {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				body := strings.Repeat("x", 1500)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: 1\r\nContent-Length: %d\r\n\r\n%s", request.Header.Get("Id"), len(body), body)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// BenchmarkForward sends requests on one caller's connection through an entry host of a large deployment.
func BenchmarkForward(b *testing.B) {
	for _, path := range []string{"keyed", "plain"} {
		b.Run(path, func(b *testing.B) {
			f := newLargeFront(b, serveEchoes(b))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = listener.Close() })
			go func() { _ = f.server.Serve(listener) }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReader(conn)
			i := 0
			for b.Loop() {
				i++
				if _, err := fmt.Fprintf(conn, "GET /%s/x HTTP/1.1\r\nHost: a.example\r\nId: %d\r\nKey: %d\r\n\r\n", path, i, uint16(i*4099)); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != 200 {
					b.Fatal(response.StatusCode, err)
				}
			}
		})
	}
}
