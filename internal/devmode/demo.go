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

// The moments of the demo, as parts of its length.
const (
	withdrawAt = 0.3
	rolloutAt  = 0.6
)

// rolloutTimeout bounds the wait for a document to be in force. It is longer than the promise, so that a broken promise is
// measured and not just cut off.
const rolloutTimeout = 20 * time.Second

// newcomers is the team that the roll-out adds.
const newcomers = "newcomers"

// demo drives the load and the operator's changes and returns what callers and workers saw.
func (s *system) demo(ctx context.Context) (Report, error) {
	report := Report{StandIns: standInsNote}
	started := time.Now()
	background, stopBackground := context.WithCancel(ctx)
	defer stopBackground()
	go s.entries.run(background)

	loadCtx, stopLoad := context.WithTimeout(ctx, s.options.For)
	defer stopLoad()
	t := &tally{}
	jobs := newJobLoad(s)
	var parts sync.WaitGroup
	parts.Go(func() { s.newLoad(t).run(loadCtx) })
	if !s.options.NoJobs {
		parts.Go(func() { jobs.run(loadCtx) })
	}
	wave := newWaveRun(s)
	var waveErr error
	parts.Go(func() { waveErr = wave.run(loadCtx, started) })
	watch := newVersionWatch(s)
	if !s.options.NoWatch {
		parts.Go(func() { watch.run(loadCtx) })
	}
	if s.options.Faults {
		parts.Go(func() { report.Recoveries = s.runFaults(loadCtx) })
	}
	changesErr := s.runChanges(loadCtx, started, &report)
	parts.Wait()
	if err := errors.Join(changesErr, waveErr); err != nil {
		return report, err
	}
	jobs.awaitResults(ctx)

	report.Seconds = time.Since(started).Seconds()
	seen, err := s.observe(ctx, s.prefix)
	if err != nil {
		return report, fmt.Errorf("read what the workers saw: %w", err)
	}
	executions := func(id string) int { return seen.Executions[id] }
	t.summarize(&report, executions)
	jobs.summarize(&report, executions)
	wave.summarize(&report)
	report.Reverted = watch.reverted()
	report.OverLimit, report.LimitUsedPercentMax = s.limitUse(seen)
	report.SlotsMax, report.ConnectionsMax = seen.SlotsMax, seen.ConnectionsMax
	return report, nil
}

func (s *system) newLoad(t *tally) *load {
	l := &load{
		services: s.services, meanPerSecond: s.options.MeanPerSecond, entries: s.entries.callers,
		client: newCallerClient(), tally: t, seed: s.options.Seed,
		prefix: s.prefix, workFactor: max(s.options.WorkFactor, 1),
	}
	for _, team := range s.teams {
		l.teams = append(l.teams, loadTeam{name: team.name, key: s.keys.teams[team.name], weight: team.weight, mayUrgent: team.mayUrgent})
	}
	return l
}

// limitUse returns how many teams workers saw above their upper limit at any moment, and the highest use of a limit in percent.
func (s *system) limitUse(seen verdict) (over int, percentMax float64) {
	for _, team := range s.document.Teams {
		highest := seen.HighestRunning[team.Name]
		if highest > team.UpperLimit {
			over++
		}
		if team.UpperLimit > 0 {
			percentMax = max(percentMax, 100*float64(highest)/float64(team.UpperLimit))
		}
	}
	return over, percentMax
}

// runChanges withdraws a key and rolls a document out while the load runs.
func (s *system) runChanges(ctx context.Context, started time.Time, report *Report) error {
	if s.options.NoChanges {
		return nil
	}
	if !sleepUntil(ctx, started.Add(s.moment(withdrawAt))) {
		return nil
	}
	if err := s.withdrawKey(ctx, report); err != nil {
		return fmt.Errorf("withdraw a key: %w", err)
	}
	if !sleepUntil(ctx, started.Add(s.moment(rolloutAt))) {
		return nil
	}
	if err := s.rollOut(ctx, report); err != nil {
		return fmt.Errorf("roll a document out: %w", err)
	}
	return nil
}

func (s *system) moment(part float64) time.Duration {
	return time.Duration(float64(s.options.For) * part)
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

// withdrawKey takes the second key of the first team out of the document and measures how long any entry instance still
// answers with it.
func (s *system) withdrawKey(ctx context.Context, report *Report) error {
	team := &s.document.Teams[0]
	team.Keys = slices.DeleteFunc(slices.Clone(team.Keys), func(k config.Key) bool {
		return config.MatchesHash(s.keys.rotated, k.SHA256)
	})
	published, err := s.publish(ctx, report)
	if err != nil {
		return err
	}
	last := s.lastUse(ctx, published)
	report.KeyWithdrawalSecondsMax = max(report.KeyWithdrawalSecondsMax, last.Seconds())
	return nil
}

// lastUse sends requests with the withdrawn key until every entry instance has refused it for a while, and returns the time
// from the publication to the start of the last request that was let in.
func (s *system) lastUse(ctx context.Context, published time.Time) time.Duration {
	const quiet = 2 * time.Second
	client := newCallerClient()
	last := time.Duration(0)
	for time.Since(published) < last+quiet {
		for _, entry := range s.entries.callers() {
			sent := time.Now()
			if s.keyWorks(ctx, client, entry) {
				last = sent.Sub(published)
			}
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			break
		}
	}
	return last
}

func (s *system) keyWorks(ctx context.Context, client *http.Client, entry string) bool {
	req, err := newCall(ctx, callRequest{
		id: s.prefix + "withdrawn-key", entryURL: entry, service: s.services[0], team: s.teams[0].name, key: s.keys.rotated, workMS: 1,
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

// rollOut raises a share and adds a team, and waits until the document is in force everywhere.
func (s *system) rollOut(ctx context.Context, report *Report) error {
	s.document.Teams[4].Share++
	if slices.ContainsFunc(s.document.Teams, func(t config.Team) bool { return t.Name == newcomers }) {
		_, err := s.publish(ctx, report)
		return err
	}
	_, key, err := config.NewKey(newcomers + "-1")
	if err != nil {
		return err
	}
	s.document.Teams = append(s.document.Teams, config.Team{Name: newcomers, Share: 1, UpperLimit: 8, Keys: []config.Key{key}})
	_, err = s.publish(ctx, report)
	return err
}

// publish publishes the document and waits until it is in force at every entry instance. It returns when the accepted
// publication was answered: during an outage of the log a publication waits, and is not accepted before its end.
func (s *system) publish(ctx context.Context, report *Report) (time.Time, error) {
	text, err := render(s.document)
	if err != nil {
		return time.Time{}, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rolloutTimeout)
	defer cancel()
	version, sent, err := s.publishRetry(ctx, text)
	accepted := time.Now()
	if err != nil {
		return time.Time{}, err
	}
	if err := s.operator.awaitVersion(ctx, s.entries.operators, version); err != nil {
		return accepted, err
	}
	report.ConfigSecondsMax = max(report.ConfigSecondsMax, time.Since(accepted).Seconds())
	report.PublishSecondsMax = max(report.PublishSecondsMax, accepted.Sub(sent).Seconds())
	return accepted, nil
}

// publishRetry publishes against the newest version until an entry instance accepts it: during an outage of the log the
// operator tries again.
//
// The time is when the accepted publication was sent.
func (s *system) publishRetry(ctx context.Context, text []byte) (uint64, time.Time, error) {
	for {
		sent := time.Now()
		entry := s.entries.operators()[0]
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

// versionWatch looks at the version in force of every entry instance and counts steps back.
type versionWatch struct {
	system *system

	mu    sync.Mutex
	last  map[string]uint64
	steps int
}

func newVersionWatch(s *system) *versionWatch {
	return &versionWatch{system: s, last: map[string]uint64{}}
}

func (w *versionWatch) run(ctx context.Context) {
	for sleepUntil(ctx, time.Now().Add(5*pollInterval)) {
		for _, entry := range w.system.entries.operators() {
			seen, err := w.system.operator.status(ctx, entry)
			// A process that has just started knows no document before it has read the log. It takes no work without a session,
			// and its session shows that it has read the log up to that point.
			if err != nil || !seen.SessionValid {
				continue
			}
			w.observe(entry, seen.ConfigVersion)
		}
	}
}

func (w *versionWatch) observe(entry string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version < w.last[entry] {
		w.steps++
	}
	w.last[entry] = version
}

func (w *versionWatch) reverted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.steps
}
