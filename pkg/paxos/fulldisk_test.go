package paxos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/walog"
)

// testDisk takes no more bytes while it is full; the write that fills it is cut.
type testDisk struct {
	mu     sync.Mutex
	isFull bool
	room   int // bytes of the next write that still fit
}

func (d *testDisk) set(isFull bool, room int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isFull, d.room = isFull, room
}

func (d *testDisk) open(path string) (walog.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return diskFile{file, d}, err
}

type diskFile struct {
	*os.File
	disk *testDisk
}

func (f diskFile) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	isFull, room := f.disk.isFull, min(f.disk.room, len(data)-1)
	f.disk.room = 0
	f.disk.mu.Unlock()
	if !isFull {
		return f.File.Write(data)
	}
	n, err := f.File.Write(data[:max(0, room)])
	if err != nil {
		return n, err
	}
	return n, syscall.ENOSPC
}

// keepOpen runs a replica on a disk until ctx ends, and opens it again whenever the disk has failed, as a control host does.
func (c *cluster) keepOpen(ctx context.Context, name string, disk *testDisk) {
	for ctx.Err() == nil {
		list := &commandList{}
		config := Config{Name: name, Folder: filepath.Join(c.dir, name), InitialMembers: c.names, Timing: c.timing}
		replica, err := New(time.Now(), config, testTransport{c, name}, list, walog.WithoutSync(), walog.WithOpener(disk.open))
		if err != nil {
			time.Sleep(reopenInterval)
			continue
		}
		c.mu.Lock()
		c.replicas[name], c.lists[name] = replica, list
		c.mu.Unlock()
		replica.Start()
		select {
		case <-replica.Done():
		case <-ctx.Done():
		}
		_ = replica.Stop()
		time.Sleep(reopenInterval)
	}
}

const reopenInterval = 300 * time.Millisecond

// The disks of all members are full for some seconds each, one after another, while snapshots are taken and commands are
// proposed. Once the last one has room again, commands are confirmed within a few seconds, and none is lost.
func TestDisksFullOneAfterAnother(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				random := rand.New(rand.NewPCG(seed, 11))
				names := []string{"a", "b", "c", "d"}[:3+random.IntN(2)]
				c := &cluster{
					t: t, dir: t.TempDir(), names: names, replicas: make(map[string]*Replica), lists: make(map[string]*commandList),
					blocked: make(map[[2]string]bool), timing: DefaultTiming(),
				}
				c.timing.SnapshotEvery = 16
				ctx, cancel := context.WithCancel(context.Background())
				disks := make(map[string]*testDisk)
				var running sync.WaitGroup
				for _, name := range names {
					disk := &testDisk{}
					disks[name] = disk
					running.Go(func() { c.keepOpen(ctx, name, disk) })
				}
				defer running.Wait()
				defer cancel()
				var confirmed commandList
				var isOver atomic.Bool
				running.Go(func() {
					for i := 0; !isOver.Load(); i++ {
						command := []byte(fmt.Sprint("command ", i))
						c.propose(string(command))
						confirmed.Apply(0, command)
						time.Sleep(100 * time.Millisecond)
					}
				})
				order := slices.Clone(names)
				random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
				time.Sleep(2 * time.Second)
				for _, name := range append(order, order...) {
					disks[name].set(true, random.IntN(400))
					time.Sleep(time.Second + time.Duration(random.Int64N(int64(5*time.Second))))
					disks[name].set(false, 0)
					time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
				}
				before := len(confirmed.all())
				time.Sleep(4 * time.Second)
				is.True(len(confirmed.all()) > before) // changes are acknowledged again
				isOver.Store(true)
				time.Sleep(4 * time.Second)
				for _, name := range names { // each replica has caught up
					c.mu.Lock()
					list := c.lists[name]
					c.mu.Unlock()
					all := list.all()
					for _, command := range confirmed.all() {
						is.True(slices.Contains(all, command))
					}
				}
			})
		})
	}
}
