package capacity

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"pollenlead/internal/record"
	"pollenlead/internal/replica"
)

// add applies a record to the fixture's state and appends it to the log.
func (l *memoryLog) add(fx *fixture, holder int, ops ...record.Op) error {
	data, err := fx.writers[holder].encode(ops...)
	if err != nil {
		return err
	}
	l.records = append(l.records, data)
	return fx.applyRecord(data)
}

// newStartLog returns a log that begins with a snapshot of the fixture's state, followed by tail records. Every renewal
// is followed by 15 demands of 4 names each, which is the ratio at the target's rates.
func newStartLog(fx *fixture, tail int) (*memoryLog, error) {
	l := newMemoryLog(fx.state.Next())
	encoded, err := fx.state.Encode()
	if err != nil {
		return nil, err
	}
	compressed, err := compress(encoded)
	if err != nil {
		return nil, err
	}
	chunks := slices.Collect(slices.Chunk(compressed, chunkBytes))
	sum := sha256.Sum256(compressed)
	begin := record.SnapshotBegin{
		Term: 1, Offset: l.first, Chunks: len(chunks), Bytes: len(compressed), SHA256: hex.EncodeToString(sum[:]),
	}
	if err := l.add(fx, 0, record.Op{SnapshotBegin: &begin}); err != nil {
		return nil, err
	}
	for i, data := range chunks {
		if err := l.add(fx, 0, record.Op{SnapshotChunk: &record.SnapshotChunk{Term: 1, Index: i, Data: data}}); err != nil {
			return nil, err
		}
	}
	if err := l.add(fx, 0, record.Op{SnapshotEnd: &record.SnapshotEnd{Term: 1}}); err != nil {
		return nil, err
	}
	for i := range tail {
		if i%16 == 0 {
			if err := l.add(fx, i%fx.size.Holders, record.Op{SessionRenew: &record.SessionRenew{}}); err != nil {
				return nil, err
			}
			continue
		}
		demand := fx.partialDemand(i)
		if err := l.add(fx, i%fx.size.Holders, record.Op{Demand: &demand}); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// StartCost is the cost of the start of an entry instance until it has read the log to the end, without the network.
type StartCost struct {
	Tail    int     `json:"tail_records"`
	Seconds float64 `json:"seconds"` // median of the wall time
	Fastest float64 `json:"fastest_seconds"`
	Slowest float64 `json:"slowest_seconds"`
	CPU     Spread  `json:"cpu"`
}

// measureStart measures a follower that loads the snapshot and the tail.
func measureStart(ctx context.Context, size Size, tail, rounds int) (StartCost, error) {
	cost := StartCost{Tail: tail}
	fx, err := newFixture(size)
	if err != nil {
		return cost, err
	}
	log, err := newStartLog(fx, tail)
	if err != nil {
		return cost, err
	}
	var seconds []float64
	cost.CPU, err = cpuPer(rounds, 1, func() error {
		begin := time.Now()
		if err := follow(ctx, log); err != nil {
			return err
		}
		seconds = append(seconds, time.Since(begin).Seconds())
		return nil
	})
	if err != nil {
		return cost, err
	}
	slices.Sort(seconds)
	cost.Seconds, cost.Fastest, cost.Slowest = seconds[len(seconds)/2], seconds[0], seconds[len(seconds)-1]
	return cost, nil
}

// follow runs a new follower until it has read the log to the end.
func follow(ctx context.Context, log *memoryLog) error {
	ctx, stop := context.WithCancel(ctx)
	f := replica.NewFollower(log, replica.FollowerOptions{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx) // ends with the context; WaitFor returns any other error
	}()
	defer func() { stop(); <-done }()
	return f.WaitFor(ctx, log.first+uint64(len(log.records)))
}

// startSlope fits the duration of a start over the number of tail records.
func startSlope(ctx context.Context, rounds int) (Slope, StartCost, error) {
	var points []Point
	var cost StartCost
	for _, tail := range []int{0, 5_000, 10_000, 20_000} {
		var err error
		if cost, err = measureStart(ctx, Target, tail, rounds); err != nil {
			return Slope{}, cost, err
		}
		points = append(points, Point{float64(tail), cost.Seconds * 1e3})
	}
	return Slope{Quantity: "start", Unit: "ms", Per: "tail record", Line: Fit(points)}, cost, nil
}
