package capacity

import (
	"context"
	"sync"
	"time"

	"pollenlead/internal/platform"
)

// memoryLog is an in-memory platform.Log. Its first record has the offset first.
type memoryLog struct {
	first uint64

	mu       sync.Mutex // guards the fields below
	records  [][]byte
	appended chan struct{} // closed and replaced at each append
}

func newMemoryLog(first uint64) *memoryLog {
	return &memoryLog{first: first, appended: make(chan struct{})}
}

// Append implements platform.Log.
func (l *memoryLog) Append(_ context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	close(l.appended)
	l.appended = make(chan struct{})
	return l.first + uint64(len(l.records)) - 1, nil
}

// Read implements platform.Log.
func (l *memoryLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (platform.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, grown, err := l.batch(from, limit)
		if err != nil || len(batch.Entries) > 0 || wait == 0 {
			return batch, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *memoryLog) batch(from uint64, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return platform.Batch{}, nil, &platform.TrimmedError{First: l.first}
	}
	batch := platform.Batch{First: l.first, Next: l.first + uint64(len(l.records))}
	for at := from; at < batch.Next && len(batch.Entries) < limit; at++ {
		batch.Entries = append(batch.Entries, platform.Entry{Offset: at, Data: l.records[at-l.first]})
	}
	return batch, l.appended, nil
}

// bytes returns the total size of the records.
func (l *memoryLog) bytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := 0
	for _, data := range l.records {
		total += len(data)
	}
	return total
}
