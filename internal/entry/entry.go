// Package entry builds one entry instance out of the duty packages, runs it, and shuts it down gracefully.
package entry

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"pollenlead/internal/admission"
	"pollenlead/internal/allotment"
	"pollenlead/internal/audit"
	"pollenlead/internal/config"
	"pollenlead/internal/gateway"
	"pollenlead/internal/job"
	"pollenlead/internal/maintenance"
	"pollenlead/internal/membership"
	"pollenlead/internal/operator"
	"pollenlead/internal/platform/fleetlist"
	"pollenlead/internal/platform/logclient"
	"pollenlead/internal/platform/worker"
	"pollenlead/internal/record"
	"pollenlead/internal/replica"
	"pollenlead/internal/routing"
	"pollenlead/internal/settings"
	"pollenlead/internal/statemachine"
)

// balancerDelay is the time between turning unready and refusing connections, so that the balancer has stopped sending.
const balancerDelay = time.Second

// maxHeaderBytes bounds a request's header before the document's own limit is known.
const maxHeaderBytes = 256 << 10

// Instance is one entry instance.
type Instance struct {
	settings settings.Settings
	logger   zerolog.Logger

	follower  *replica.Follower
	committer *replica.Committer
	snapshots *replica.SnapshotWriter
	member    *membership.Member
	ledger    *allotment.Ledger
	queue     *admission.Queue
	health    *routing.Health
	gateway   *gateway.Gateway
	metrics   *gateway.Metrics
	jobs      *job.Runner
	workers   *worker.Pool
	waves     *maintenance.Driver
	trail     *audit.Trail
	control   controlTraffic

	callers   listener
	operators listener
	peers     net.Listener

	draining atomic.Bool
	killed   chan struct{}
	killOnce sync.Once

	// stopJobs ends the start of jobs; the tasks that run go on.
	stopJobs func()
}

// listener is an HTTP server with its bound socket.
type listener struct {
	socket net.Listener
	server *http.Server
	scheme string
}

func (l listener) url() string { return l.scheme + "://" + l.socket.Addr().String() }

// New builds an entry instance and binds its addresses. Nothing runs before Run.
func New(s settings.Settings, logger zerolog.Logger) (*Instance, error) {
	i := &Instance{settings: s, logger: logger, killed: make(chan struct{}), trail: audit.NewTrail(audit.DefaultCapacity)}
	peerTLS, callerTLS, err := loadTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	if err := i.bind(callerTLS); err != nil {
		return nil, errors.Join(err, i.closeSockets())
	}
	if err := i.build(peerTLS); err != nil {
		return nil, errors.Join(err, i.closeSockets())
	}
	return i, nil
}

func loadTLS(t settings.TLS) (peers, callers *tls.Config, err error) {
	if t.Peers != nil {
		c, err := newCertificates(*t.Peers)
		if err != nil {
			return nil, nil, fmt.Errorf("tls.peers: %w", err)
		}
		peers = c.peerConfig()
	}
	if t.Callers != nil {
		c, err := newCertificates(*t.Callers)
		if err != nil {
			return nil, nil, fmt.Errorf("tls.callers: %w", err)
		}
		callers = c.serverConfig()
	}
	return peers, callers, nil
}

func (i *Instance) bind(callerTLS *tls.Config) error {
	listen := i.settings.Listen
	callers, err := net.Listen("tcp", listen.Callers.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	i.callers = listener{socket: callers, scheme: "http"}
	if callerTLS != nil {
		i.callers.scheme = "https"
	}
	i.callers.server = &http.Server{
		TLSConfig:         callerTLS,
		ReadHeaderTimeout: i.settings.Timeouts.CallerHeader(),
		IdleTimeout:       i.settings.Timeouts.CallerIdle(),
		MaxHeaderBytes:    maxHeaderBytes,
	}
	operators, err := net.Listen("tcp", listen.Operators.String())
	if err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	i.operators = listener{socket: operators, scheme: "http", server: &http.Server{
		ReadHeaderTimeout: i.settings.Timeouts.CallerHeader(),
		IdleTimeout:       i.settings.Timeouts.CallerIdle(),
		MaxHeaderBytes:    maxHeaderBytes,
	}}
	i.peers, err = net.Listen("tcp", listen.Peers.String())
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	return nil
}

func (i *Instance) closeSockets() error {
	var errs []error
	for _, socket := range []net.Listener{i.callers.socket, i.operators.socket, i.peers} {
		if socket != nil {
			errs = append(errs, socket.Close())
		}
	}
	return errors.Join(errs...)
}

func (i *Instance) build(peerTLS *tls.Config) error {
	s := i.settings
	log := logclient.NewCounted(string(s.Platform.LogURL), s.Timeouts.LogAppend(), &i.control.log)
	list := fleetlist.NewCounted(string(s.Platform.ListURL), s.Timeouts.ListRequest(), &i.control.list)
	identity := replica.Identity{Writer: s.Name, Incarnation: ulid.Make().String()}

	i.follower = replica.NewFollower(log, replica.FollowerOptions{})
	i.follower.Subscribe(i.trail.Observe)
	i.committer = replica.NewCommitter(log, i.follower, identity, replica.CommitterOptions{})
	i.snapshots = replica.NewSnapshotWriter(i.follower, i.committer, nil)

	member, err := membership.New(membership.Options{
		Name: s.Name,
		Session: record.SessionOpen{
			AvailabilityZone: s.AvailabilityZone, Region: s.Region,
			PeerAddress:   advertised(s.Advertise.Peers, i.peers),
			CallerAddress: advertised(s.Advertise.Callers, i.callers.socket),
		},
		Log: log, List: list, Follower: i.follower, Committer: i.committer, Listener: i.peers, TLS: peerTLS, Load: i.load,
		ListPollInterval: s.Timeouts.ListPoll(),
		Traffic:          &i.control.peers,
	})
	if err != nil {
		return fmt.Errorf("build membership: %w", err)
	}
	i.member = member
	i.workers = worker.NewCountedPool(s.Timeouts.WorkerConnect(), &i.control.workers)
	i.ledger = allotment.New(allotment.Config{
		Replica: i.follower, Committer: i.committer, Session: member.Lease(), Workers: i.workers,
		Clock: allotment.SystemClock{}, NotSent: replica.ErrNotSent,
	})
	i.waves = maintenance.NewDriver(maintenance.Options{
		Committer: i.committer, Replica: i.follower, Lease: member.Lease(), Rebooter: list, Prober: prober{i}, Clock: time.Now,
	})
	i.buildServing()
	i.operators.server.Handler = operator.NewHandler(operator.Options{
		Committer: i.committer, Follower: i.follower, Trail: i.trail, Bootstrap: bootstrap(s.BootstrapOperator),
		Vars: i.vars(), Status: i.status, Ready: i.ready, Loaded: func() bool { return !i.follower.LastContact().IsZero() },
	})
	return nil
}

// advertised is the address that the settings name, or the bound one. Port 0 stands for the bound port.
func advertised(a settings.Address, socket net.Listener) string {
	bound := socket.Addr().(*net.TCPAddr).AddrPort()
	switch {
	case !a.IsValid():
		return bound.String()
	case a.Port() == 0:
		return net.JoinHostPort(a.Addr().String(), fmt.Sprint(bound.Port()))
	default:
		return a.String()
	}
}

func bootstrap(b *settings.BootstrapOperator) operator.Bootstrap {
	if b == nil {
		return operator.Bootstrap{}
	}
	return operator.Bootstrap{Name: b.Name, SHA256: b.SHA256}
}

// document returns the document in force.
func (i *Instance) document() *config.Document {
	var doc *config.Document
	i.follower.View(func(s *statemachine.State) { doc = s.Config().Document })
	return doc
}

// CallersURL is where callers reach the instance.
func (i *Instance) CallersURL() string { return i.callers.url() }

// OperatorsURL is where operators reach the instance.
func (i *Instance) OperatorsURL() string { return i.operators.url() }
