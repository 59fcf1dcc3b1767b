package peer

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/memnet"
)

type echo struct {
	Text string `json:"text"`
}

// pair starts two linked hosts, a and b; b echoes.
func pair(t testing.TB, a, b Network, addresses map[string]netip.AddrPort) (*Endpoint, *Endpoint) {
	t.Helper()
	first, second := New(a, "a", addresses), New(b, "b", addresses)
	HandleTyped(second, "echo", func(_ context.Context, _ string, args echo) (echo, error) { return args, nil })
	for _, hub := range []*Endpoint{first, second} {
		if err := hub.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(hub.Stop)
	}
	return first, second
}

// A connection that loses all it is given, for good, is found and replaced while a call waits.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		addresses := make(map[string]netip.AddrPort)
		for _, name := range []string{"a", "b"} {
			addresses[name], _ = network.NextAddress()
		}
		a, _ := pair(t, network.At("z", "a"), network.At("z", "b"), addresses)
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := Call[echo](ctx, a, "b", "echo", echo{"x"})
			return err
		}
		is.NoErr(call())
		network.Blackhole(func(_, _ memnet.Place) bool { return true })
		began := time.Now()
		is.True(call() != nil)                             // the call on the silent connection fails
		is.True(time.Since(began) < time.Second)           // but soon
		is.NoErr(call())                                   // and the next one has a new connection
		is.True(a.CanReach(time.Now(), "b"))               // the host is reachable again
		is.True(errors.Is(callTo(a, "c"), ErrUnknownHost)) // an unknown host is an error
	})
}

func callTo(h *Endpoint, host string) error {
	_, err := Call[echo](context.Background(), h, host, "echo", echo{})
	return err
}

// BenchmarkCall is one control message and its answer over loopback TCP, both ends in one process.
func BenchmarkCall(b *testing.B) {
	addresses := map[string]netip.AddrPort{
		"a": netip.MustParseAddrPort("127.0.0.1:16201"),
		"b": netip.MustParseAddrPort("127.0.0.1:16202"),
	}
	first, _ := pair(b, TCP{}, TCP{}, addresses)
	b.ReportAllocs()
	args := echo{"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"}
	for b.Loop() {
		if _, err := Call[echo](context.Background(), first, "b", "echo", args); err != nil {
			b.Fatal(err)
		}
	}
}
