// Package instances describes the service that moves instances between pools and maintains them. The adapter implements it.
package instances

import (
	"context"
	"errors"
	"fmt"

	"pollenlead/internal/fleet"
)

// Service gives orders for instances. An order ends everything that runs on the instance at once.
type Service interface {
	List(ctx context.Context) ([]fleet.Instance, error)
	// Move puts the instance into another pool. Moving it where it is already succeeds.
	Move(ctx context.Context, instance, pool string, token int64) error
	// Maintain takes the instance down for its maintenance in a wave. It succeeds if that is done already.
	Maintain(ctx context.Context, instance string, wave, token int64) error
}

// Refusal says why an order was refused.
type Refusal string

// The reasons of a refusal.
const (
	RefusedFence Refusal = "fence"
	// RefusedBusy means that the instance is not up or is leaving.
	RefusedBusy Refusal = "busy"
	// RefusedWave means that the instance is not part of the wave.
	RefusedWave Refusal = "wave"
)

// RefusedError is a refused order. Nothing was done.
type RefusedError struct{ Reason Refusal }

func (e *RefusedError) Error() string { return fmt.Sprintf("instances: refused, reason %s", e.Reason) }

// ErrBusy means that the service accepts no more calls now and did nothing.
var ErrBusy = errors.New("instances: too many calls")
