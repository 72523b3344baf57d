package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/config"
	"pollenlead/internal/entry"
	"pollenlead/internal/operator"
	"pollenlead/internal/settings"
	"pollenlead/standin"
)

const bootstrapToken = "bootstrap-token-of-the-test"

// system is one entry instance on stand-ins of the platform, with a document and its keys.
type system struct {
	t         *testing.T
	dir       string
	callers   string
	operators string
	document  string
	teamKey   string
	admin     string
	viewer    string
}

func startSystem(t *testing.T) *system {
	is := is.New(t)
	log, list := standin.NewLog(), standin.NewList()
	worker := standin.NewWorker(standin.WorkerConfig{ID: "w-a-1", Slots: 8, Connections: 64})
	logServer, err := standin.Start(log)
	is.NoErr(err)
	listServer, err := standin.Start(list)
	is.NoErr(err)
	workerServer, err := worker.Start()
	is.NoErr(err)
	list.Set(standin.Instance{
		ID: "w-a-1", Kind: "worker", Address: workerServer.Address, AvailabilityZone: "zone-a", Phase: "live",
		Slots: 8, Connections: 64,
	})

	s := settings.Defaults()
	s.Name, s.Region, s.AvailabilityZone = "entry-1", "region-1", "zone-a"
	loopback := settings.Address{AddrPort: netip.MustParseAddrPort("127.0.0.1:0")}
	s.Listen = settings.Listen{Callers: loopback, Peers: loopback, Operators: loopback}
	s.Platform = settings.Platform{LogURL: settings.URL(logServer.URL), ListURL: settings.URL(listServer.URL)}
	s.BootstrapOperator = &settings.BootstrapOperator{Name: "first", SHA256: config.HashKey(bootstrapToken)}
	instance, err := entry.New(s, zerolog.Nop())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
		for _, server := range []*standin.Server{logServer, listServer, workerServer} {
			_ = server.Close()
		}
	})
	sys := &system{t: t, dir: t.TempDir(), callers: instance.CallersURL(), operators: instance.OperatorsURL()}
	sys.writeDocument(is)
	return sys
}

func (s *system) writeDocument(is *is.I) {
	var teamKey, admin, viewer config.Key
	var err error
	s.teamKey, teamKey, err = config.NewKey("k1")
	is.NoErr(err)
	s.admin, admin, err = config.NewKey("o1")
	is.NoErr(err)
	s.viewer, viewer, err = config.NewKey("o2")
	is.NoErr(err)
	s.document = s.file(is, "document.yaml", `schema: 1
pools:
  - {name: a, members: ["w-a-"], availability_budget: {min_available_percent: 50}}
  - {name: spare, spare: true}
services: [{name: work, pool: a, timeout_seconds: 5}]
teams: [{name: t, share: 1, upper_limit: 4, keys: [{id: k1, sha256: "`+teamKey.SHA256+`"}]}]
operators:
  - {name: alice, role: publish, key: {id: o1, sha256: "`+admin.SHA256+`"}}
  - {name: bob, role: view, key: {id: o2, sha256: "`+viewer.SHA256+`"}}
`)
}

func (s *system) file(is *is.I, name, text string) string {
	path := filepath.Join(s.dir, name)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// run runs pollenctl with a key and decodes its JSON output into answer, unless answer is nil.
func (s *system) run(key string, answer any, args ...string) (code int, stderr string) {
	is := is.New(s.t)
	s.t.Setenv("POLLENCTL_KEY", key)
	var out, errOut bytes.Buffer
	args = append([]string{
		"--operators", s.operators, "--callers", s.callers, "--output", "json", "--timeout", "60s",
	}, args...)
	code = Run(context.Background(), args, strings.NewReader("{}"), &out, &errOut)
	if answer != nil {
		is.NoErr(json.Unmarshal(out.Bytes(), answer))
	}
	return code, errOut.String()
}

// Guards against operator commands that fail on a running system, that overwrite the document of another operator, or
// that print a key.
func TestOperatorsFlow(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.publishFirst(is)

	var applied ApplyResult
	code, _ := s.run(s.admin, &applied, "apply", s.document, "--expect", "1")
	is.Equal(code, ExitOK)
	is.Equal(applied.Version, uint64(2))
	is.Equal(len(applied.NotInForce), 0)

	code, stderr := s.run(s.admin, nil, "apply", s.document, "--expect", "1")
	is.Equal(code, ExitConflict) // version 1 is no longer in force
	is.True(strings.Contains(stderr, "version 2"))

	code, stderr = s.run(s.viewer, nil, "apply", s.document, "--expect", "2")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(stderr, "needs publish"))

	code, stderr = s.run("wrong-secret", nil, "status")
	is.Equal(code, ExitFailed)
	is.True(!strings.Contains(stderr, "wrong-secret"))

	code, _ = s.run(bootstrapToken, nil, "status")
	is.Equal(code, ExitFailed) // the bootstrap operator is valid only before the first document

	var status operator.StatusResponse
	deadline := time.Now().Add(time.Minute)
	for ; len(status.Instances) == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		code, _ = s.run(s.viewer, &status, "status", "--instances")
		is.Equal(code, ExitOK)
	}
	is.Equal(status.ConfigVersion, uint64(2))
	is.Equal(len(status.Members), 1)

	code, _ = s.run(s.admin, nil, "move", "w-a-1", "--from", "a", "--to", "spare")
	is.Equal(code, ExitOK)
	code, stderr = s.run(s.admin, nil, "move", "w-a-1", "--from", "a", "--to", "spare")
	is.Equal(code, ExitFailed) // it is moving or has moved
	is.True(strings.Contains(stderr, "409"))

	var trail operator.AuditResponse
	code, _ = s.run(s.viewer, &trail, "audit", "--actor", "alice", "--kind", "config_publish")
	is.Equal(code, ExitOK)
	is.Equal(len(trail.Entries), 2) // the accepted one and the rejected one
	is.True(trail.Entries[0].Accepted && !trail.Entries[1].Accepted)
}

// publishFirst publishes as the bootstrap operator. It retries for one minute, because publishing fails until the
// instance has a session.
func (s *system) publishFirst(is *is.I) {
	deadline := time.Now().Add(time.Minute)
	for {
		code, stderr := s.run(bootstrapToken, nil, "apply", s.document, "--expect", "0")
		if code == ExitOK {
			return
		}
		if time.Now().After(deadline) {
			is.Equal(stderr, "")
			is.Fail()
		}
	}
}

// Guards against jobs whose outcome does not reach their caller, against a second job for a repeated submission, and
// against access to a job without a key of its team.
func TestJobsFlow(t *testing.T) {
	is := is.New(t)
	s := startSystem(t)
	s.publishFirst(is)
	body := s.file(is, "job.json", `{"work_ms":1}`)
	var submitted struct {
		Job struct {
			ID string `json:"id"`
		} `json:"job"`
	}
	code, stderr := s.run(s.teamKey, &submitted, "submit", "--service", "work", "--idempotency-key", "once", body)
	is.Equal(stderr, "")
	is.Equal(code, ExitOK)
	first := submitted.Job.ID
	code, _ = s.run(s.teamKey, &submitted, "submit", "--service", "work", "--idempotency-key", "once", body)
	is.Equal(code, ExitOK)
	is.Equal(submitted.Job.ID, first) // a repeated submission returns the same job

	var shown struct {
		Job struct {
			State string `json:"state"`
		} `json:"job"`
	}
	deadline := time.Now().Add(time.Minute)
	for ; shown.Job.State != "succeeded" && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		code, _ = s.run(s.teamKey, &shown, "job", first)
		is.Equal(code, ExitOK)
	}
	is.Equal(shown.Job.State, "succeeded")
	code, stderr = s.run(s.teamKey, nil, "cancel", first)
	is.Equal(code, ExitFailed) // it has ended
	is.True(strings.Contains(stderr, "409"))
	code, stderr = s.run("plk_none_none", nil, "job", first)
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(stderr, "401"))
}

// Guards against invalid input that is accepted, or rejected with the wrong exit code or without a message that locates
// the problem.
func TestBadInput(t *testing.T) {
	s := &system{t: t, dir: t.TempDir(), callers: "http://127.0.0.1:1", operators: "http://127.0.0.1:1"}
	is := is.New(t)
	invalid := s.file(is, "invalid.yaml", "schema: 1\npools: [{name: UPPER}]\nextra: 1\n")
	trace := s.file(is, "trace.jsonl", "{}\n")
	for _, c := range []struct {
		args       []string
		code       int
		wantStderr string
	}{
		{[]string{"check", invalid}, ExitInvalid, "problems"},
		{[]string{"check", filepath.Join(s.dir, "absent")}, ExitFailed, "no such file"},
		{[]string{"diff", invalid, "--against", invalid}, ExitInvalid, "problems"},
		{[]string{"apply"}, ExitUsage, "document"},
		{[]string{"submit", "--service", "a", "--queue", "b"}, ExitUsage, "can't be used together"},
		{[]string{"status"}, ExitFailed, "connection refused"},
		{[]string{"key", "new", "Not A Name"}, ExitFailed, "key"},
		{[]string{"replay", trace}, ExitFailed, "trace"},
		{[]string{"launch"}, ExitUsage, "unexpected argument"},
	} {
		t.Run(strings.Join(c.args[:1], " "), func(t *testing.T) {
			is := is.New(t)
			sys := *s
			sys.t = t
			code, stderr := sys.run("", nil, c.args...)
			is.Equal(code, c.code)
			if !strings.Contains(stderr, c.wantStderr) {
				t.Errorf("stderr %q does not contain %q", stderr, c.wantStderr)
			}
		})
	}
}
