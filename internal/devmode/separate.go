package devmode

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"pollenlead/internal/config"
	"pollenlead/standin"
)

// separateNote replaces standInsNote in the reports of RunLoad.
const separateNote = "the log, the instance list and the workers are stand-ins in one process of their own"

// standInTimeout is the timeout of a call to a stand-in.
const standInTimeout = 10 * time.Second

// StandInsOptions are the options of RunStandIns.
type StandInsOptions struct {
	Directory                      string
	Workers, Pools, Teams, Entries int
	Stdout                         io.Writer
}

// RunStandIns runs the stand-ins until ctx ends. It writes the files that entry instances and callers need into the
// directory.
func RunStandIns(ctx context.Context, o StandInsOptions) error {
	if o.Pools < 1 || o.Teams < len(demoTeams) || o.Entries < 1 || o.Workers < o.Pools+spareInstances {
		return fmt.Errorf(
			"got %d pools, %d teams, %d entry instances and %d workers; "+
				"need at least 1 pool, %d teams, 1 entry instance, and %d workers more than pools",
			o.Pools, o.Teams, o.Entries, o.Workers, len(demoTeams), spareInstances,
		)
	}
	services, teams := generateServices(o.Pools), generateTeams(o.Teams)
	document, keys, err := buildDocument(services, teams)
	if err != nil {
		return err
	}
	fakes, err := startStandIns(services, o.Workers)
	if err != nil {
		return err
	}
	entries, err := chooseEntries(o.Entries)
	if err != nil {
		return errors.Join(err, fakes.close())
	}
	control, err := standin.Start(fakes.controlHandler(entries))
	if err != nil {
		return errors.Join(err, fakes.close())
	}
	fakes.servers = append(fakes.servers, control)
	for _, e := range entries {
		fakes.listEntry(e)
	}
	a := addresses{
		LogURL: fakes.logURL, ListURL: fakes.listURL, ObservationsURL: control.URL,
		Entries: entries, Workers: fakes.workerURLs, Services: services,
	}
	for _, t := range teams {
		a.Teams = append(a.Teams, directoryTeam{Name: t.name, Weight: t.weight, MayUrgent: t.mayUrgent})
	}
	if err := writeDirectory(o.Directory, a, document, keys); err != nil {
		return errors.Join(err, fakes.close())
	}
	fmt.Fprintf(o.Stdout, "stand-ins: %d workers, %d pools, %d teams\n", o.Workers, o.Pools, o.Teams)
	<-ctx.Done()
	return fakes.close()
}

// controlHandler serves the observations of the workers, and endpoints that add an entry instance to the instance list
// or remove it, as a platform does after a start or a crash of an instance.
func (s *standIns) controlHandler(entries []target) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.observations(r.URL.Query().Get("prefix")))
	})
	mux.HandleFunc("PUT /entries/{name}", func(w http.ResponseWriter, r *http.Request) {
		n := slices.IndexFunc(entries, func(e target) bool { return e.Name == r.PathValue("name") })
		if n < 0 {
			http.NotFound(w, r)
			return
		}
		s.listEntry(entries[n])
	})
	mux.HandleFunc("DELETE /entries/{name}", func(_ http.ResponseWriter, r *http.Request) {
		s.list.Remove(r.PathValue("name"))
	})
	return mux
}

func (s *standIns) listEntry(e target) {
	s.list.Set(standin.Instance{
		ID: e.Name, Kind: standin.KindEntry, Address: hostOf(e.CallersURL),
		Region: region, AvailabilityZone: e.AvailabilityZone, Phase: standin.PhaseLive,
	})
}

// RunLoad runs the demo's load against the entry instances of a directory, which run in separate processes.
func RunLoad(ctx context.Context, directory string, o Options) error {
	s, err := connect(directory, o)
	if err != nil {
		return err
	}
	if err := s.prepare(ctx); err != nil {
		return err
	}
	report, err := s.demo(ctx)
	if err != nil {
		return err
	}
	report.StandIns = separateNote
	return finish(o, report)
}

func connect(directory string, o Options) (*system, error) {
	a, err := readAddresses(directory)
	if err != nil {
		return nil, err
	}
	keys, err := readKeys(directory, a.Teams)
	if err != nil {
		return nil, err
	}
	s := &system{
		options: o, keys: keys, services: a.Services, prefix: strings.ToLower(ulid.Make().String()) + "-",
		operator: operatorClient{client: newCallerClient(), key: keys.operator},
		balancer: newBalancer(func() []target { return a.Entries }),
		observe: func(ctx context.Context, prefix string) (observations, error) {
			var v observations
			err := callStandIn(ctx, http.MethodGet, a.ObservationsURL+"/verdict?prefix="+url.QueryEscape(prefix), nil, &v)
			return v, err
		},
	}
	for _, t := range a.Teams {
		s.teams = append(s.teams, demoTeam{name: t.Name, weight: t.Weight, mayUrgent: t.MayUrgent})
	}
	return s, nil
}

// prepare reads the document in force. Unless Options.NoChanges is set, it also publishes the key that the demo
// withdraws.
func (s *system) prepare(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	s.balancer.probeAll(ctx)
	current, err := s.operator.config(ctx, s.balancer.operatorsURLs()[0])
	if err != nil {
		return fmt.Errorf("read the document in force: %w", err)
	}
	document, problems := config.Parse([]byte(current.Document))
	if len(problems) > 0 {
		return fmt.Errorf("parse the document in force: %s", problems[0])
	}
	s.document = document
	if s.options.NoChanges {
		return nil
	}
	token, key, err := config.NewKey("rotated-" + strings.TrimSuffix(s.prefix, "-"))
	if err != nil {
		return fmt.Errorf("generate the key to withdraw: %w", err)
	}
	s.keys.secondary = token
	team := &s.document.Teams[0]
	team.Keys = append(team.Keys, key)
	if _, err := s.publish(ctx, &Report{}); err != nil {
		return fmt.Errorf("publish the key to withdraw: %w", err)
	}
	return nil
}

// AwaitReady waits until the named entry instances of a directory are ready, or all instances if names is empty.
func AwaitReady(ctx context.Context, directory string, names []string) error {
	a, err := readAddresses(directory)
	if err != nil {
		return err
	}
	if len(names) > 0 {
		a.Entries = slices.DeleteFunc(a.Entries, func(e target) bool { return !slices.Contains(names, e.Name) })
	}
	return newBalancer(func() []target { return a.Entries }).awaitReady(ctx)
}

// SetFaults replaces the faults of a stand-in of a directory. standIn is "log", "list", "workers" for all workers, or
// the ID of one worker.
func SetFaults(ctx context.Context, directory, standIn, faults string) error {
	a, err := readAddresses(directory)
	if err != nil {
		return err
	}
	urls := []string{a.Workers[standIn]}
	switch standIn {
	case "log":
		urls = []string{a.LogURL}
	case "list":
		urls = []string{a.ListURL}
	case "workers":
		urls = slices.Collect(maps.Values(a.Workers))
	}
	for _, base := range urls {
		if base == "" {
			return fmt.Errorf("unknown stand-in %q", standIn)
		}
		if err := callStandIn(ctx, http.MethodPut, base+"/faults", []byte(faults), nil); err != nil {
			return err
		}
	}
	return nil
}

// SetListed adds an entry instance of a directory to the platform's instance list or removes it.
func SetListed(ctx context.Context, directory, name string, listed bool) error {
	a, err := readAddresses(directory)
	if err != nil {
		return err
	}
	method := http.MethodDelete
	if listed {
		method = http.MethodPut
	}
	return callStandIn(ctx, method, a.ObservationsURL+"/entries/"+url.PathEscape(name), nil, nil)
}

// callStandIn calls a stand-in and decodes its response into answer, unless answer is nil.
func callStandIn(ctx context.Context, method, url string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, standInTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, url, err)
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("%s %s: %s: %s", method, url, resp.Status, bytes.TrimSpace(data))
	}
	if answer == nil {
		return nil
	}
	return json.Unmarshal(data, answer)
}
