// Package sleep pauses a goroutine until a time has passed or a context is done.
package sleep

import (
	"context"
	"time"
)

// For returns after d, or earlier if ctx is done.
func For(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
