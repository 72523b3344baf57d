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

// TestRecordWithoutAKeyIsSkipped guards against a follower that stops, or that applies a record to the wrong key, because
// of a malformed record, and against a log that is flooded with such records.
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
