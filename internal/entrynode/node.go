// Package entrynode assembles an entry instance on the platform: the HTTP API for callers, the follower of the
// configuration, the leader election, and the dispatcher while this entry instance leads.
package entrynode

import (
	"context"
	"crypto/rand"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/bulkcancel"
	"pollenlead/internal/claim"
	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/front"
	"pollenlead/internal/ingress"
	"pollenlead/internal/instances"
	"pollenlead/internal/jobbudget"
	"pollenlead/internal/leader"
	"pollenlead/internal/leaderrpc"
	"pollenlead/internal/overload"
	"pollenlead/internal/preview"
	"pollenlead/internal/relay"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
)

const (
	// drainDelay is how long the process continues to accept connections after it reports unready. It covers two probes of
	// the platform, one second apart, and the transit of a connection that was opened before them.
	drainDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the grace period that is reserved for the exit of the process.
	shutdownMargin = 500 * time.Millisecond
	// maxReadyConfigAge is the maximum age of the configuration at which this entry instance reports ready.
	maxReadyConfigAge = 2500 * time.Millisecond
	readHeaderTimeout = 3 * time.Second
	// readBodyTimeout is several times the longest deadline of a request.
	readBodyTimeout = 10 * time.Second
	// writeTimeout bounds a request from the end of its header: the transfer of its body, its deadline, and the transfer
	// of its response.
	writeTimeout   = 20 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

// Platform holds the clients, codecs and topic names that the platform adapter provides.
type Platform struct {
	Store     store.Store
	Workers   worker.Client
	Instances instances.Service
	Advisor   dispatch.Advisor
	Operator  follow.Decoder
	Codec     front.Codec
	// JobTopic, ProgressTopic, LeaderTopic and MemberTopic are topics that only pollenlead writes. They are compacted: the
	// store keeps the newest record of each key.
	JobTopic, ProgressTopic, LeaderTopic, MemberTopic string
	// ClaimTopics hold the claims of job IDs. Their records may expire.
	ClaimTopics              []string
	WorkerTopic, StatusTopic string
	DecodeEntry              func(id string, value []byte) (*fleet.WorkerEntry, error)
	WaveStatus               func(wave int64, done bool) (key string, value []byte)
}

// Node is one entry instance.
type Node struct {
	settings   fleet.Settings
	platform   Platform
	log        zerolog.Logger
	follower   *follow.Follower
	election   *leader.Election
	delegate   *relay.Delegate
	notes      *noteReader
	dispatcher atomic.Pointer[dispatch.Dispatcher]
	draining   atomic.Bool
	// wasTooSmall means that this entry instance had less memory than a leader needs when that was last asked.
	wasTooSmall atomic.Bool
}

// New builds an entry instance. Run starts it.
func New(s fleet.Settings, p Platform, log zerolog.Logger) *Node {
	n := &Node{settings: s, platform: p, log: log}
	n.follower = follow.New(p.Store, p.Operator, log)
	n.election = leader.New(leader.Options{
		Store: p.Store, Topic: p.LeaderTopic, MemberTopic: p.MemberTopic, Name: s.Name,
		Holder: s.Name + "/" + rand.Text()[:8],
		Peer:   net.JoinHostPort(s.Address, strconv.Itoa(s.PeerPort)), CPUShare: s.CPUShare, Lead: n.lead, Log: log,
		Zone: s.Zone, Relay: n.relayAddress(), Note: n.note, MemoryMB: s.MemoryMB, LeaderMemoryMB: n.leaderMemoryMB,
	})
	n.notes = &noteReader{published: n.election.Note}
	n.delegate = &relay.Delegate{
		Workers: p.Workers, Token: n.latestToken, Limits: relayLimits(s), Log: n.listenerLog("relay"),
	}
	return n
}

// relayAddress returns the address on which this entry instance accepts calls to workers that it relays for a leader.
func (n *Node) relayAddress() string {
	return net.JoinHostPort(n.settings.Address, strconv.Itoa(n.settings.RelayPort))
}

// latestToken returns the fencing token of the newest term that the election has observed.
func (n *Node) latestToken() int64 {
	l, _ := n.election.Current()
	return l.Token
}

// members returns the entry instances that can relay calls to workers.
func (n *Node) members() []relay.Member {
	var list []relay.Member
	for _, m := range n.election.Members() {
		list = append(list, relay.Member{Name: m.Name, Zone: m.Zone, Address: m.Relay, CPUShare: m.CPUShare})
	}
	return list
}

// lead runs the dispatcher for one term of leadership.
func (n *Node) lead(ctx context.Context, token int64) {
	workers := relay.NewClient(ctx, relay.Options{
		Direct: n.platform.Workers, Members: n.members, Self: n.relayAddress(), Token: token, Log: n.log,
	})
	d := dispatch.New(dispatch.Options{
		Store: n.platform.Store, Workers: workers, Advisor: n.platform.Advisor, Instances: n.platform.Instances,
		Follower: n.follower, Bounds: n.settings.Bounds, JobTopic: n.platform.JobTopic,
		JobPartitions: n.settings.StorePartitions, StoreLimits: n.settings.StoreLimits,
		ProgressTopic: n.platform.ProgressTopic,
		WorkerTopic:   n.platform.WorkerTopic, StatusTopic: n.platform.StatusTopic,
		DecodeEntry: n.platform.DecodeEntry, WaveStatus: n.platform.WaveStatus,
		Token: token, LastConfirmed: n.election.ConfirmedAt, JobBudget: n.jobBudget,
		Reservations: n.settings.Reservations, Log: n.log,
	})
	n.dispatcher.Store(d)
	defer n.dispatcher.Store(nil)
	d.Run(ctx)
}

// jobs returns the running dispatcher, or nil while this entry instance is not the leader.
func (n *Node) jobs() leaderrpc.Jobs {
	if d := n.dispatcher.Load(); d != nil {
		return d
	}
	return nil
}

func (n *Node) leaderAddress() string {
	l, _ := n.election.Current()
	return l.Peer
}

// Run serves until SIGTERM or SIGINT, and then shuts down gracefully.
func (n *Node) Run(ctx context.Context) error {
	n.log.Info().Str("event", "start").Str("zone", n.settings.Zone).Str("front", n.settings.FrontAddress).
		Str("store", n.settings.StoreAddress).Msg("entry instance starts")
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { n.follower.Run(ctx) })
	tasks.Go(func() { n.election.Run(ctx) })
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case s := <-signals:
			if s == syscall.SIGHUP {
				n.log.Info().Str("event", "reload").Msg("SIGHUP ignored: no setting can be reloaded at run time")
				continue
			}
			n.shutdown(ctx, servers)
			stop()
			tasks.Wait()
			n.log.Info().Str("event", "stop").Msg("entry instance stopped")
			return nil
		}
	}
}

// listen binds the listeners, starts serving on them and returns the server for callers.
func (n *Node) listen(ctx context.Context) (*http.Server, error) {
	leaderClient := &leaderrpc.Client{Leader: n.leaderAddress, Local: n.jobs, Log: n.log}
	handler := &front.Handler{
		Config: n.follower,
		Jobs: store.NewBatchers(
			ctx, n.platform.Store, n.settings.StoreLimits, n.platform.JobTopic, n.settings.StorePartitions,
			preferredPartition(n.settings),
		),
		Claims: &claim.Claims{
			Store: n.platform.Store, Topics: n.platform.ClaimTopics, Partitions: n.settings.StorePartitions,
		},
		Codec:    n.platform.Codec,
		Leader:   leaderClient,
		Overload: &overload.Gate{Published: n.notes.queues},
		Budget: &jobbudget.Gate{
			Published: n.notes.room, Leaderless: n.leaderlessRoom, Fraction: n.shareFraction, Now: bootclock.Now,
		},
		KeyWithdrawal: n.settings.Bounds.KeyWithdrawal, Log: n.log, Draining: &n.draining,
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/readyz", n.ready)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", expvar.Handler())
	metrics.Handle("POST /preview", &preview.Handler{
		Config: n.follower.Config, Job: n.platform.Codec.Job, Key: n.platform.Codec.Key, Explain: leaderClient.Explain,
	})
	metrics.Handle("POST /cancel-jobs", &bulkcancel.Handler{
		Key: n.platform.Codec.Key, Cancel: leaderClient.CancelJobs,
	})
	callers := newServer(handler)
	metricsAddress := net.JoinHostPort(n.settings.Address, strconv.Itoa(n.settings.MetricsPort))
	for _, s := range []struct {
		name, address string
		server        *http.Server
		limits        ingress.Limits
	}{
		{"callers", n.settings.FrontAddress, callers, callerLimits(n.settings)},
		{"readiness", n.settings.ReadyAddress, newServer(ready), probeLimits(n.settings)},
		{"metrics", metricsAddress, newServer(metrics), probeLimits(n.settings)},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, fmt.Errorf("entry instance: listen: %w", err)
		}
		guard := ingress.New(s.limits, n.listenerLog(s.name))
		guard.Protect(s.server)
		go n.serve(s.server, guard.Listener(l))
	}
	peers, err := net.Listen("tcp", net.JoinHostPort(n.settings.Address, strconv.Itoa(n.settings.PeerPort)))
	if err != nil {
		return nil, fmt.Errorf("entry instance: listen for peers: %w", err)
	}
	server := &leaderrpc.Server{Leading: n.jobs, Limits: peerLimits(n.settings), Log: n.listenerLog("peers")}
	go server.Serve(ctx, peers)
	calls, err := net.Listen("tcp", n.relayAddress())
	if err != nil {
		return nil, fmt.Errorf("entry instance: listen for relayed calls to workers: %w", err)
	}
	go n.delegate.Serve(ctx, calls)
	return callers, nil
}

// listenerLog returns the log of a listener.
func (n *Node) listenerLog(name string) zerolog.Logger {
	return n.log.With().Str("listener", name).Logger()
}

// preferredPartition returns the partition of the job topic that this entry instance prefers. The hash of its name
// spreads the entry instances over the partitions.
func preferredPartition(s fleet.Settings) int {
	return int(xxhash.Sum64String(s.Name) % uint64(s.StorePartitions))
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readHeaderTimeout + readBodyTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Err(err).Str("event", "serve_failed").Str("address", l.Addr().String()).Msg("HTTP server failed")
	}
}

// ready handles the platform's readiness probe: 200 while this entry instance can serve callers, otherwise 503.
func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	age, contact := n.follower.Age()
	if n.draining.Load() || !contact || age > maxReadyConfigAge || n.follower.Config() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// shutdown reports unready, resigns the leadership and waits for the requests in flight, within the grace period.
func (n *Node) shutdown(ctx context.Context, callers *http.Server) {
	n.log.Info().Str("event", "drain").Msg("entry instance reports unready and drains requests")
	n.draining.Store(true)
	n.delegate.AnnounceLeaving()
	ctx, cancel := context.WithTimeout(ctx, max(n.settings.Bounds.Grace-shutdownMargin, shutdownMargin))
	defer cancel()
	n.election.Resign(ctx)
	wait := time.NewTimer(drainDelay)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn().Err(err).Str("event", "drain_incomplete").Msg("requests still in flight at the end of the grace period")
	}
}
