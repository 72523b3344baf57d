package allotment

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// replacedSession is a session lease whose holder can be changed, as it is after the loss of a session.
type replacedSession struct {
	*fake
	holder string
}

func (s *replacedSession) Holder() string { return s.holder }

// Guards against work that starts under the session of a new incarnation with a unit that was granted to the previous
// one. After the end of that session, another holder may be using the unit.
func TestPermitOfAnEndedSessionGetsNoLease(t *testing.T) {
	withFakeClock(t, func(_ *testing.T, is *is.I, f *fake) {
		session := &replacedSession{fake: f, holder: "me"}
		f.ledger = New(Config{
			Replica: f, Committer: f, Session: session, Workers: f, Clock: SystemClock{}, NotSent: errNotSent,
		})
		f.ledger.refresh(false)
		p, err := f.ledger.Acquire("a", "w-1")
		is.NoErr(err)
		started := f.ledger.AcquireStarted("a", "w-1")
		session.holder = "me-again"
		_, err = p.Lease(context.Background())
		is.True(errors.Is(err, ErrLeaseExpired))
		_, err = started.Lease(context.Background()) // the work of an adopted job is already running
		is.NoErr(err)
	})
}
