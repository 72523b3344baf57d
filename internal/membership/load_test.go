package membership

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against counts that the wire format changes or loses.
func TestLoadWireKeepsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		name := func(prefix string) *rapid.Generator[string] {
			return rapid.Map(rapid.IntRange(0, 40), func(n int) string { return fmt.Sprint(prefix, n) })
		}
		counts := rapid.MapOf(name("p"), rapid.MapOfN(name("t"), rapid.IntRange(1, 100_000), 1, -1))
		load := Load{Running: counts.Draw(t, "running"), Queued: counts.Draw(t, "queued")}
		encoded, err := json.Marshal(load)
		is.NoErr(err)
		var got Load
		is.NoErr(json.Unmarshal(encoded, &got))
		is.Equal(fmt.Sprint(got), fmt.Sprint(load)) // fmt sorts maps and formats nil maps as empty
	})
}

// Guards against cells of a peer that refer to pools or teams outside its lists. They would cause a panic or wrong
// counts.
func TestLoadWireRefusesBadCells(t *testing.T) {
	is := is.New(t)
	for _, bad := range []string{
		`{"running_cells":"AAE="}`,                                        // no names
		`{"pools":["p"],"teams":["t"],"running_cells":"AQE="}`,            // past the last pair
		`{"pools":["p"],"teams":["t"],"running_cells":"AAEAAQ=="}`,        // more cells than pairs
		`{"pools":["p"],"teams":["t"],"queued_cells":"AA=="}`,             // a gap without a count
		`{"pools":["p"],"teams":["t"],"queued_cells":"AAA="}`,             // a count of zero
		`{"pools":["p"],"teams":["t"],"queued_cells":"AP//////////AQ=="}`, // a count above maxCellCount
		`{"pools":["p"],"teams":["t"],"running_cells":"////////////"}`,    // an unterminated varint
	} {
		var load Load
		is.True(json.Unmarshal([]byte(bad), &load) != nil)
	}
	_, err := json.Marshal(Load{Running: map[string]map[string]int{"p": {"t": -1}}})
	is.True(err != nil)
}
