package dispatch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/instances"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
)

// An order for an instance needs a term that the store has confirmed recently. The fencing token of the order does not
// replace that: the instances service compares the tokens of each instance separately, so it carries out the order of a
// former leader for an instance that its successor has not ordered yet. Such an order exceeds the limits that the
// successor counts, or ends the work that the successor has started there.

// confirmationTTL is how long after the last confirmation of the term orders are sent. It is shorter than the silence
// after which another entry instance claims leadership; the difference covers the
// transmission of an order.
const confirmationTTL = time.Second

// errUnconfirmed means that an order was not sent because the term was not confirmed recently.
var errUnconfirmed = fmt.Errorf("dispatch: order not sent: term not confirmed within %v: %w", confirmationTTL,
	instances.ErrBusy)

// termConfirmed reports whether the store has confirmed recently that no other entry instance had begun a term.
func (d *Dispatcher) termConfirmed() bool {
	return d.LastConfirmed == nil || bootclock.Now()-d.LastConfirmed() < confirmationTTL
}

// mayOrderNow reports whether instances may be ordered, and logs when that changes. Callers hold mu.
func (w *instanceDriver) mayOrderNow() bool {
	confirmed := w.d.termConfirmed()
	if confirmed != w.ordersHeld {
		return confirmed
	}
	w.ordersHeld = !confirmed
	if w.ordersHeld {
		w.d.Log.Info().Str("event", "orders_held").Int64("token", w.d.Token).
			Msg("store has not confirmed the term recently: planned orders for instances are given up")
	} else {
		w.d.Log.Info().Str("event", "orders_resumed").Int64("token", w.d.Token).
			Msg("store has confirmed the term: instances are ordered again")
	}
	return confirmed
}

// sendOrder sends an order for an instance. The term is checked here and again right before the request is written,
// because the process may be frozen or wait for a connection in between.
func (w *instanceDriver) sendOrder(ctx context.Context, send func(context.Context) error) error {
	check := func() error {
		if !w.d.termConfirmed() {
			return errUnconfirmed
		}
		return nil
	}
	if err := check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	return send(worker.WithSendCheck(ctx, check))
}

const (
	// instanceProducerName identifies the leader's appends on instances.
	instanceProducerName = "instance-records"
	// appendsPerTerm is the number of epochs of one term. Tokens are offsets in the topic of heartbeats. An
	// epoch has to stay below 2^53, up to which numbers of JSON are exact, which leaves tokens up to 2^31.
	appendsPerTerm = 1 << 22
)

// errNoEpochLeft means that the term has used all its epochs for appends on instances.
var errNoEpochLeft = errors.New("dispatch: no epoch left in this term for appends on instances")

// nextProducer returns the producer of the next append on instances. Each append has an epoch of its own, in the order
// of the terms: the store then refuses one that arrives after a later append of this leader or of its successor. The
// epochs of a term end before those of the next. Callers hold mu.
func (w *instanceDriver) nextProducer() (*store.Producer, error) {
	if w.appends+1 >= appendsPerTerm {
		return nil, errNoEpochLeft
	}
	w.appends++
	epoch := w.d.Token*appendsPerTerm + w.appends
	return &store.Producer{Name: instanceProducerName, Epoch: epoch, Sequence: 1}, nil
}
