package memnet

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Partitions may begin and end while bytes are written: neither waits for the other forever.
func TestPartitionDuringWrites(t *testing.T) {
	is := is.New(t)
	const rounds = 20_000
	network := New(func(_, _ Place) time.Duration { return 0 })
	address, err := network.NextAddress()
	is.NoErr(err)
	listener, err := network.At("a", "server").Listen(address)
	is.NoErr(err)
	var tasks sync.WaitGroup
	for range 4 {
		dialed, err := network.At("b", "client").Dial(context.Background(), address)
		is.NoErr(err)
		accepted, err := listener.Accept()
		is.NoErr(err)
		go func() { _, _ = io.Copy(io.Discard, accepted) }()
		tasks.Go(func() {
			for range rounds {
				_, _ = dialed.Write([]byte("x"))
			}
			_ = dialed.Close()
		})
	}
	tasks.Go(func() {
		for range rounds {
			network.Heal()
		}
	})
	tasks.Wait()
}
