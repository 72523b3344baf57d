package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pollenlead/internal/replica"
)

// closeTimeout bounds the append of the record that closes the session at the end of a graceful shutdown. If the log is
// unavailable for longer, peers revoke the session.
const closeTimeout = 5 * time.Second

// Run serves until ctx is done, and then shuts down gracefully: it reports unready, waits for the requests in flight,
// hands its jobs over to other entry instances and closes its session.
func (i *Instance) Run(ctx context.Context) error {
	// The components run under a context of their own, because they must work until the last request has ended.
	componentsCtx, stopComponents := context.WithCancel(context.Background())
	defer stopComponents()
	var components sync.WaitGroup
	failed := make(chan error, 16)
	i.startComponents(componentsCtx, &components, failed)

	var err error
	select {
	case <-ctx.Done():
		i.logger.Info().Msg("shutting down")
		err = i.shutdown()
	case <-i.killed:
	case err = <-failed:
		i.logger.Error().Err(err).Msg("component failed; entry instance stops")
	}
	stopComponents()
	err = errors.Join(err, i.callers.server.Close(), i.operators.server.Close())
	components.Wait()
	return err
}

// Kill stops the instance at once without a graceful shutdown, as a crash does. Tests and the demo use it.
func (i *Instance) Kill() {
	i.killOnce.Do(func() { close(i.killed) })
}

func (i *Instance) startComponents(ctx context.Context, components *sync.WaitGroup, failed chan<- error) {
	start := func(name string, run func(context.Context) error) {
		components.Go(func() {
			err := run(ctx)
			if err != nil && ctx.Err() == nil {
				failed <- fmt.Errorf("%s: %w", name, err)
			}
		})
	}
	start("follower", i.follower.Run)
	start("committer", i.committer.Run)
	start("membership", i.member.Run)
	start("ledger", i.ledger.Run)
	start("admission", func(ctx context.Context) error { i.queue.Run(ctx); return nil })
	jobsCtx, stopJobs := context.WithCancel(ctx)
	i.stopJobs = stopJobs
	start("jobs", func(context.Context) error { i.jobs.Run(jobsCtx); return nil })
	start("snapshots", func(ctx context.Context) error {
		return i.snapshots.Run(ctx, func(err error) {
			if !errors.Is(err, replica.ErrStaleTerm) {
				i.logger.Warn().Err(err).Msg("snapshot not written")
			}
		})
	})
	start("callers' listener", func(context.Context) error { return i.callers.serve() })
	start("operators' listener", func(context.Context) error { return i.operators.serve() })
	start("maintenance", i.waves.Run)
	start("state changes", i.logChanges)
}

func (l listener) serve() error {
	var err error
	if l.server.TLSConfig != nil {
		err = l.server.ServeTLS(l.socket, "", "")
	} else {
		err = l.server.Serve(l.socket)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (i *Instance) shutdown() error {
	i.draining.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), i.settings.Timeouts.Shutdown())
	defer cancel()
	select {
	case <-time.After(drainDelay):
	case <-i.killed:
		return nil
	}
	if err := i.callers.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("wait for requests in flight: %w", err)
	}
	i.stopJobs()
	if remaining := i.jobs.Shutdown(ctx); remaining > 0 {
		i.logger.Info().Int("jobs", remaining).Msg("running jobs are handed over to other entry instances")
	}
	i.gateway.WaitSettled()
	// Closing the session frees its units for other holders. A session that is not closed is revoked after its lease, and
	// with it the worker leases, has expired.
	if err := i.ledger.WaitAbandoned(ctx); err != nil {
		return fmt.Errorf("wait for abandoned requests; peers will revoke the session: %w", err)
	}
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	if err := i.member.Close(closeCtx); err != nil {
		return fmt.Errorf("close session: %w", err)
	}
	return nil
}

// logChanges logs every change of readiness and every new version of the document in force.
func (i *Instance) logChanges(ctx context.Context) error {
	wasReady, version := false, uint64(0)
	for {
		ready, reason := i.ready()
		if ready != wasReady {
			i.logger.Info().Bool("ready", ready).Str("reason", reason).Msg("readiness changed")
			wasReady = ready
		}
		if v := i.configVersion(); v != version {
			i.logger.Info().Uint64("document_version", v).Msg("document in force")
			version = v
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Second):
		}
	}
}
