package walog

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
)

// Suffixes of the file names in the folder.
const (
	logSuffix  = ".log"
	snapSuffix = ".snap"
	tempSuffix = ".temp"
)

// ErrDamaged reports corruption other than a torn tail.
var ErrDamaged = errors.New("log is damaged")

// ErrFailed reports that an earlier write or sync failed, or that the log is closed.
var ErrFailed = errors.New("log has failed and accepts nothing more")

// File is an open file as the log uses it.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Opener opens a file for appending and creates it if it does not exist.
type Opener func(path string) (File, error)

// Option configures a log.
type Option func(*Log)

// WithOpener makes the log open the files that it writes through open, so that a test can make a write or a sync fail.
func WithOpener(open Opener) Option {
	return func(l *Log) { l.open = open }
}

// WithoutSync leaves out the sync of every write: the content survives a crash of the process but not of the machine.
// It is for tests that do not depend on the disk, in which syncs take most of the time.
func WithoutSync() Option {
	return func(l *Log) { l.skipSync = true }
}

// Log is an append-only log of the records since a snapshot.
type Log struct {
	mu         sync.Mutex
	dir        string
	open       Opener
	skipSync   bool
	generation uint64 // number in the names of the current files, one higher with each snapshot
	file       File
	failed     error // the first failure, or ErrFailed after Close
}

// Content is the content of a folder when it was opened: the newest snapshot, nil if there is none, and the records
// after it.
type Content struct {
	Snapshot []byte
	Records  [][]byte
}

// Open opens or creates the log in a folder, truncates a torn tail, and returns the log and its content. The error is
// ErrDamaged if the log is corrupt elsewhere.
func Open(dir string, options ...Option) (*Log, Content, error) {
	l := newLog(dir, options)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Content{}, fmt.Errorf("open log folder: %w", err)
	}
	content, err := l.load()
	if err != nil {
		return nil, Content{}, err
	}
	l.file, err = l.open(l.path(l.generation, logSuffix))
	if err != nil {
		return nil, Content{}, fmt.Errorf("open log: %w", err)
	}
	if err := l.syncDir(); err != nil {
		return nil, Content{}, err
	}
	return l, content, nil
}

func newLog(dir string, options []Option) *Log {
	l := &Log{dir: dir, open: openAppend}
	for _, option := range options {
		option(l)
	}
	return l
}

// Append writes the payloads in a single write, as a batch of at most MaxRecord bytes, and returns once they are
// synced. After a failed write or sync it returns ErrFailed.
func (l *Log) Append(payloads ...[]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	batch := pack(payloads)
	if len(batch) > MaxRecord {
		return fmt.Errorf("batch of %d bytes is over the limit of %d", len(batch), MaxRecord)
	}
	if _, err := l.file.Write(encode(nil, batch)); err != nil {
		return l.fail(err)
	}
	if l.skipSync {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Save replaces the snapshot and all records with a new snapshot and the records that follow it. After a failed write
// or sync it returns ErrFailed.
func (l *Log) Save(snapshot []byte, records ...[]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	nextGeneration := l.generation + 1
	if err := l.writeFile(l.path(nextGeneration, logSuffix), encode(nil, pack(records))); err != nil {
		return l.fail(err)
	}
	if err := l.writeFile(l.path(nextGeneration, snapSuffix), encode(nil, snapshot)); err != nil {
		return l.fail(err)
	}
	file, err := l.open(l.path(nextGeneration, logSuffix))
	if err != nil {
		return l.fail(err)
	}
	l.file.Close()
	l.file = file
	l.generation = nextGeneration
	return l.prune()
}

// Close closes the log; appended records stay on disk.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = ErrFailed
	}
	return l.file.Close()
}

// fail makes the log refuse all further writes.
func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}

// load reads the newest snapshot and the log file of the same generation.
func (l *Log) load() (Content, error) {
	generations, err := l.generations()
	if err != nil {
		return Content{}, err
	}
	var content Content
	if len(generations) > 0 {
		l.generation = generations[len(generations)-1]
		content.Snapshot, err = l.loadSnapshot(l.generation)
		if err != nil {
			return Content{}, err
		}
	}
	content.Records, err = l.loadRecords()
	if err != nil {
		return Content{}, err
	}
	return content, l.prune()
}

// generations lists the generations of the snapshots in the folder, the newest last.
func (l *Log) generations() ([]uint64, error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, fmt.Errorf("read log folder: %w", err)
	}
	var generations []uint64
	for _, entry := range entries {
		name, isSnap := strings.CutSuffix(entry.Name(), snapSuffix)
		generation, err := strconv.ParseUint(name, 10, 64)
		if isSnap && err == nil {
			generations = append(generations, generation)
		}
	}
	slices.Sort(generations)
	return generations, nil
}

func (l *Log) loadSnapshot(generation uint64) ([]byte, error) {
	path := l.path(generation, snapSuffix)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read snapshot: %w", err)
	}
	payload, _, err := decode(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, ErrDamaged)
	}
	return payload, nil
}

// loadRecords reads the current log file and truncates its torn tail.
func (l *Log) loadRecords() ([][]byte, error) {
	path := l.path(l.generation, logSuffix)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read log: %w", err)
	}
	var records [][]byte
	offset := 0
	for offset < len(data) {
		payload, size, err := decode(data[offset:])
		if err != nil {
			return records, truncateTail(path, data, offset)
		}
		batch, err := unpack(payload)
		if err != nil {
			return nil, fmt.Errorf("%s at byte %d: %w", path, offset, err)
		}
		records = append(records, batch...)
		offset += size
	}
	return records, nil
}

// truncateTail truncates a torn tail, and refuses if a complete record follows the invalid one, since the log is then
// corrupt rather than torn.
func truncateTail(path string, data []byte, offset int) error {
	if hasRecord(data[offset+1:]) {
		return fmt.Errorf("%s at byte %d: %w", path, offset, ErrDamaged)
	}
	if err := os.Truncate(path, int64(offset)); err != nil {
		return fmt.Errorf("truncate torn tail: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("sync truncated log: %w", err)
	}
	defer file.Close()
	return file.Sync()
}

// prune removes the files of other generations and of unfinished writes.
func (l *Log) prune() error {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return fmt.Errorf("prune log: %w", err)
	}
	for _, entry := range entries {
		if !l.isStale(entry.Name()) {
			continue
		}
		if err := os.Remove(filepath.Join(l.dir, entry.Name())); err != nil {
			return fmt.Errorf("prune log: %w", err)
		}
	}
	return nil
}

func (l *Log) isStale(name string) bool {
	if strings.HasSuffix(name, tempSuffix) {
		return true
	}
	base, isLog := strings.CutSuffix(name, logSuffix)
	base, isSnap := strings.CutSuffix(base, snapSuffix)
	generation, err := strconv.ParseUint(base, 10, 64)
	return (isLog || isSnap) && err == nil && generation != l.generation
}

func (l *Log) path(generation uint64, suffix string) string {
	return filepath.Join(l.dir, fmt.Sprintf("%020d%s", generation, suffix))
}

func openAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
