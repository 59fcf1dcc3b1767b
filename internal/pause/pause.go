// Package pause waits for a while or until the waiting is cancelled.
package pause

import (
	"context"
	"time"
)

// For waits for a period or until ctx ends.
func For(ctx context.Context, period time.Duration) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
