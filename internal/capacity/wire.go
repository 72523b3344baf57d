package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/fleetlist"
	"pollenlead/internal/platform/logclient"
	"pollenlead/internal/platform/worker"
	"pollenlead/standin"
)

const (
	wireRounds        = 5
	wireCalls         = 300
	listCalls         = 20
	readHeaderTimeout = time.Minute
)

// countingListener counts the bytes of all connections that it accepts, in both directions. It counts the TCP payload,
// without TCP and IP headers and without TLS, which adds 22 to 29 bytes to each message.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func listenLoopback() (*countingListener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	return &countingListener{Listener: listener}, nil
}

// serveCounted serves a stand-in over loopback with a counting listener until stop is called.
func serveCounted(handler http.Handler) (listener *countingListener, stop func(), err error) {
	listener, err = listenLoopback()
	if err != nil {
		return nil, nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	return listener, func() { _ = server.Close(); <-done }, nil
}

// CallCost is the cost of one request with its response. The processor time includes both ends, which run in this
// process.
type CallCost struct {
	Bytes float64 `json:"bytes"`
	CPU   Spread  `json:"cpu"`
}

// measureCalls makes n calls in each of the given number of rounds and returns the cost of one call.
func measureCalls(listener *countingListener, rounds, n int, call func(i int) error) (CallCost, error) {
	if err := call(0); err != nil { // opens the connection
		return CallCost{}, err
	}
	before, made := listener.bytes.Load(), 0
	cpu, err := cpuPer(rounds, n, func() error {
		for range n {
			made++
			if err := call(made); err != nil {
				return err
			}
		}
		return nil
	})
	return CallCost{Bytes: float64(listener.bytes.Load()-before) / float64(made), CPU: cpu}, err
}

// measureRenewal measures the renewal of a worker lease.
func measureRenewal(ctx context.Context, rounds, n int) (CallCost, error) {
	w := standin.NewWorker(standin.WorkerConfig{
		ID: "w-pool-00-0000", Slots: slotsPerWorker, Connections: 64, ClockStart: 24 * time.Hour,
	})
	listener, stop, err := serveCounted(w)
	if err != nil {
		return CallCost{}, err
	}
	defer stop()
	client := worker.NewPool(0).Worker("w-pool-00-0000", listener.Addr().String(), slotsPerWorker)
	lease, err := client.OpenLease(ctx, "01JZZZZZZZZZZZZZZZZZZZZZ00")
	if err != nil {
		return CallCost{}, err
	}
	return measureCalls(listener, rounds, n, func(int) error {
		_, err := client.RenewLease(ctx, lease.ID, lease.Now+time.Hour)
		return err
	})
}

// LogCost holds the cost of an append and a read of one record as a function of the record's size.
type LogCost struct {
	Append Line `json:"append"`
	Read   Line `json:"read"`
	// AppendCPU and ReadCPU are in microseconds, as functions of the record's size in bytes.
	AppendCPU Line `json:"append_cpu"`
	ReadCPU   Line `json:"read_cpu"`
}

// measureLog appends and reads records of several sizes, one record in each request. At the target's rates each read
// also returns a single record, because records arrive more slowly than reads can be made.
func measureLog(ctx context.Context, rounds, n int) (LogCost, error) {
	var appends, reads, appendCPU, readCPU []Point
	for _, size := range []int{150, 600, 2400, 9600} {
		appended, read, err := measureLogAt(ctx, size, rounds, n)
		if err != nil {
			return LogCost{}, err
		}
		x := float64(size)
		appends, reads = append(appends, Point{x, appended.Bytes}), append(reads, Point{x, read.Bytes})
		appendCPU, readCPU = append(appendCPU, Point{x, appended.CPU.Median}), append(readCPU, Point{x, read.CPU.Median})
	}
	return LogCost{Append: Fit(appends), Read: Fit(reads), AppendCPU: Fit(appendCPU), ReadCPU: Fit(readCPU)}, nil
}

func measureLogAt(ctx context.Context, size, rounds, n int) (appended, read CallCost, err error) {
	listener, stop, err := serveCounted(standin.NewLog())
	if err != nil {
		return appended, read, err
	}
	defer stop()
	client := logclient.New("http://"+listener.Addr().String(), 0)
	defer client.Close()
	appended, err = measureCalls(listener, rounds, n, func(int) error {
		_, err := client.Append(ctx, make([]byte, size))
		return err
	})
	if err != nil {
		return appended, read, err
	}
	read, err = measureCalls(listener, rounds, n, func(i int) error {
		batch, err := client.Read(ctx, uint64(i), 1, time.Second)
		if err == nil && len(batch.Entries) != 1 {
			err = fmt.Errorf("read at offset %d returned %d records, want 1", i, len(batch.Entries))
		}
		return err
	})
	return appended, read, err
}

// listSlope fits the cost of a poll of the platform's instance list over the number of workers in it.
func listSlope(ctx context.Context, rounds, n int) (bytes, cpu Line, err error) {
	var byBytes, byCPU []Point
	for _, size := range fleetSizes() {
		cost, err := measureList(ctx, size, rounds, n)
		if err != nil {
			return Line{}, Line{}, err
		}
		byBytes = append(byBytes, Point{float64(size.Workers), cost.Bytes})
		byCPU = append(byCPU, Point{float64(size.Workers), cost.CPU.Median})
	}
	return Fit(byBytes), Fit(byCPU), nil
}

func measureList(ctx context.Context, size Size, rounds, n int) (CallCost, error) {
	fx := &fixture{size: size}
	list := standin.NewList()
	for i := range size.Workers {
		f := fx.instance(i)
		list.Set(standin.Instance{
			ID: f.ID, Kind: standin.KindWorker, Address: f.Address, Region: f.Region, AvailabilityZone: f.AvailabilityZone,
			Rack: f.Rack, Phase: string(f.Phase), Slots: f.Slots, Connections: f.Connections, Cores: f.Cores,
			MemoryBytes: f.MemoryBytes, Accelerators: f.Accelerators,
		})
	}
	for i := range size.Holders {
		list.Set(standin.Instance{
			ID: fmt.Sprintf("entry-%02d", i), Kind: standin.KindEntry, Address: fmt.Sprintf("10.0.0.%d:7000", i),
			Region: region(i), AvailabilityZone: zone(i), Phase: standin.PhaseLive,
		})
	}
	listener, stop, err := serveCounted(list)
	if err != nil {
		return CallCost{}, err
	}
	defer stop()
	client := fleetlist.New("http://"+listener.Addr().String(), 0)
	defer client.Close()
	return measureCalls(listener, rounds, n, func(int) error {
		var listing platform.Listing
		listing, err := client.List(ctx)
		if err == nil && len(listing.Workers) != size.Workers {
			err = fmt.Errorf("the instance list has %d workers, want %d", len(listing.Workers), size.Workers)
		}
		return err
	})
}
