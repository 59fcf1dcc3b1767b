package cmds

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"lovagelink.example/lovagelink/internal/site"
	"lovagelink.example/lovagelink/platform"
)

// reloadInterval is the interval at which the settings file is read, since it may change without a signal.
const reloadInterval = 2 * time.Second

// reload calls apply with the settings whenever the file has changed or SIGHUP arrives, until ctx ends. An unreadable
// or invalid file is logged, and the settings stay as they were.
func reload(ctx context.Context, logger log.Logger, path string, apply func(site.Host)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		defer signal.Stop(hangups)
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		last, err := os.ReadFile(path)
		if err != nil {
			_ = logger.Log("event", "reload", "outcome", "refused", "reason", err)
		}
		for {
			isSignalled := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				isSignalled = true
			case <-ticker.C:
			}
			data, err := os.ReadFile(path)
			if err == nil && bytes.Equal(data, last) && !isSignalled {
				continue
			}
			var host site.Host
			if err == nil {
				host, err = platform.ParseSettings(data)
			}
			if err != nil {
				_ = logger.Log("event", "reload", "outcome", "refused", "reason", err)
				continue
			}
			last = data
			apply(host)
			_ = logger.Log("event", "reload", "outcome", "applied", "signal", isSignalled, "seeds", len(host.Seeds))
		}
	}()
}
