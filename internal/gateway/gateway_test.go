package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

const requestsPath = "/v1/services/s/requests"

// Guards against a changed body, path or header, a caller that sets the header of another team, and API keys that are
// forwarded to backend servers.
func TestRequestPassesThrough(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Trailer", "Sum")
		h := r.Header
		fmt.Fprintf(w, "%s %s %s %s %q %q %q", r.Method, r.RequestURI, body, h.Get(HeaderTeam), h["Pollenlead_team"],
			h.Get("Authorization"), h.Get("X-Own"))
		w.Header().Set("Sum", "1")
	})
	response, answer := f.call(t, "PUT", requestsPath+"/a%2Fb/c?d=e", "body",
		HeaderTeam, "other", "Pollenlead_team", "other", "X-Own", "x")
	is.Equal(answer, `PUT /services/s/a%2Fb/c?d=e body t [] "" "x"`)
	is.True(len(response.Header.Get(HeaderRequestID)) == 26)
	is.Equal(response.Trailer.Get("Sum"), "1")
}

// Guards against responses that are buffered until they are complete, and against request bodies that are read to their
// end before the response starts.
func TestRequestStreamsBothWays(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		b := make([]byte, 1)
		for {
			n, err := r.Body.Read(b) // the last byte may come together with io.EOF
			_, _ = w.Write(b[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	})
	read, write := io.Pipe()
	r, _ := http.NewRequest("POST", f.gateway.URL+requestsPath+"/", read)
	r.Header.Set("Authorization", "Bearer t/k")
	go func() { _, _ = write.Write([]byte("a")) }()
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	defer response.Body.Close()
	got := make([]byte, 1)
	_, err = io.ReadFull(response.Body, got)
	is.NoErr(err) // the first byte arrived while the request was still open
	go func() { _, _ = write.Write([]byte("b")); _ = write.Close() }()
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(got)+string(rest), "ab")
}

// Guards against a truncated response that the caller takes for complete, both chunked and with a Content-Length.
func TestTruncatedResponseIsAborted(t *testing.T) {
	for _, length := range []string{"", "100"} {
		is := is.New(t)
		f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = w.Write([]byte("part"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		_, answer := f.call(t, "GET", requestsPath+"/", "", HeaderIdempotencyKey, "key")
		is.True(strings.HasPrefix(answer, "read: "))
		f.closeAndSettle()
		is.Equal(f.ops[1].RequestSettle.Run, record.ExecutionMayHaveRun)
	}
}

// Guards against passing on the response of another request, or a response whose end cannot be detected.
func TestWrongResponseIsWithheld(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Request-Id", "other") })
	_, answer := f.call(t, "GET", requestsPath+"/", "", HeaderNonIdempotent, "true")
	expectProblem(is, answer, ReasonWrongResponse, record.ExecutionMayHaveRun)
	is.Equal(len(f.instances), 1)
	f.backend = func(w http.ResponseWriter, r *http.Request) {
		conn, _, _ := http.NewResponseController(w).Hijack()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\n\r\npart", r.Header.Get("Request-Id"))
		conn.Close()
	}
	_, answer = f.call(t, "GET", requestsPath+"/", "", HeaderNonIdempotent, "true")
	expectProblem(is, answer, ReasonWrongResponse, record.ExecutionMayHaveRun)
}

func expectProblem(is *is.I, answer string, reason Reason, run record.Execution) {
	is.Helper()
	var p Problem
	is.NoErr(json.Unmarshal([]byte(answer), &p))
	is.Equal(p.Reason, reason)
	is.Equal(p.Run, run)
	is.Equal(p.Type, "urn:pollenlead:problem:"+string(reason))
}

var errRefused = &platform.RefusedError{Instance: "i", Refusal: platform.RefusedSlotsFull}

// Guards against a second execution of non-idempotent work, retries on the same instance, bodies lost on retry, and an
// answer "not_run" although an earlier attempt may have run.
func TestRetries(t *testing.T) {
	long := strings.Repeat("x", maxReplayBytes+1)
	for _, c := range []struct {
		name     string
		errors   []error
		body     string
		headers  []string
		attempts int
		reason   Reason
		run      record.Execution
	}{
		{"refused", []error{errRefused}, "body", []string{HeaderNonIdempotent, "true"}, 2, "", ""},
		{"not sent", []error{platform.ErrNoEffect}, "body", nil, 2, "", ""},
		{"idempotent", []error{platform.ErrOutcomeUnknown}, "body", nil, 2, "", ""},
		{
			"non-idempotent", []error{platform.ErrOutcomeUnknown}, "body", []string{HeaderNonIdempotent, "true"}, 1,
			ReasonNoResponse, record.ExecutionMayHaveRun,
		},
		{"long body", []error{platform.ErrOutcomeUnknown}, long, nil, 1, ReasonNoResponse, record.ExecutionMayHaveRun},
		{"budget", []error{errRefused, errRefused}, "", nil, 2, ReasonInstanceRefused, record.ExecutionNotRun},
		{
			"refused later", []error{platform.ErrOutcomeUnknown, errRefused}, "", nil, 2,
			ReasonInstanceRefused, record.ExecutionMayHaveRun,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
			f.doErrs = c.errors
			_, answer := f.call(t, "POST", requestsPath+"/", c.body, c.headers...)
			is.Equal(len(f.instances), c.attempts)
			is.True(c.attempts == 1 || f.instances[0] != f.instances[1])
			if c.reason == "" {
				is.Equal(answer, c.body)
				return
			}
			expectProblem(is, answer, c.reason, c.run)
		})
	}
}

// Guards against requests that run although a limit, their key or missing contact with the log forbids it.
func TestRefusalsBeforeTheQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	big := strings.Repeat("x", 1<<20+1)
	for _, c := range []struct {
		status  int
		path    string
		body    string
		headers []string
		reason  Reason
	}{
		{401, requestsPath + "/", "", []string{"Authorization", "Bearer x"}, ReasonUnauthorized},
		{401, requestsPath + "/", "", []string{"Authorization", "t/k"}, ReasonUnauthorized},
		{401, requestsPath + "/", "", []string{"Authorization", "Bearer t/withdrawn"}, ReasonKeyWithdrawn},
		{404, "/v1/services/none/requests/", "", nil, ReasonUnknownService},
		{400, requestsPath + "/%2e%2e/%2e%2e/tasks", "", nil, ReasonInvalidRequest},
		{400, requestsPath + "/..%2f..%2ftasks", "", nil, ReasonInvalidRequest},
		{403, requestsPath + "/", "", []string{HeaderUrgent, "true"}, ReasonUrgentNotAllowed},
		{413, requestsPath + "/", big, nil, ReasonBodyTooLarge},
		{431, requestsPath + "/", "", []string{"X-Big", big[:3000]}, ReasonHeaderTooLarge},
	} {
		response, answer := f.call(t, "POST", c.path, c.body, c.headers...)
		is.Equal(response.StatusCode, c.status)
		is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
		expectProblem(is, answer, c.reason, record.ExecutionNotRun)
	}
	f.contact = false
	response, answer := f.call(t, "GET", requestsPath+"/", "")
	expectProblem(is, answer, ReasonNoContact, record.ExecutionNotRun)
	is.Equal(response.Header.Get("Retry-After"), "1")
	is.Equal(len(f.instances), 0)
}

// Guards against chunked bodies that exceed the limit unnoticed because they declare no length.
func TestChunkedBodyLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	r, _ := http.NewRequest("POST", f.gateway.URL+requestsPath+"/", io.LimitReader(zeros{}, 2<<20))
	r.Header.Set("Authorization", "Bearer t/k")
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	expectProblem(is, string(answer), ReasonBodyTooLarge, record.ExecutionMayHaveRun)
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

// Guards against releasing a unit while the instance may still run the work of a caller that has disconnected, against
// abandoning work whose response arrives, and against attempts that run longer than the service's timeout.
func TestCallerGoesAway(t *testing.T) {
	for want, answers := range map[string]bool{"released": true, "abandoned": false} {
		is := is.New(t)
		began, gone, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
		f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
			close(began)
			<-gone
			if answers {
				_, _ = w.Write(make([]byte, 1<<20))
				return
			}
			<-r.Context().Done()
			close(ended)
		})
		f.doc.Services[0].TimeoutSeconds = 1
		ctx, cancel := context.WithCancel(t.Context())
		r, _ := http.NewRequestWithContext(ctx, "GET", f.gateway.URL+requestsPath+"/", nil)
		r.Header.Set("Authorization", "Bearer t/k")
		go func() { <-began; cancel() }()
		_, err := http.DefaultTransport.RoundTrip(r)
		is.True(errors.Is(err, context.Canceled))
		close(gone)
		is.Equal(<-f.permitEnds, want)
		if !answers {
			<-ended
		}
	}
}

// Guards against a request that runs without its trailers, which the caller could not detect.
func TestRequestTrailersAreRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) { t.Error("the request ran") })
	r, _ := http.NewRequest("POST", f.gateway.URL+requestsPath+"/", io.MultiReader(strings.NewReader("body")))
	r.Header.Set("Authorization", "Bearer t/k")
	r.Trailer = http.Header{"Digest": {"x"}}
	response, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusBadRequest)
	expectProblem(is, string(answer), ReasonInvalidRequest, record.ExecutionNotRun)
}

// Guards against a unit that is released although the work may still run, and a unit that is kept although the work has
// not run.
func TestEndOfAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		backend http.HandlerFunc
		want    string
	}{
		"complete":  {nil, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("x")) }, "released"},
		"refused":   {errRefused, nil, "released"},
		"not sent":  {platform.ErrNoEffect, nil, "released"},
		"no answer": {platform.ErrOutcomeUnknown, nil, "abandoned"},
		"wrong request": {nil, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Request-Id", "other")
		}, "abandoned"},
		"truncated": {nil, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}, "abandoned"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, c.backend)
			for range maxAttempts {
				if c.err != nil {
					f.doErrs = append(f.doErrs, c.err)
				}
			}
			f.call(t, "GET", requestsPath+"/", "")
			is.New(t).Equal(<-f.permitEnds, c.want)
		})
	}
}

// Guards against a caller that sends its body in vain because 100 Continue was sent before the request was admitted.
func TestExpectContinueAfterAdmission(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
		is.Equal(r.Header.Get("Expect"), "")
	})
	for _, c := range []struct{ key, status string }{{"t/withdrawn", "HTTP/1.1 401"}, {"t/k", "HTTP/1.1 100"}} {
		conn, err := net.Dial("tcp", f.gateway.Listener.Addr().String())
		is.NoErr(err)
		fmt.Fprintf(conn, "POST %s/ HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n"+
			"Content-Length: 1\r\nExpect: 100-continue\r\n\r\n", requestsPath, c.key)
		line, err := bufio.NewReader(conn).ReadString('\n')
		is.NoErr(err)
		is.True(strings.HasPrefix(line, c.status))
		_, _ = conn.Write([]byte("x"))
		is.NoErr(conn.Close())
	}
}

// Guards against work that starts before its idempotency key is claimed, and against keys that stay claimed for work
// that did not run.
func TestIdempotencyKey(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, func(http.ResponseWriter, *http.Request) {})
	key := []string{HeaderIdempotencyKey, "key"}
	for _, c := range []struct {
		outcome statemachine.Outcome
		err     error
		reason  Reason
		run     record.Execution
	}{
		{statemachine.Outcome{Reason: statemachine.ReasonDuplicate}, nil, ReasonDuplicateRequest, record.ExecutionMayHaveRun},
		{
			statemachine.Outcome{Reason: statemachine.ReasonIdempotencyKeyConflict}, nil,
			ReasonIdempotencyKeyConflict, record.ExecutionNotRun,
		},
		{statemachine.Outcome{}, errNotSent, ReasonLogUnavailable, record.ExecutionNotRun},
	} {
		f.outcome, f.submitErr = c.outcome, c.err
		_, answer := f.call(t, "POST", requestsPath+"/", "", key...)
		expectProblem(is, answer, c.reason, c.run)
	}
	is.Equal(len(f.instances), 0)
	f.outcome, f.submitErr, f.ops = statemachine.Outcome{Accepted: true}, nil, nil
	f.doErrs = []error{errRefused, errRefused}
	f.call(t, "POST", requestsPath+"/", "", key...)
	f.call(t, "POST", requestsPath+"/", "", key...)
	f.closeAndSettle()
	is.Equal(f.ops[1].RequestSettle.Run, record.ExecutionNotRun)
	is.Equal(f.ops[3].RequestSettle.Run, record.ExecutionCompleted)
}

// Guards against an answer before the acceptance is durable, jobs charged to another team, and a team that can read or
// cancel the jobs of another team.
func TestJobs(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	response, _ := f.call(t, "POST", "/v1/services/s/jobs", "body", HeaderIdempotencyKey, "key")
	is.Equal(response.StatusCode, 202)
	location := response.Header.Get("Location")
	id := strings.TrimPrefix(location, "/v1/jobs/")
	is.Equal(f.ops[0].JobAccept.Team, "t")
	response, _ = f.call(t, "GET", location, "")
	is.Equal(response.StatusCode, 200)
	for _, method := range []string{"GET", "DELETE"} {
		response, _ = f.call(t, method, location, "", "Authorization", "Bearer other/o")
		is.Equal(response.StatusCode, 404)
	}
	_, answer := f.call(t, "GET", location+"/result", "")
	expectProblem(is, answer, ReasonJobNotFinished, record.ExecutionNotRun)
	f.jobs[id] = statemachine.Job{ID: id, Team: "t", State: statemachine.JobSucceeded, Status: 200, Result: []byte("ok")}
	_, answer = f.call(t, "GET", location+"/result", "")
	is.Equal(strings.TrimSpace(answer),
		`{"id":"`+id+`","state":"succeeded","status_code":200,"result_base64":"b2s=","result_bytes":2}`)
	f.outcome = statemachine.Outcome{Reason: statemachine.ReasonDuplicate, Job: id}
	response, _ = f.call(t, "POST", "/v1/services/s/jobs", "body", HeaderIdempotencyKey, "key")
	is.Equal(response.StatusCode, 200)
	is.Equal(response.Header.Get("Location"), location)
	f.submitErr = fmt.Errorf("append: %w", errNotSent)
	_, answer = f.call(t, "POST", "/v1/services/s/jobs", "")
	expectProblem(is, answer, ReasonLogUnavailable, record.ExecutionNotRun)
	f.submitErr = io.ErrUnexpectedEOF
	_, answer = f.call(t, "POST", "/v1/services/s/jobs", "")
	expectProblem(is, answer, ReasonLogUnavailable, record.ExecutionMayHaveRun)
}

// Guards against jobs without a key on queues that are not open, and against open queues that charge the wrong team or
// reveal the charged team.
func TestOpenQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, nil)
	response, answer := f.call(t, "POST", "/v1/queues/q/jobs", "", "Authorization", "", HeaderIdempotencyKey, "key")
	is.Equal(response.StatusCode, 202)
	is.True(!strings.Contains(answer, "team"))
	is.Equal(f.ops[0].JobAccept.Team, "t")
	is.Equal(f.ops[0].JobAccept.IdempotencyKey, "queue/q/key")
	response, _ = f.call(t, "POST", "/v1/queues/closed/jobs", "", "Authorization", "")
	is.Equal(response.StatusCode, 401)
	response, _ = f.call(t, "POST", "/v1/queues/closed/jobs", "", "Authorization", "Bearer other/o")
	is.Equal(response.StatusCode, 202)
	is.Equal(f.ops[1].JobAccept.Team, "other")
}
