// Package sleep pauses a goroutine.
package sleep

import (
	"context"
	"time"
)

// For returns after d, or earlier when ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
