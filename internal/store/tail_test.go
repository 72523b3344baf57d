package store

import (
	"bytes"
	"context"
	"strings"
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

// pagesStore returns one page of newest records and one page of later records, and stops the reader afterwards.
type pagesStore struct {
	Store
	newest, later []Record
	stop          func()
}

func (s *pagesStore) ReadNewest(context.Context, string, int, string) (Newest, error) {
	return Newest{Records: s.newest, End: 10}, nil
}

func (s *pagesStore) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (Page, error) {
	if from > 10 {
		s.stop()
		return Page{End: from}, nil
	}
	return Page{Records: s.later, End: 10 + int64(len(s.later))}, nil
}

// TestRecordWithoutAKeyIsSkipped guards against a follower that stops, or that applies a record to the wrong key,
// because of a malformed record, and against a log that is flooded with such records.
func TestRecordWithoutAKeyIsSkipped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := &pagesStore{newest: []Record{{Offset: 1, Key: "a"}, {Offset: 2, Value: []byte("x")}, {Offset: 3, Key: "b"}}, stop: cancel}
	for n := range int64(5 * maxLoggedMalformed) {
		s.later = append(s.later, Record{Offset: 10 + n, Value: []byte("x")})
	}
	s.later = append(s.later, Record{Offset: 10 + int64(len(s.later)), Key: "c"})
	var log bytes.Buffer
	var applied []string
	tail := &Tail{
		Store: s, Topic: "t", Apply: func(r Record) { applied = append(applied, r.Key) }, Log: zerolog.New(&log),
	}
	tail.Run(ctx)
	is.Equal(applied, []string{"a", "b", "c"})
	is.Equal(strings.Count(log.String(), "bad_record"), maxLoggedMalformed)
}
