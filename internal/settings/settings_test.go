package settings_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/settings"
)

const valid = `name: entry-1
region: north
availability_zone: north-a
listen: {callers: "127.0.0.1:0", peers: "127.0.0.1:0", operators: "127.0.0.1:0"}
platform: {log_url: "http://127.0.0.1:9000/", list_url: "https://[::1]"}
`

// Guards against a rule that is not enforced, and against a problem that is reported at the wrong position or path.
func TestProblems(t *testing.T) {
	hash := strings.Repeat("A", 64)
	cases := []struct{ replace, with, want string }{
		{"region: north\n", "regoin: north\n", "1:1 region is required|2:1 regoin unknown field"},
		{"entry-1", "Entry_1", "1:7 name must be 1 to 63"},
		{`"127.0.0.1:0", operators`, `"localhost:80", operators`, "4:41 listen.peers must be IP:port"},
		{`"127.0.0.1:0", operators`, `"127.0.0.1", operators`, "4:41 listen.peers must be IP:port"},
		{
			`"127.0.0.1:0", operators`, `80, operators`,
			"4:41 listen.peers expected text, found a whole number; put it in quotes",
		},
		{
			`{callers: "127.0.0.1:0", peers: "127.0.0.1:0"`, `{callers: "127.0.0.1:5", peers: "127.0.0.1:5"`,
			"4:41 listen.peers is the address of listen.callers already",
		},
		{`callers: "127.0.0.1:0", `, "", "1:1 advertise.callers is required because listen.callers is 0.0.0.0"},
		{
			"region", `advertise: {peers: "[::]:1"}` + "\nregion",
			"2:20 advertise.peers must be an address that others can connect to, not ::",
		},
		{"http://127.0.0.1:9000/", "http://log:9000", "5:21 platform.log_url the host of the URL must be an IP address"},
		{"http://127.0.0.1:9000/", "127.0.0.1:9000", "5:21 platform.log_url must be an http or https URL"},
		{"http://127.0.0.1:9000/", "http://127.0.0.1:70000", "5:21 platform.log_url the port"},
		{"http://127.0.0.1:9000/", "http://a:b@127.0.0.1", "5:21 platform.log_url the URL must have no user"},
		{
			"region", "tls: {peers: {certificate: a, key: ''}, callers: {}}\nregion",
			"2:14 tls.peers.ca is required|" +
				"2:36 tls.peers.key must name a file|" +
				"2:50 tls.callers.certificate is required|" +
				"2:50 tls.callers.key is required",
		},
		{
			"region", "bootstrap_operator: {name: b, sha256: " + hash + "}\nregion",
			"2:39 bootstrap_operator.sha256 must be 64",
		},
		{"region", "log_level: loud\nregion", "2:12 log_level must be debug, info, warn, error"},
		{
			"region", "timeouts: {list_poll_milliseconds: 0, shutdown_seconds: x}\nregion",
			"2:36 timeouts.list_poll_milliseconds must be from 100 to 1000|" +
				"2:57 timeouts.shutdown_seconds expected a whole number",
		},
	}
	for _, c := range cases {
		t.Run(c.with, func(t *testing.T) {
			is := is.New(t)
			s, problems := settings.Parse([]byte(strings.Replace(valid, c.replace, c.with, 1)))
			is.True(s == nil) // no settings with problems
			want := strings.Split(c.want, "|")
			is.Equal(len(problems), len(want)) // one problem for each fault
			for i, p := range problems {
				if got := fmt.Sprintf("%d:%d %s %s", p.Line, p.Column, p.Path, p.Message); !strings.HasPrefix(got, want[i]) {
					t.Errorf("problem %d is %q, not %q", i, got, want[i])
				}
			}
		})
	}
}

// Guards against valid settings that are rejected and against values that are not copied from the text to the struct.
func TestLoad(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../../examples/entry-1.yaml")
	is.NoErr(err)
	is.Equal(s.Advertise.Callers.String(), "10.20.0.11:8080")
	is.Equal(s.Advertise.Peers, s.Listen.Peers) // not advertised separately
	is.True(s.TLS.Callers.CA == "" && s.TLS.Peers.CA != "" && s.BootstrapOperator != nil)

	s, problems := settings.Parse([]byte(valid))
	is.Equal(problems, nil)
	is.Equal(s.Timeouts, settings.Defaults().Timeouts)
	is.Equal(s.Timeouts.ListPollInterval(), time.Second)
	is.Equal(s.Platform, settings.Platform{LogURL: "http://127.0.0.1:9000", ListURL: "https://[::1]"})
	is.True(s.TLS.Callers == nil && s.TLS.Peers == nil && s.BootstrapOperator == nil)

	path := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(path, []byte("name: X\n"), 0o600))
	_, err = settings.Load(path)
	is.True(err != nil)
	for _, want := range []string{path + ":1:7: name: ", "platform: is required", "region: is required"} {
		is.True(strings.Contains(err.Error(), want)) // every problem, with file and position
	}
}

// Guards against panics, against settings that are returned together with problems, and against accepted settings
// without an address.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("listen: {peers: \"[fe80::1%a]:1\"}\ntls: {peers: }\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, problems := settings.Parse(text)
		if (s == nil) != (len(problems) > 0) {
			t.Fatal("settings and problems don't agree")
		}
		if s != nil && (!s.Advertise.Peers.IsValid() || !s.Listen.Callers.IsValid()) {
			t.Fatal("accepted settings lack an address")
		}
	})
}
