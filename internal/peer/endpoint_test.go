package peer

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/memnet"
)

type echo struct {
	Text string `json:"text"`
}

// startPair starts the endpoints of two hosts, a and b; b handles the method echo.
func startPair(t testing.TB, a, b Network, addresses map[string]netip.AddrPort) (*Endpoint, *Endpoint) {
	t.Helper()
	first, second := New(a, "a", addresses), New(b, "b", addresses)
	HandleTyped(second, "echo", func(_ context.Context, _ string, args echo) (echo, error) { return args, nil })
	for _, endpoint := range []*Endpoint{first, second} {
		if err := endpoint.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(endpoint.Stop)
	}
	return first, second
}

// A connection that silently loses all data, for good, is detected while a call is pending, and is replaced.
func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		addresses := make(map[string]netip.AddrPort)
		for _, name := range []string{"a", "b"} {
			addresses[name], _ = network.NextAddress()
		}
		a, _ := startPair(t, network.At("z", "a"), network.At("z", "b"), addresses)
		call := func() error {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := Call[echo](ctx, a, "b", "echo", echo{"x"})
			return err
		}
		is.NoErr(call())
		network.Blackhole(func(_, _ memnet.Place) bool { return true })
		startedAt := time.Now()
		is.True(call() != nil)                                          // the call on the blackholed connection fails
		is.True(time.Since(startedAt) < time.Second)                    // within a second
		is.NoErr(call())                                                // the next call uses a new connection
		is.True(a.CanReach(time.Now(), "b"))                            // the host is reachable again
		is.True(errors.Is(callWithoutDeadline(a, "c"), ErrUnknownHost)) // an unknown host is an error
	})
}

// A response that takes longer to arrive than the timeout and a ping together is received on the first attempt.
func TestLargeResponseOnSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := memnet.New(func(_, _ memnet.Place) time.Duration { return time.Millisecond })
		network.SetRate(func(memnet.Place) int { return 10_000 })
		addresses := make(map[string]netip.AddrPort)
		for _, name := range []string{"a", "b"} {
			addresses[name], _ = network.NextAddress()
		}
		a, b := startPair(t, network.At("z", "a"), network.At("z", "b"), addresses)
		HandleTyped(b, "large", func(context.Context, string, struct{}) (string, error) { return strings.Repeat("x", 50_000), nil })
		HandleTyped(b, "stuck", func(ctx context.Context, _ string, _ struct{}) (string, error) {
			<-ctx.Done()
			return "", ctx.Err()
		})
		text, err := CallWhileReceiving[string](context.Background(), a, "b", "large", struct{}{}, time.Second)
		is.NoErr(err)
		is.Equal(len(text), 50_000)
		startedAt := time.Now()
		_, err = CallWhileReceiving[string](context.Background(), a, "b", "stuck", struct{}{}, time.Second)
		is.True(errors.Is(err, context.DeadlineExceeded)) // the host responds to pings only
		is.True(time.Since(startedAt) < 2*time.Second)
	})
}

func callWithoutDeadline(e *Endpoint, host string) error {
	_, err := Call[echo](context.Background(), e, host, "echo", echo{})
	return err
}

// BenchmarkCall measures one call and its response over loopback TCP, with both ends in one process.
func BenchmarkCall(b *testing.B) {
	addresses := map[string]netip.AddrPort{
		"a": netip.MustParseAddrPort("127.0.0.1:16201"),
		"b": netip.MustParseAddrPort("127.0.0.1:16202"),
	}
	first, _ := startPair(b, TCP{}, TCP{}, addresses)
	b.ReportAllocs()
	args := echo{"0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789"}
	for b.Loop() {
		if _, err := Call[echo](context.Background(), first, "b", "echo", args); err != nil {
			b.Fatal(err)
		}
	}
}
