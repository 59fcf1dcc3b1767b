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

// File names in the folder.
const (
	logSuffix  = ".log"
	snapSuffix = ".snap"
	tempSuffix = ".temp"
)

// ErrDamaged reports damage that is not a torn tail.
var ErrDamaged = errors.New("log is damaged")

// ErrFailed reports that an earlier write or sync failed.
var ErrFailed = errors.New("log has failed and accepts nothing more")

// File is what the log needs of an open file.
type File interface {
	Write([]byte) (int, error)
	Sync() error
	Close() error
}

// Opener opens a file for appending and creates it where it is missing.
type Opener func(path string) (File, error)

// Option changes how a log works.
type Option func(*Log)

// WithOpener has the log open its files through open, so that a test can make a sync fail.
func WithOpener(open Opener) Option {
	return func(l *Log) { l.open = open }
}

// WithoutSync leaves out every sync: the content outlives the process but not the machine. It is for tests of anything
// but the disk, where syncs take most of the time.
func WithoutSync() Option {
	return func(l *Log) { l.unsynced = true }
}

// Log is an append-only log of records behind a snapshot.
type Log struct {
	mu       sync.Mutex
	dir      string
	open     Opener
	unsynced bool
	number   uint64
	file     File
	failed   error
}

// Content is what a folder held when it was opened.
type Content struct {
	Snapshot []byte
	Records  [][]byte
}

// Open reads the folder, cuts a torn tail and returns the log with its content.
func Open(dir string, options ...Option) (*Log, Content, error) {
	l := newLog(dir, options)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, Content{}, fmt.Errorf("open log folder: %w", err)
	}
	content, err := l.load()
	if err != nil {
		return nil, Content{}, err
	}
	l.file, err = l.open(l.path(l.number, logSuffix))
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

// Append writes the payloads as one write and returns once they are synced.
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
	if l.unsynced {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(err)
	}
	return nil
}

// Save replaces all that came before by a snapshot, with records that follow it.
func (l *Log) Save(snapshot []byte, after ...[]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed != nil {
		return l.failed
	}
	next := l.number + 1
	if err := l.writeFile(l.path(next, logSuffix), encode(nil, pack(after))); err != nil {
		return l.fail(err)
	}
	if err := l.writeFile(l.path(next, snapSuffix), encode(nil, snapshot)); err != nil {
		return l.fail(err)
	}
	file, err := l.open(l.path(next, logSuffix))
	if err != nil {
		return l.fail(err)
	}
	l.file.Close()
	l.file = file
	l.number = next
	return l.prune()
}

// Close closes the log; records that were appended stay.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = ErrFailed
	}
	return l.file.Close()
}

// fail makes the first failure final.
func (l *Log) fail(err error) error {
	l.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return l.failed
}

// load finds the newest snapshot and reads the log file that goes with it.
func (l *Log) load() (Content, error) {
	numbers, err := l.numbers()
	if err != nil {
		return Content{}, err
	}
	var content Content
	if len(numbers) > 0 {
		l.number = numbers[len(numbers)-1]
		content.Snapshot, err = l.loadSnapshot(l.number)
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

// numbers lists the snapshots in the folder, the newest last.
func (l *Log) numbers() ([]uint64, error) {
	entries, err := os.ReadDir(l.dir)
	if err != nil {
		return nil, fmt.Errorf("read log folder: %w", err)
	}
	var numbers []uint64
	for _, entry := range entries {
		name, isSnap := strings.CutSuffix(entry.Name(), snapSuffix)
		number, err := strconv.ParseUint(name, 10, 64)
		if isSnap && err == nil {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log) loadSnapshot(number uint64) ([]byte, error) {
	path := l.path(number, snapSuffix)
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

// loadRecords reads the current log file and cuts its torn tail.
func (l *Log) loadRecords() ([][]byte, error) {
	path := l.path(l.number, logSuffix)
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
			return records, cutTail(path, data, offset)
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

// cutTail truncates a torn tail, and refuses when a whole record stands behind the damage.
func cutTail(path string, data []byte, offset int) error {
	if hasRecord(data[offset+1:]) {
		return fmt.Errorf("%s at byte %d: %w", path, offset, ErrDamaged)
	}
	if err := os.Truncate(path, int64(offset)); err != nil {
		return fmt.Errorf("cut torn tail: %w", err)
	}
	file, err := os.OpenFile(path, os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("sync cut tail: %w", err)
	}
	defer file.Close()
	return file.Sync()
}

// prune removes files of earlier snapshots and of unfinished writes.
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
	number, err := strconv.ParseUint(base, 10, 64)
	return (isLog || isSnap) && err == nil && number != l.number
}

func (l *Log) path(number uint64, suffix string) string {
	return filepath.Join(l.dir, fmt.Sprintf("%020d%s", number, suffix))
}

func openAppend(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}
