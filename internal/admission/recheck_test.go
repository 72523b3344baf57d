package admission

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"pollenlead/internal/routing"
)

// withdrawingLedger marks the key as withdrawn while a request waits for its worker lease.
type withdrawingLedger struct {
	*fakeLedger
	withdrawn bool
}

type withdrawingPermit struct {
	Permit
	l *withdrawingLedger
}

func (l *withdrawingLedger) Acquire(team, instance string) (Permit, error) {
	p, err := l.fakeLedger.Acquire(team, instance)
	return &withdrawingPermit{Permit: p, l: l}, err
}

func (p *withdrawingPermit) Lease(context.Context) (string, error) {
	p.l.withdrawn = true
	return "lease", nil
}

// Guards against a request that starts although its key was withdrawn while it waited for a worker lease. Opening a
// lease takes seconds when several requests wait for one instance that does not answer.
func TestKeyIsCheckedAfterTheWorkerLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &withdrawingLedger{fakeLedger: newLedger(map[string]int{"t0": 1}, routing.Candidate{Instance: "w", Held: 1})}
		q := newQueue(l.fakeLedger, nil)
		q.cfg.Ledger = l
		_, err := q.Admit(t.Context(), Request{Team: "t0", Service: "s", Recheck: func() error {
			if l.withdrawn {
				return ErrKeyWithdrawn
			}
			return nil
		}})
		is.True(errors.Is(err, ErrKeyWithdrawn))
		is.Equal(l.released, 1)
	})
}
