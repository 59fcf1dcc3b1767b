package walog_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"lovagelink.example/lovagelink/pkg/walog"
)

func toStrings(payloads [][]byte) []string {
	var strings []string
	for _, payload := range payloads {
		strings = append(strings, string(payload))
	}
	return strings
}

func reopen(t *testing.T, dir string) (*walog.Log, walog.Content) {
	t.Helper()
	log, content, err := walog.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { log.Close() })
	return log, content
}

func logPath(t *testing.T, dir string) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil || len(paths) != 1 {
		t.Fatalf("log files %v, %v", paths, err)
	}
	return paths[0]
}

func TestRecordsSurviveReopening(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, _ := reopen(t, dir)
	is.NoErr(log.Append([]byte("a"), []byte("b")))
	is.NoErr(log.Append([]byte("c")))
	_, content := reopen(t, dir)
	is.Equal(toStrings(content.Records), []string{"a", "b", "c"})
}

func TestSnapshotReplacesRecords(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, _ := reopen(t, dir)
	is.NoErr(log.Append([]byte("a")))
	is.NoErr(log.Save([]byte("state"), []byte("kept")))
	is.NoErr(log.Append([]byte("b")))
	_, content := reopen(t, dir)
	is.Equal(string(content.Snapshot), "state")
	is.Equal(toStrings(content.Records), []string{"kept", "b"})
}

// A crash can cut the last write at any length: the earlier records must survive, and the log must accept new ones.
func TestTornTailIsCut(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, _ := reopen(t, dir)
	is.NoErr(log.Append([]byte("first")))
	firstBatch, err := os.ReadFile(logPath(t, dir))
	is.NoErr(err)
	is.NoErr(log.Append([]byte("second"), []byte("third")))
	data, err := os.ReadFile(logPath(t, dir))
	is.NoErr(err)
	for size := len(firstBatch); size < len(data); size++ {
		torn := t.TempDir()
		path := filepath.Join(torn, filepath.Base(logPath(t, dir)))
		is.NoErr(os.WriteFile(path, data[:size], 0o600))
		reopened, content := reopen(t, torn)
		is.Equal(toStrings(content.Records), []string{"first"})
		is.NoErr(reopened.Append([]byte("fourth")))
		_, content = reopen(t, torn)
		is.Equal(toStrings(content.Records), []string{"first", "fourth"})
	}
}

// A corrupt record before the end of the log must not be taken for a torn tail, since truncation would lose the valid
// records after it.
func TestDamageBeforeTheTailIsRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	log, _ := reopen(t, dir)
	is.NoErr(log.Append([]byte("first")))
	is.NoErr(log.Append([]byte("second")))
	path := logPath(t, dir)
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[9] ^= 1
	is.NoErr(os.WriteFile(path, data, 0o600))
	_, _, err = walog.Open(dir)
	is.True(errors.Is(err, walog.ErrDamaged))
}

type failingSyncFile struct{ walog.File }

func (failingSyncFile) Sync() error { return errors.New("no space") }

// A log must refuse records after a failed sync: the kernel may have dropped the pages that it could not write.
func TestFailedSyncIsFinal(t *testing.T) {
	is := is.New(t)
	log, _, err := walog.Open(t.TempDir(), walog.WithOpener(func(path string) (walog.File, error) {
		file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY, 0o600)
		return failingSyncFile{file}, err
	}))
	is.NoErr(err)
	is.True(errors.Is(log.Append([]byte("a")), walog.ErrFailed))
	is.True(errors.Is(log.Append([]byte("b")), walog.ErrFailed))
	is.True(errors.Is(log.Save([]byte("s")), walog.ErrFailed))
}

func FuzzOpen(f *testing.F) {
	f.Add([]byte{})
	f.Add(make([]byte, 32))
	f.Fuzz(func(t *testing.T, data []byte) {
		dir := t.TempDir()
		path := filepath.Join(dir, fmt.Sprintf("%020d.log", 0))
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		log, content, err := walog.Open(dir)
		if err != nil {
			return
		}
		defer log.Close()
		if err := log.Append([]byte("next")); err != nil {
			t.Fatal(err)
		}
		_, reopened, err := walog.Open(dir)
		if err != nil || len(reopened.Records) != len(content.Records)+1 {
			t.Fatalf("%d records, then %d, %v", len(content.Records), len(reopened.Records), err)
		}
	})
}

func Example() {
	dir, _ := os.MkdirTemp("", "walog")
	defer os.RemoveAll(dir)
	log, _, _ := walog.Open(dir)
	_ = log.Append([]byte("one"), []byte("two"))
	log.Close()
	_, content, _ := walog.Open(dir)
	for _, record := range content.Records {
		fmt.Println(string(record))
	}
	// Output:
	// one
	// two
}
