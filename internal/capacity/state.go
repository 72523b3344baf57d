package capacity

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"runtime"

	"pollenlead/internal/statemachine"
)

// stateRounds is the number of repetitions of a timed step on a whole state.
const stateRounds = 5

// StateCost holds the sizes of a state of the state machine and the processor time of operations on it.
type StateCost struct {
	Size         Size   `json:"size"`
	EncodedBytes int    `json:"encoded_bytes"`
	GzipBytes    int    `json:"gzip_bytes"`
	HeapBytes    int64  `json:"heap_bytes"`
	Encode       Spread `json:"encode"`
	Gzip         Spread `json:"gzip"`
	Restore      Spread `json:"restore"`
	Hash         Spread `json:"hash"`
}

// Dimension is one field of a Size that is varied. The other fields keep the target's values, except that the number of
// jobs is 0.
type Dimension struct {
	Name   string
	Values []int
	set    func(*Size, int)
}

func dimensions() []Dimension {
	return []Dimension{
		{"worker", []int{50, 200, 430, 860}, func(s *Size, n int) { s.Workers = n }},
		{"pool", []int{6, 15, 25, 38}, func(s *Size, n int) { s.Pools = n }},
		{"team", []int{6, 12, 18, 26}, func(s *Size, n int) { s.Teams = n }},
		{"holder", []int{3, 6, 9, 18}, func(s *Size, n int) { s.Holders = n }},
		{"job", []int{0, 1_000, 10_000, 50_000}, func(s *Size, n int) { s.Jobs = n }},
	}
}

// sizeAt returns the target's size without jobs, with the dimension set to n.
func (d Dimension) sizeAt(n int) Size {
	size := Target
	size.Jobs = 0
	d.set(&size, n)
	return size
}

// measureState measures a state of the given size. Each timed operation is repeated for the given number of rounds.
func measureState(size Size, rounds int) (StateCost, error) {
	fx, err := newFixture(size)
	if err != nil {
		return StateCost{}, fmt.Errorf("state of %+v: %w", size, err)
	}
	cost := StateCost{Size: size}
	var encoded, compressed []byte
	cost.Encode, err = cpuPer(rounds, 1, func() error {
		encoded, err = fx.state.Encode()
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.Gzip, err = cpuPer(rounds, 1, func() error {
		compressed, err = compress(encoded)
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.Hash, err = cpuPer(rounds, 1, func() error {
		_, err := fx.state.Hash()
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.Restore, err = cpuPer(rounds, 1, func() error {
		_, err := statemachine.Restore(encoded)
		return err
	})
	if err != nil {
		return cost, err
	}
	cost.EncodedBytes, cost.GzipBytes = len(encoded), len(compressed)
	cost.HeapBytes, err = heapGrowth(encoded)
	return cost, err
}

// compress compresses the encoding in the same way as the snapshot writer of package replica.
func compress(encoded []byte) ([]byte, error) {
	var buffer bytes.Buffer
	gzipWriter := gzip.NewWriter(&buffer)
	if _, err := gzipWriter.Write(encoded); err != nil {
		return nil, err
	}
	if err := gzipWriter.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// heapGrowth returns the growth of the live heap after a state has been restored from its encoding.
func heapGrowth(encoded []byte) (int64, error) {
	before := liveHeap()
	state, err := statemachine.Restore(encoded)
	if err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(state)
	runtime.KeepAlive(encoded)
	return after - before, nil
}

func liveHeap() int64 {
	// The second collection frees objects that the first one only queued for finalization or that sync.Pool retained.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Slope is the growth of a quantity with one dimension.
type Slope struct {
	Quantity string `json:"quantity"`
	Unit     string `json:"unit"`
	Per      string `json:"per"`
	Line
}

// stateSlopes measures every dimension and fits each quantity of the state.
func stateSlopes() ([]Slope, error) {
	var slopes []Slope
	for _, d := range dimensions() {
		var costs []StateCost
		for _, n := range d.Values {
			cost, err := measureState(d.sizeAt(n), stateRounds)
			if err != nil {
				return nil, err
			}
			costs = append(costs, cost)
		}
		for _, q := range stateQuantities {
			var points []Point
			for i, cost := range costs {
				points = append(points, Point{X: float64(d.Values[i]), Y: q.of(cost)})
			}
			slopes = append(slopes, Slope{Quantity: q.name, Unit: q.unit, Per: d.Name, Line: Fit(points)})
		}
	}
	return slopes, nil
}

var stateQuantities = []struct {
	name, unit string
	of         func(StateCost) float64
}{
	{"state encoded", "B", func(c StateCost) float64 { return float64(c.EncodedBytes) }},
	{"state gzip", "B", func(c StateCost) float64 { return float64(c.GzipBytes) }},
	{"state heap", "B", func(c StateCost) float64 { return float64(c.HeapBytes) }},
	{"encode CPU", "us", func(c StateCost) float64 { return c.Encode.Median }},
	{"gzip CPU", "us", func(c StateCost) float64 { return c.Gzip.Median }},
	{"restore CPU", "us", func(c StateCost) float64 { return c.Restore.Median }},
	{"hash CPU", "us", func(c StateCost) float64 { return c.Hash.Median }},
}
