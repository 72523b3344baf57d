package devmode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"pollenlead/internal/config"
)

// The times of the configuration changes, as fractions of the demo's duration.
const (
	withdrawKeyAt = 0.3
	rolloutAt     = 0.6
)

// rolloutTimeout is the timeout of the wait until a document is in force. It is longer than maxConfigDelay, so that a
// delay above that limit is measured instead of ending the demo with an error.
const rolloutTimeout = 20 * time.Second

// addedTeam is the name of the team that the rollout adds.
const addedTeam = "newcomers"

// demo runs the load and the operator's changes and returns a report of what callers and workers observed.
func (s *system) demo(ctx context.Context) (Report, error) {
	report := Report{StandIns: standInsNote}
	started := time.Now()
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	go s.balancer.run(background)

	loadCtx, stopLoad := context.WithTimeout(ctx, s.options.For)
	defer stopLoad()
	t := &tally{}
	jobs := newJobLoad(s)
	var tasks sync.WaitGroup
	tasks.Go(func() { s.newLoad(t).run(loadCtx) })
	if !s.options.NoJobs {
		tasks.Go(func() { jobs.run(loadCtx) })
	}
	wave := newWaveRun(s)
	var waveErr error
	tasks.Go(func() { waveErr = wave.run(loadCtx, started) })
	monitor := newVersionMonitor(s)
	if !s.options.NoWatch {
		tasks.Go(func() { monitor.run(loadCtx) })
	}
	if s.options.Faults {
		tasks.Go(func() { report.Recoveries = s.runFaults(loadCtx) })
	}
	changesErr := s.runConfigChanges(loadCtx, started, &report)
	tasks.Wait()
	if err := errors.Join(changesErr, waveErr); err != nil {
		return report, err
	}
	jobs.awaitResults(ctx)

	report.Seconds = time.Since(started).Seconds()
	observed, err := s.observe(ctx, s.prefix)
	if err != nil {
		return report, fmt.Errorf("read the observations of the workers: %w", err)
	}
	executions := func(id string) int { return observed.Executions[id] }
	t.summarize(&report, executions)
	jobs.summarize(&report, executions)
	wave.summarize(&report)
	report.VersionRegressions = monitor.regressionCount()
	report.OverLimit, report.LimitUsedPercentMax = s.limitUsage(observed)
	report.SlotsMax, report.ConnectionsMax = observed.SlotsMax, observed.ConnectionsMax
	return report, nil
}

func (s *system) newLoad(t *tally) *load {
	l := &load{
		services: s.services, meanPerSecond: s.options.MeanPerSecond, entries: s.balancer.callersURLs,
		client: newCallerClient(), tally: t, seed: s.options.Seed,
		prefix: s.prefix, workFactor: max(s.options.WorkFactor, 1),
	}
	for _, team := range s.teams {
		l.teams = append(l.teams, loadTeam{
			name: team.name, key: s.keys.teams[team.name], weight: team.weight, mayUrgent: team.mayUrgent,
		})
	}
	return l
}

// limitUsage returns the number of teams that exceeded their upper limit at any time according to the workers, and the
// highest usage of a limit in percent.
func (s *system) limitUsage(observed observations) (over int, percentMax float64) {
	for _, team := range s.document.Teams {
		highest := observed.HighestRunning[team.Name]
		if highest > team.UpperLimit {
			over++
		}
		if team.UpperLimit > 0 {
			percentMax = max(percentMax, 100*float64(highest)/float64(team.UpperLimit))
		}
	}
	return over, percentMax
}

// runConfigChanges withdraws a key and rolls out a document while the load runs.
func (s *system) runConfigChanges(ctx context.Context, started time.Time, report *Report) error {
	if s.options.NoChanges {
		return nil
	}
	if !sleepUntil(ctx, started.Add(s.fractionOfRun(withdrawKeyAt))) {
		return nil
	}
	if err := s.withdrawKey(ctx, report); err != nil {
		return fmt.Errorf("withdraw a key: %w", err)
	}
	if !sleepUntil(ctx, started.Add(s.fractionOfRun(rolloutAt))) {
		return nil
	}
	if err := s.rollOut(ctx, report); err != nil {
		return fmt.Errorf("roll out a document: %w", err)
	}
	return nil
}

// fractionOfRun returns the given fraction of the demo's duration.
func (s *system) fractionOfRun(fraction float64) time.Duration {
	return time.Duration(float64(s.options.For) * fraction)
}

// sleepUntil waits until the given time and returns true, or returns false as soon as ctx ends.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// withdrawKey removes the second key of the first team from the document and measures how long any entry instance still
// accepts it.
func (s *system) withdrawKey(ctx context.Context, report *Report) error {
	team := &s.document.Teams[0]
	team.Keys = slices.DeleteFunc(slices.Clone(team.Keys), func(k config.Key) bool {
		return config.MatchesHash(s.keys.secondary, k.SHA256)
	})
	published, err := s.publish(ctx, report)
	if err != nil {
		return err
	}
	last := s.lastAcceptedUse(ctx, published)
	report.KeyWithdrawalSecondsMax = max(report.KeyWithdrawalSecondsMax, last.Seconds())
	return nil
}

// lastAcceptedUse sends requests with the withdrawn key until all entry instances have rejected it for quietWindow. It
// returns the time from the publication to the start of the last accepted request.
func (s *system) lastAcceptedUse(ctx context.Context, published time.Time) time.Duration {
	const quietWindow = 2 * time.Second
	client := newCallerClient()
	last := time.Duration(0)
	for time.Since(published) < last+quietWindow {
		for _, entry := range s.balancer.callersURLs() {
			sent := time.Now()
			if s.keyAccepted(ctx, client, entry) {
				last = sent.Sub(published)
			}
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			break
		}
	}
	return last
}

func (s *system) keyAccepted(ctx context.Context, client *http.Client, entry string) bool {
	req, err := newHTTPRequest(ctx, callRequest{
		id: s.prefix + "withdrawn-key", entryURL: entry, service: s.services[0],
		team: s.teams[0].name, key: s.keys.secondary, workMS: 1,
	}, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode != http.StatusUnauthorized
}

// rollOut publishes a document with a higher share and an additional team, and waits until it is in force at every
// entry instance.
func (s *system) rollOut(ctx context.Context, report *Report) error {
	s.document.Teams[4].Share++
	if slices.ContainsFunc(s.document.Teams, func(t config.Team) bool { return t.Name == addedTeam }) {
		_, err := s.publish(ctx, report)
		return err
	}
	_, key, err := config.NewKey(addedTeam + "-1")
	if err != nil {
		return err
	}
	s.document.Teams = append(s.document.Teams, config.Team{
		Name: addedTeam, Share: 1, UpperLimit: 8, Keys: []config.Key{key},
	})
	_, err = s.publish(ctx, report)
	return err
}

// publish publishes the document and waits until it is in force at every entry instance. It returns the time of the
// response to the accepted publication. During an outage of the log a publication is not accepted before the outage
// ends.
func (s *system) publish(ctx context.Context, report *Report) (time.Time, error) {
	text, err := render(s.document)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rolloutTimeout)
	defer cancel()
	version, sent, err := s.publishWithRetry(ctx, text)
	accepted := time.Now()
	if err != nil {
		return time.Time{}, err
	}
	if err := s.operator.awaitVersion(ctx, s.balancer.operatorsURLs, version); err != nil {
		return accepted, err
	}
	report.ConfigSecondsMax = max(report.ConfigSecondsMax, time.Since(accepted).Seconds())
	report.PublishSecondsMax = max(report.PublishSecondsMax, accepted.Sub(sent).Seconds())
	return accepted, nil
}

// publishWithRetry publishes against the newest version until an entry instance accepts the document, because a
// publication fails during an outage of the log. It returns the new version and the time at which the accepted
// publication was sent.
func (s *system) publishWithRetry(ctx context.Context, text []byte) (uint64, time.Time, error) {
	for {
		sent := time.Now()
		entry := s.balancer.operatorsURLs()[0]
		current, err := s.operator.config(ctx, entry)
		if err == nil {
			var version uint64
			if version, err = s.operator.publish(ctx, entry, current.Version, text); err == nil {
				return version, sent, nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, sent, err
		case <-time.After(pollInterval):
		}
	}
}

// versionMonitor polls the document version in force at every entry instance and counts regressions.
type versionMonitor struct {
	system *system

	mu          sync.Mutex
	last        map[string]uint64
	regressions int
}

func newVersionMonitor(s *system) *versionMonitor {
	return &versionMonitor{system: s, last: map[string]uint64{}}
}

func (w *versionMonitor) run(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(5*pollInterval)) {
		for _, entry := range w.system.balancer.operatorsURLs() {
			seen, err := w.system.operator.status(ctx, entry)
			// An entry instance that has just started has no document until it has read the log. It accepts no work without
			// a session, and a valid session proves that it has read the log up to the session's record.
			if err != nil || !seen.SessionValid {
				continue
			}
			w.observe(entry, seen.ConfigVersion)
		}
	}
}

func (w *versionMonitor) observe(entry string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.last[entry] {
		w.regressions++
	}
	w.last[entry] = version
}

func (w *versionMonitor) regressionCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.regressions
}
