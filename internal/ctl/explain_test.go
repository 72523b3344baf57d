package ctl

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against lines of other jobs in the output, and against lost lines because of a log collector's prefix or of
// a line that is not JSON.
func TestJobLines(t *testing.T) {
	is := is.New(t)
	const id = "0011223344556677"
	log := `entry-1 {"time":"2","entry_instance":"entry-1","event":"job_ended","job":"0011223344556677","state":"done","message":"job ended"}
{"time":"1","entry_instance":"entry-2","event":"accepted","job":"0011223344556677","message":"job accepted"}
{"time":"1","event":"accepted","job":"ffffffffffffffff"}
not a line of the log
{"time":"3","event":"start_failed","task":"0011223344556677.0.1.2","run":2}
{"time":"3","event":"start_failed","task":"00112233445566770.0.1.2"}`
	lines := jobLines([]byte(log), id)
	is.Equal(len(lines), 3)
	is.Equal(lines[0].Event, "job_ended")
	is.Equal(lines[0].Inputs["state"], "done")
	is.Equal(lines[2].Inputs["run"], 2.0)
}

// TestExplainFindsAJobInAList guards against log lines that are missed because they describe several jobs, and against
// the fields of the other jobs of such a line.
func TestExplainFindsAJobInAList(t *testing.T) {
	is := is.New(t)
	line := `{"event":"jobs_restored","pool":"desk","jobs":[{"job":"a","offset":1,"runs":0},{"job":"b","offset":7,"runs":2}]}`
	lines := jobLines([]byte(line), "b")
	is.Equal(len(lines), 1)
	is.Equal(lines[0].Inputs, map[string]any{"job": "b", "offset": 7.0, "runs": 2.0, "pool": "desk"})
	is.Equal(len(jobLines([]byte(line), "c")), 0)
}
