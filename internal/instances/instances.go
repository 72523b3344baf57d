// Package instances defines the interface to the service that moves instances between pools and maintains them. The
// platform adapter implements it.
package instances

import (
	"context"
	"errors"
	"fmt"

	"pollenlead/internal/fleet"
)

// Service gives orders for instances. An order immediately ends everything that runs on the instance.
type Service interface {
	List(ctx context.Context) ([]fleet.Instance, error)
	// Move moves the instance to another pool. It succeeds without effect if the instance is already there.
	Move(ctx context.Context, instance, pool string, token int64) error
	// Maintain takes the instance down for its maintenance in a wave. It succeeds without effect if that has been
	// done already.
	Maintain(ctx context.Context, instance string, wave, token int64) error
}

// Refusal is the reason for which an order was refused.
type Refusal string

// The reasons for a refusal.
const (
	RefusedFence Refusal = "fence"
	// RefusedBusy means that the instance is not up or is leaving.
	RefusedBusy Refusal = "busy"
	// RefusedWave means that the instance is not part of the wave.
	RefusedWave Refusal = "wave"
)

// RefusedError means that an order was refused without effect.
type RefusedError struct{ Reason Refusal }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("instances: order refused, reason %s", e.Reason)
}

// ErrBusy means that the service accepts no further calls for now. The call had no effect.
var ErrBusy = errors.New("instances: service accepts no further calls for now")
