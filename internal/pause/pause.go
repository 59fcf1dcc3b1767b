// Package pause waits for a period or until a context is cancelled.
package pause

import (
	"context"
	"time"
)

// For waits for a period or until ctx is done.
func For(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
