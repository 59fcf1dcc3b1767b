package paxos_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"lovagelink.example/lovagelink/pkg/paxos"
)

// register is a state machine that holds the last value and returns the previous one.
type register struct{ value string }

func (r *register) Apply(_ uint64, data []byte) []byte {
	previous := r.value
	r.value = string(data)
	return []byte(previous)
}

func (r *register) Snapshot() ([]byte, error) { return []byte(r.value), nil }

func (r *register) Restore(_ uint64, data []byte) error {
	r.value = string(data)
	return nil
}

// A log with one replica needs no transport.
func Example() {
	folder, _ := os.MkdirTemp("", "paxos")
	defer os.RemoveAll(folder)
	config := paxos.Config{Name: "a", Folder: folder, InitialMembers: []string{"a"}, Timing: paxos.DefaultTiming()}
	replica, err := paxos.New(time.Now(), config, nil, &register{})
	if err != nil {
		fmt.Println(err)
		return
	}
	replica.Start()
	defer replica.Stop()
	for !replica.Status(time.Now()).Leading {
		time.Sleep(10 * time.Millisecond)
	}
	_, _, _ = replica.Propose(context.Background(), []byte("first"))
	previous, _, err := replica.Propose(context.Background(), []byte("second"))
	fmt.Println(string(previous), err)
	// Output: first <nil>
}
