package front

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/fleet"
	"pollenlead/internal/store"
)

// keyedQueue is a configuration with one queue and the key of one team, which can be withdrawn.
type keyedQueue struct{ withdrawn atomic.Bool }

func (k *keyedQueue) Config() *fleet.Config {
	c := &fleet.Config{Version: 1, Queues: []fleet.Queue{{Name: "queue", Host: "a.example", PathPrefix: "/"}}}
	if !k.withdrawn.Load() {
		c.Teams = []fleet.Team{{Name: "team", Keys: []string{"key"}}}
	}
	c.Index()
	return c
}

func (*keyedQueue) Age() (time.Duration, bool) { return 0, true }

// readerFunc is a body that calls a function when it is read.
type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// TestKeyWithdrawnWhileTheBodyArrives guards against a client that keeps the use of a withdrawn key: its request began
// before the withdrawal, and it sends the rest of the body much later.
func TestKeyWithdrawnWhileTheBodyArrives(t *testing.T) {
	is := is.New(t)
	s, config := &countingStore{}, &keyedQueue{}
	h := &Handler{
		Config: config, Jobs: store.NewBatchers(t.Context(), s, store.DefaultLimits, "topic", 2, 0), Log: zerolog.Nop(),
		KeyWithdrawal: time.Second, Draining: &atomic.Bool{},
		Codec: Codec{
			Job: func([]byte) (*fleet.JobSpec, error) { return &fleet.JobSpec{Steps: []fleet.Step{{Count: 1}}}, nil },
			Key: func(authorization string) string { return authorization },
		},
	}
	submit := func(body io.Reader) int {
		r := httptest.NewRequest(http.MethodPost, "http://a.example/0011223344556677", body)
		r.Header.Set("Authorization", "key")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code
	}
	is.Equal(submit(strings.NewReader("{}")), http.StatusOK)
	is.Equal(submit(readerFunc(func([]byte) (int, error) {
		config.withdrawn.Store(true)
		return 0, io.EOF
	})), http.StatusUnauthorized)
	is.Equal(s.records.Load(), int32(1))
}
