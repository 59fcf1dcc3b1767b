package paxos

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"lovagelink.example/lovagelink/pkg/walog"
)

// identityFile is the file with the name and identity of the replica that owns a folder.
const identityFile = "identity.json"

// ErrForeignFolder reports that a data folder belongs to another host.
var ErrForeignFolder = errors.New("data folder belongs to another host")

// record is one durable change of an acceptor: a promise, an accepted entry or the commit index.
type record struct {
	Promise *Ballot `json:"promise,omitempty"`
	Entry   *Entry  `json:"entry,omitempty"`
	Commit  uint64  `json:"commit,omitempty"` // the commit index when the record was written
}

// diskSnapshot is a snapshot of the state machine as it is stored on disk.
type diskSnapshot struct {
	Index   uint64  `json:"index"`
	Members Members `json:"members"`
	Data    []byte  `json:"data"`
}

// store is the durable storage of a replica.
type store struct {
	id          string
	log         *walog.Log
	savedCommit uint64 // the commit index that the disk holds
}

// loadedState is the content of a store when it was opened.
type loadedState struct {
	diskSnapshot *diskSnapshot
	promised     Ballot
	entries      []Entry
	commit       uint64
}

func openStore(name, folder string, options ...walog.Option) (*store, loadedState, error) {
	id, err := openIdentity(name, folder, options)
	if err != nil {
		return nil, loadedState{}, err
	}
	log, content, err := walog.Open(folder, options...)
	if err != nil {
		return nil, loadedState{}, err
	}
	state, err := parse(content)
	if err != nil {
		log.Close()
		return nil, loadedState{}, err
	}
	return &store{id: id, log: log, savedCommit: state.commit}, state, nil
}

// openIdentity reads the identity in the folder, and creates one if the folder has none.
func openIdentity(name, folder string, options []walog.Option) (string, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return "", fmt.Errorf("open data folder: %w", err)
	}
	path := filepath.Join(folder, identityFile)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return newIdentity(name, path, options)
	}
	if err != nil {
		return "", fmt.Errorf("read identity: %w", err)
	}
	var member Member
	if err := json.Unmarshal(data, &member); err != nil {
		return "", fmt.Errorf("decode identity %s: %w", path, err)
	}
	if member.Name != name {
		return "", fmt.Errorf("%s: %w %q; point this host at its own folder", folder, ErrForeignFolder, member.Name)
	}
	return member.ID, nil
}

func newIdentity(name, path string, options []walog.Option) (string, error) {
	var raw [8]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", err
	}
	member := Member{Name: name, ID: hex.EncodeToString(raw[:])}
	data, err := json.Marshal(member)
	if err != nil {
		return "", err
	}
	return member.ID, walog.WriteFile(path, data, options...)
}

// parse decodes the snapshot and records of a log folder.
func parse(content walog.Content) (loadedState, error) {
	var state loadedState
	if content.Snapshot != nil {
		state.diskSnapshot = &diskSnapshot{}
		if err := json.Unmarshal(content.Snapshot, state.diskSnapshot); err != nil {
			return loadedState{}, fmt.Errorf("decode snapshot: %w", err)
		}
	}
	for _, data := range content.Records {
		var rec record
		if err := json.Unmarshal(data, &rec); err != nil {
			return loadedState{}, fmt.Errorf("decode record: %w", err)
		}
		if rec.Promise != nil && state.promised.Less(*rec.Promise) {
			state.promised = *rec.Promise
		}
		state.commit = max(state.commit, rec.Commit)
		if rec.Entry != nil {
			state.entries = append(state.entries, *rec.Entry)
		}
	}
	return state, nil
}

// write makes a promise and entries durable in one batch. The batch includes the commit index, so that a restarted
// replica can rebuild its state at once, without receiving the whole log from the others again.
func (s *store) write(commit uint64, promise *Ballot, entries []Entry) error {
	records, err := encodeRecords(promise, entries)
	if err != nil || len(records) == 0 {
		return err
	}
	if commit > s.savedCommit {
		data, err := json.Marshal(record{Commit: commit})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	if err := s.log.Append(records...); err != nil {
		return err
	}
	s.savedCommit = max(s.savedCommit, commit)
	return nil
}

// save replaces the log with a snapshot, a promise and the entries after the snapshot.
func (s *store) save(snap diskSnapshot, promise Ballot, entries []Entry) error {
	data, err := json.Marshal(snap)
	if err != nil {
		return err
	}
	records, err := encodeRecords(&promise, entries)
	if err != nil {
		return err
	}
	if err := s.log.Save(data, records...); err != nil {
		return err
	}
	s.savedCommit = max(s.savedCommit, snap.Index)
	return nil
}

func encodeRecords(promise *Ballot, entries []Entry) ([][]byte, error) {
	var records [][]byte
	if promise != nil {
		data, err := json.Marshal(record{Promise: promise})
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	for i := range entries {
		data, err := json.Marshal(record{Entry: &entries[i]})
		if err != nil {
			return nil, err
		}
		records = append(records, data)
	}
	return records, nil
}
