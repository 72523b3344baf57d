package replay

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func handover(is *is.I) string {
	trace, err := os.ReadFile("testdata/handover.jsonl")
	is.NoErr(err)
	return string(trace)
}

// Guards against a change of the fold that gives recorded records another outcome.
func TestHandover(t *testing.T) {
	is := is.New(t)
	result, err := Run(strings.NewReader(handover(is)))
	is.NoErr(err)
	is.Equal(result.Difference, nil)
	is.Equal(result.Records, 8)
	is.Equal(result.Expectations, 12)
}

// Guards against a replay that passes although an expectation does not hold, or that reports the wrong place.
func TestChangedExpectationIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		old, changed string
		want         Difference
	}{
		"units":   {`"holder":"a","team":"counter","units":3`, `"holder":"a","team":"counter","units":2`, Difference{5, "units", "2", "3"}},
		"pool":    {`"moving_to":"spare"`, `"moving_to":""`, Difference{19, "moving_to", "", "spare"}},
		"outcome": {`"reason":"not_held"`, `"reason":"no_slot"`, Difference{12, "reason", "no_slot", "not_held"}},
		"job":     {`"state":"succeeded"`, `"state":"failed"`, Difference{18, "state", "failed", "succeeded"}},
		"record":  {`"writer":"entry-b"`, `"writer":"entry-c"`, Difference{20, "sha256", "", ""}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			result, err := Run(strings.NewReader(strings.Replace(handover(is), c.old, c.changed, 1)))
			is.NoErr(err)
			is.True(result.Difference != nil)
			if c.want.Field == "sha256" {
				c.want.Want, c.want.Have = result.Difference.Want, result.Difference.Have
			}
			is.Equal(*result.Difference, c.want)
		})
	}
}

// Guards against lines that are skipped in silence.
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
