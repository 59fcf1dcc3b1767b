package cmds

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"lovagelink.example/lovagelink/internal/site"
)

// SIGHUP makes the process read its settings again; an invalid file changes nothing and does not end the process.
func TestReloadOnHangup(t *testing.T) {
	is := is.New(t)
	good, err := os.ReadFile("../../platform/testdata/settings.toml")
	is.NoErr(err)
	path := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(path, good, 0o600))
	applied := make(chan site.Host, 1)
	refused := make(chan string, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reload(ctx, log.LoggerFunc(func(pairs ...any) error {
		if pairs[3] == "refused" {
			select {
			case refused <- "refused":
			default:
			}
		}
		return nil
	}), path, func(host site.Host) { applied <- host })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal((<-applied).Name, "front-1")
	is.NoErr(os.WriteFile(path, []byte("cut = "), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal(<-refused, "refused")
	is.Equal(len(applied), 0)
}
