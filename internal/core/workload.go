package core

import (
	"context"
	"sync/atomic"
	"time"

	"lovagelink.example/lovagelink/internal/ctrl"
	"lovagelink.example/lovagelink/internal/pause"
	"lovagelink.example/lovagelink/pkg/paxos"
)

// workloadInterval is the time between two log lines about the work of a control host.
const workloadInterval = 5 * time.Second

// workload counts the work of a control host that grows with the deployment, so that an operator can tell a host which
// is out of processor time from one that can't reach the others.
type workload struct {
	replies     atomic.Int64 // replies to follow calls
	replyBytes  atomic.Int64 // updates in those replies, as they were sent
	oldReplies  atomic.Int64 // replies while this host was in contact and lacked entries that the leader had committed
	logCalls    atomic.Int64 // messages of the log to other replicas
	logTimeouts atomic.Int64 // those without a reply within the timeout
	logBytes    atomic.Int64 // data of the entries and snapshots in them
}

// logWorkload logs the work since the last line.
func (h *Host) logWorkload() error {
	ctx := h.tomb.Context(context.Background())
	commit := h.Status(time.Now()).Commit
	for h.tomb.Alive() {
		pause.For(ctx, workloadInterval)
		w, commitBefore := &h.workload, commit
		commit = h.Status(time.Now()).Commit
		entries := max(commit, commitBefore) - commitBefore // a replica that was opened again may have fewer
		_ = h.logger.Log("event", "workload", "entries", entries, "replies", w.replies.Swap(0), "reply-bytes", w.replyBytes.Swap(0),
			"old-replies", w.oldReplies.Swap(0), "log-calls", w.logCalls.Swap(0), "log-timeouts", w.logTimeouts.Swap(0), "log-bytes", w.logBytes.Swap(0))
	}
	return nil
}

// countReply counts a reply to a follow call with an update.
func (w *workload) countReply(update EncodedUpdate) {
	w.replies.Add(1)
	w.replyBytes.Add(int64(update.size()))
}

// countLost counts a reply to a follow call without an update.
func (w *workload) countLost(hasContact bool) {
	w.replies.Add(1)
	if hasContact {
		w.oldReplies.Add(1)
	}
}

// countingTransport counts the messages of the log that a host sends.
type countingTransport struct {
	ctrl.Transport
	workload *workload
}

func (t countingTransport) count(err error, bytes int) {
	t.workload.logCalls.Add(1)
	t.workload.logBytes.Add(int64(bytes))
	if err != nil {
		t.workload.logTimeouts.Add(1)
	}
}

func (t countingTransport) Prepare(ctx context.Context, name string, args paxos.PrepareArgs) (paxos.PrepareReply, error) {
	reply, err := t.Transport.Prepare(ctx, name, args)
	t.count(err, dataBytes(reply.Entries))
	return reply, err
}

func (t countingTransport) Accept(ctx context.Context, name string, args paxos.AcceptArgs) (paxos.AcceptReply, error) {
	reply, err := t.Transport.Accept(ctx, name, args)
	t.count(err, dataBytes(args.Entries))
	return reply, err
}

func (t countingTransport) Install(ctx context.Context, name string, args paxos.SnapshotMessage) (paxos.AcceptReply, error) {
	reply, err := t.Transport.Install(ctx, name, args)
	t.count(err, len(args.Data))
	return reply, err
}

func dataBytes(entries []paxos.Entry) (sum int) {
	for _, entry := range entries {
		sum += len(entry.Data)
	}
	return sum
}
