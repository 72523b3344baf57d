package devmode

import (
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/settings"
)

// Guards against written files that entry instances in separate processes reject as invalid. Settings and documents are
// generated, so a wrong name or value shows only when they are parsed. Checked at the smallest and the largest size.
func TestWrittenFilesAreValid(t *testing.T) {
	for _, size := range []struct{ pools, teams int }{{5, 6}, {38, 26}} {
		is := is.New(t)
		document, keys, err := buildDocument(generateServices(size.pools), generateTeams(size.teams))
		is.NoErr(err)
		entries, err := chooseEntries(9)
		is.NoErr(err)
		directory := t.TempDir()
		a := addresses{LogURL: "http://127.0.0.1:1", ListURL: "http://127.0.0.1:2", Entries: entries}
		for team := range keys.teams {
			a.Teams = append(a.Teams, directoryTeam{Name: team})
		}
		is.NoErr(writeDirectory(directory, a, document, keys))
		read, err := readAddresses(directory)
		is.NoErr(err)
		is.Equal(read.Entries, entries)
		readBack, err := readKeys(directory, read.Teams)
		is.NoErr(err)
		is.Equal(readBack.teams, keys.teams)
		for _, e := range entries {
			s, err := settings.Load(directory + "/" + e.Name + ".yaml")
			is.NoErr(err)
			is.Equal("http://"+s.Listen.Callers.String(), e.CallersURL)
		}
		text, err := render(document)
		is.NoErr(err)
		_, problems := config.Parse(text)
		is.Equal(len(problems), 0)
	}
}

// Guards against a phase with only graceful restarts that passes in spite of an unknown outcome. A graceful shutdown
// finishes the requests in progress, so unknown outcomes are allowed only in phases with crashes or outages.
func TestUnknownOutcomeBreaksTheGracefulPhase(t *testing.T) {
	is := is.New(t)
	r := Report{Answered: 1, Unknown: 1}
	r.checkGuarantees(false)
	is.Equal(r.Violated, []string{})
	r.checkGuarantees(true)
	is.Equal(r.Violated, []string{"unknown"})
}
