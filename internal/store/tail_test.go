package store

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// pagedStore serves the newest records and a log in pages of one record. It calls onLastRead with the read that reaches
// the end.
type pagedStore struct {
	newest     []Record
	log        []Record
	onLastRead func()
}

func (*pagedStore) Append(context.Context, Append) (int64, error) { return 0, nil }

func (s *pagedStore) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (Page, error) {
	end := int64(len(s.log))
	if from >= end-1 {
		s.onLastRead()
	}
	return Page{Records: s.log[min(from, end):min(from+1, end)], End: end}, nil
}

func (s *pagedStore) ReadNewest(_ context.Context, _ string, _ int, after string) (Newest, error) {
	for n, r := range s.newest {
		if r.Key > after {
			page := Newest{Records: s.newest[n : n+1], End: int64(len(s.newest))}
			if n+1 < len(s.newest) {
				page.After = r.Key
			}
			return page, nil
		}
	}
	return Newest{}, nil
}

// TestNoContactBeforeTheLastPage guards against a tail that claims to have read every accepted job while pages of older
// records are still to come: the leader would deny an accepted job, or acknowledge ends of a job that it has not read.
func TestNoContactBeforeTheLastPage(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
	defer stop()
	applied, contacts := 0, []int{}
	tail := &Tail{
		Store: &pagedStore{
			newest:     []Record{{Key: "a"}, {Key: "b"}, {Key: "c"}},
			log:        []Record{{Offset: 0, Key: "a"}, {Offset: 1, Key: "b"}, {Offset: 2, Key: "c"}},
			onLastRead: stop,
		},
		Apply:   func(Record) { applied++ },
		Contact: func(time.Duration) { contacts = append(contacts, applied) },
		Log:     zerolog.Nop(),
	}
	_, _, err := tail.CatchUp(ctx)
	is.NoErr(err)
	is.Equal(contacts, []int{3}) // newest records

	applied, contacts = 0, nil
	tail.Follow(ctx, 0, nil)
	is.Equal(contacts, []int{3}) // records of the log
}
