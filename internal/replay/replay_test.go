package replay

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func readHandover(is *is.I) string {
	trace, err := os.ReadFile("testdata/handover.jsonl")
	is.NoErr(err)
	return string(trace)
}

// Guards against a change of the state machine by which recorded records get other outcomes.
func TestHandover(t *testing.T) {
	is := is.New(t)
	result, err := Run(strings.NewReader(readHandover(is)))
	is.NoErr(err)
	is.Equal(result.Difference, nil)
	is.Equal(result.Records, 8)
	is.Equal(result.Expectations, 12)
}

// Guards against a change of the state machine by which the records of the demo with faults get other outcomes. The
// traces were recorded by "pollenlead dev --demo --faults --for 14s --rate 5 --seed N --trace FILE" with seeds 1 to 3.
func TestTracesOfTheDemo(t *testing.T) {
	traces, err := filepath.Glob("testdata/demo-faults-*.jsonl")
	is.New(t).NoErr(err)
	is.New(t).Equal(len(traces), 3)
	for _, name := range traces {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			trace, err := os.ReadFile(name)
			is.NoErr(err)
			result, err := Run(bytes.NewReader(trace))
			is.NoErr(err)
			is.Equal(result.Difference, nil)
			is.True(result.Records > 100)
			is.True(result.Expectations > 100)
		})
	}
}

// Guards against a written trace whose expectations do not hold when it is replayed.
func TestWrittenTraceReplays(t *testing.T) {
	is := is.New(t)
	var entries []Entry
	for line := range strings.Lines(readHandover(is)) {
		var l struct {
			Record *recordLine `json:"record"`
		}
		is.NoErr(json.Unmarshal([]byte(line), &l))
		if l.Record != nil {
			entries = append(entries, Entry{Offset: l.Record.Offset, Data: append(l.Record.Data, l.Record.Base64...)})
		}
	}
	var written bytes.Buffer
	is.NoErr(Write(&written, entries))
	result, err := Run(&written)
	is.NoErr(err)
	is.Equal(result.Difference, nil)
	is.Equal(result.Records, len(entries))
}

// Guards against a replay that passes although an expectation does not hold, or that reports the wrong line or field.
func TestChangedExpectationIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		old, changed string
		want         Difference
	}{
		"units": {
			`"holder":"a","team":"counter","units":3`, `"holder":"a","team":"counter","units":2`,
			Difference{5, "units", "2", "3"},
		},
		"pool":    {`"moving_to":"spare"`, `"moving_to":""`, Difference{19, "moving_to", "", "spare"}},
		"outcome": {`"reason":"not_held"`, `"reason":"no_slot"`, Difference{12, "reason", "no_slot", "not_held"}},
		"job":     {`"state":"succeeded"`, `"state":"failed"`, Difference{18, "state", "failed", "succeeded"}},
		"record":  {`"writer":"entry-b"`, `"writer":"entry-c"`, Difference{20, "sha256", "", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := Run(strings.NewReader(strings.Replace(readHandover(is), c.old, c.changed, 1)))
			is.NoErr(err)
			is.True(result.Difference != nil)
			if c.want.Field == "sha256" {
				c.want.Want, c.want.Have = result.Difference.Want, result.Difference.Have
			}
			is.Equal(*result.Difference, c.want)
		})
	}
}

// Guards against malformed or misplaced lines that are skipped without an error.
func TestMalformedTrace(t *testing.T) {
	for name, text := range map[string]string{
		"not JSON":      `x`,
		"unknown field": `{"quota":{}}`,
		"two fields":    `{"hash":{},"job":{}}`,
		"empty":         `{}`,
		"misplaced":     `{"units":{"offset":3}}`,
		"no record":     `{"outcome":{"offset":0}}`,
		"trailing":      `{"units":{"offset":0}} {}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Run(strings.NewReader(text))
			is.New(t).True(errors.Is(err, ErrFormat))
		})
	}
}
