package fleetlist

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/standin"
)

// Guards against fields that are lost or mixed up between the list's protocol and the records, and against an outage
// that looks like an empty list.
func TestList(t *testing.T) {
	is := is.New(t)
	list := standin.NewList()
	server, err := list.Start()
	is.NoErr(err)
	defer server.Close()
	list.Set(standin.Instance{
		ID: "e-1", Kind: standin.KindEntry, Address: "127.0.0.1:1", AvailabilityZone: "z1", Phase: standin.PhaseLeaving,
	})
	list.Set(standin.Instance{
		ID: "w-1", Kind: standin.KindWorker, Address: "127.0.0.1:2", Region: "r", AvailabilityZone: "z2", Rack: "k",
		Phase: standin.PhaseLive, Slots: 8, Connections: 64, Cores: 32, MemoryBytes: 64 << 30, Accelerators: 2,
	})
	c := New(server.URL, 0)
	listing, err := c.List(t.Context())
	is.NoErr(err)
	is.Equal(listing, platform.Listing{
		Version: 2,
		Entries: []platform.EntryListing{{ID: "e-1", Address: "127.0.0.1:1", AvailabilityZone: "z1", Phase: record.PhaseLeaving}},
		Workers: []record.Instance{{
			ID: "w-1", Address: "127.0.0.1:2", Region: "r", AvailabilityZone: "z2", Rack: "k",
			Phase: record.PhaseLive, Slots: 8, Connections: 64, Cores: 32, MemoryBytes: 64 << 30, Accelerators: 2,
		}},
	})
	list.SetFaults(standin.ListFaults{Outage: true})
	_, err = c.List(t.Context())
	is.True(err != nil)
}

// Guards against a reboot that the platform does not get, and a refused one that looks as if it may have happened.
func TestReboot(t *testing.T) {
	is := is.New(t)
	list := standin.NewList()
	server, err := list.Start()
	is.NoErr(err)
	defer server.Close()
	list.SetRebootPhaseDuration(time.Hour)
	list.Set(standin.Instance{ID: "w/1", Kind: standin.KindWorker, Phase: standin.PhaseLive})
	c := New(server.URL, 0)
	var maintainer platform.Maintainer = c
	is.NoErr(maintainer.Reboot(t.Context(), "w/1", "op"))
	is.NoErr(maintainer.Reboot(t.Context(), "w/1", "op"))
	listing, err := c.List(t.Context())
	is.NoErr(err)
	is.Equal(listing.Version, uint64(2))
	is.Equal(listing.Workers[0].Phase, record.PhaseLeaving)
	is.True(errors.Is(maintainer.Reboot(t.Context(), "w-2", "op"), platform.ErrNoEffect))
}

// Guards against a list that is sent whole at every poll, and against a listing that stays old after a change.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	is := is.New(t)
	list := standin.NewList()
	bodies := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		list.ServeHTTP(recorder, r)
		if recorder.Body.Len() > 0 {
			bodies++
		}
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer server.Close()
	c := New(server.URL, time.Minute)
	list.Set(standin.Instance{ID: "w-1", Kind: "worker", Phase: "live"})
	for range 3 {
		listing, err := c.List(t.Context())
		is.NoErr(err)
		is.Equal(len(listing.Workers), 1)
	}
	is.Equal(bodies, 1)
	list.Set(standin.Instance{ID: "w-2", Kind: "worker", Phase: "live"})
	listing, err := c.List(t.Context())
	is.NoErr(err)
	is.Equal(len(listing.Workers), 2)
}
