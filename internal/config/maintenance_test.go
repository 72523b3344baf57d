package config_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/config"
)

// TestWindow guards against a window that is a day off after midnight and against one that ignores its days.
func TestWindow(t *testing.T) {
	night := config.Window{Days: []string{"friday"}, Start: "22:30", End: "04:00"}
	for _, c := range []struct {
		sentence, now, closes string
		window                config.Window
	}{
		{"closed before the start", "2026-12-04T22:29:59Z", "", night},
		{"open from the start", "2026-12-04T22:30:00Z", "2026-12-05T04:00:00Z", night},
		{"still open after midnight", "2026-12-05T03:59:59Z", "2026-12-05T04:00:00Z", night},
		{"closed at the end", "2026-12-05T04:00:00Z", "", night},
		{"closed on another day", "2026-12-05T22:45:00Z", "", night},
		{"times count in UTC", "2026-12-04T23:45:00+01:00", "2026-12-05T04:00:00Z", night},
		{"a day without times lasts until midnight", "2026-12-04T12:00:00Z", "2026-12-05T00:00:00Z",
			config.Window{Days: []string{"friday"}}},
		{"days that adjoin are one window", "2026-12-05T12:00:00Z", "2026-12-07T00:00:00Z",
			config.Window{Days: []string{"sunday", "saturday"}}},
		{"times without days hold every day", "2026-12-05T12:00:00Z", "2026-12-05T13:00:00Z",
			config.Window{Start: "11:00", End: "13:00"}},
	} {
		t.Run(c.sentence, func(t *testing.T) {
			is := is.New(t)
			now, err := time.Parse(time.RFC3339, c.now)
			is.NoErr(err)
			closes, open := c.window.Closes(now)
			is.Equal(open, c.closes != "")
			if open {
				is.Equal(closes.Format(time.RFC3339), c.closes)
			}
		})
	}
}
