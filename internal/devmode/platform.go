package devmode

import (
	"errors"
	"fmt"
	"maps"
	"strings"
	"time"

	"pollenlead/standin"
)

// The fleet of the development mode. Its size is the current one of one user.
const (
	demoWorkers         = 52
	spareInstances      = 2
	instanceSlots       = 8
	instanceConnections = 64
	instanceCores       = 32
	instanceMemory      = 64 << 30
	instancesPerRack    = 4
	region              = "region-1"
)

// rebootDuration is how long a rebooting instance is in the leaving phase and then absent from the list. It is longer
// than listPollInterval, so that entry instances observe both states.
const (
	rebootDuration   = 500 * time.Millisecond
	listPollInterval = 200 * time.Millisecond
)

// zones are the availability zones of the development mode.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// standIns are the fakes of the platform services and workers.
type standIns struct {
	log        *standin.Log
	logURL     string
	list       *standin.List
	listURL    string
	observer   *standin.Observer
	workers    map[string]*standin.Worker
	workerURLs map[string]string // by worker
	zoneOf     map[string]string
	poolOf     map[string]string
	servers    []*standin.Server
}

// startStandIns starts the log, the list and the given number of workers on loopback. Two workers are spare instances;
// the others are spread evenly over the pools.
func startStandIns(pools []string, workers int) (*standIns, error) {
	s := &standIns{
		log: standin.NewLog(), list: standin.NewList(), observer: standin.NewObserver(),
		workers: map[string]*standin.Worker{}, workerURLs: map[string]string{},
		zoneOf: map[string]string{}, poolOf: map[string]string{},
	}
	logServer, err := standin.Start(s.log)
	if err != nil {
		return nil, fmt.Errorf("start the log stand-in: %w", err)
	}
	s.servers = append(s.servers, logServer)
	listServer, err := standin.Start(s.list)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start the list stand-in: %w", err), s.close())
	}
	s.servers = append(s.servers, listServer)
	s.logURL, s.listURL = logServer.URL, listServer.URL
	s.list.SetRebootPhaseDuration(rebootDuration)
	for i := range workers - spareInstances {
		n, pool := i/len(pools), pools[i%len(pools)]
		if err := s.startWorker(pool, fmt.Sprintf("w-%s-%02d", pool, n), n); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	for n := range spareInstances {
		if err := s.startWorker("spare", fmt.Sprintf("w-extra-%02d", n), n); err != nil {
			return nil, errors.Join(err, s.close())
		}
	}
	return s, nil
}

func (s *standIns) startWorker(pool, id string, n int) error {
	worker := standin.NewWorker(standin.WorkerConfig{
		ID: id, Slots: instanceSlots, Connections: instanceConnections, Observer: s.observer,
	})
	server, err := worker.Start()
	if err != nil {
		return fmt.Errorf("start worker stand-in %s: %w", id, err)
	}
	zone := zones[n/instancesPerRack%len(zones)]
	s.servers = append(s.servers, server)
	s.workers[id] = worker
	s.workerURLs[id] = server.URL
	s.zoneOf[id] = zone
	s.poolOf[id] = pool
	s.list.Set(standin.Instance{
		ID: id, Kind: "worker", Address: server.Address, Region: region, AvailabilityZone: zone,
		Rack: fmt.Sprintf("%s-rack-%d", zone, n/instancesPerRack), Phase: "live",
		Slots: instanceSlots, Connections: instanceConnections, Cores: instanceCores, MemoryBytes: instanceMemory,
	})
	return nil
}

func (s *standIns) close() error {
	var errs []error
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// observations are the counts that the workers recorded. The highest values are those since the start of the stand-ins.
type observations struct {
	Executions     map[string]int `json:"executions_by_caller_request_id"`
	HighestRunning map[string]int `json:"highest_running_by_team"`
	SlotsMax       int            `json:"slots_max"`
	ConnectionsMax int            `json:"connections_max"`
}

// observations returns the observations of the workers, with only the executions whose caller request IDs start with
// prefix.
func (s *standIns) observations(prefix string) observations {
	v := observations{Executions: s.observer.AllExecutions(), HighestRunning: s.observer.MaxRunning()}
	maps.DeleteFunc(v.Executions, func(id string, _ int) bool { return !strings.HasPrefix(id, prefix) })
	for _, worker := range s.workers {
		v.SlotsMax = max(v.SlotsMax, worker.MaxSlotsUsed())
		v.ConnectionsMax = max(v.ConnectionsMax, worker.MaxOpenConnections())
	}
	return v
}
