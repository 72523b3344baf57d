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

// add folds a record into the world and appends it.
func (l *memoryLog) add(w *world, holder int, ops ...record.Op) error {
	data, err := w.writers[holder].encode(ops...)
	if err != nil {
		return err
	}
	l.records = append(l.records, data)
	return w.fold(data)
}

// newStartLog returns a log that begins with a snapshot of the world's state, followed by tail records: one renewal to 15
// demands of 4 names, which is the mix at the target's rates.
func newStartLog(w *world, tail int) (*memoryLog, error) {
	l := newMemoryLog(w.state.Next())
	encoded, err := w.state.Encode()
	if err != nil {
		return nil, err
	}
	packed, err := pack(encoded)
	if err != nil {
		return nil, err
	}
	chunks := slices.Collect(slices.Chunk(packed, chunkBytes))
	sum := sha256.Sum256(packed)
	begin := record.SnapshotBegin{
		Term: 1, Offset: l.first, Chunks: len(chunks), Bytes: len(packed), SHA256: hex.EncodeToString(sum[:]),
	}
	if err := l.add(w, 0, record.Op{SnapshotBegin: &begin}); err != nil {
		return nil, err
	}
	for i, data := range chunks {
		if err := l.add(w, 0, record.Op{SnapshotChunk: &record.SnapshotChunk{Term: 1, Index: i, Data: data}}); err != nil {
			return nil, err
		}
	}
	if err := l.add(w, 0, record.Op{SnapshotEnd: &record.SnapshotEnd{Term: 1}}); err != nil {
		return nil, err
	}
	for i := range tail {
		if i%16 == 0 {
			if err := l.add(w, i%w.size.Holders, record.Op{SessionRenew: &record.SessionRenew{}}); err != nil {
				return nil, err
			}
			continue
		}
		demand := w.fewNames(i)
		if err := l.add(w, i%w.size.Holders, record.Op{Demand: &demand}); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// StartCost is what an instance that starts takes until it has read the end of the log, without the network.
type StartCost struct {
	Tail    int     `json:"tail_records"`
	Seconds float64 `json:"seconds"` // median of the wall time
	Fastest float64 `json:"fastest_seconds"`
	Slowest float64 `json:"slowest_seconds"`
	CPU     Spread  `json:"cpu"`
}

// measureStart lets a follower load the snapshot and the tail.
func measureStart(ctx context.Context, size Size, tail, rounds int) (StartCost, error) {
	cost := StartCost{Tail: tail}
	w, err := newWorld(size)
	if err != nil {
		return cost, err
	}
	log, err := newStartLog(w, tail)
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

// startSlope fits the time of a start over the records of the tail.
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
