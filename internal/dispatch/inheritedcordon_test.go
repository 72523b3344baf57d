package dispatch

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/workload"
)

// TestInheritedOrdersCordonTheirWorkers guards against tasks that a new leader starts on an instance for which its
// predecessor has ordered the maintenance: the order may still be carried out and would end them. The cordon has to
// hold from the first decision on, and through the first decisions on instances, until the wave is advanced.
func TestInheritedOrdersCordonTheirWorkers(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	operator := &operatorLog{}
	operator.append("config", "1")
	operator.append("wave/1", "1")
	d.Follower = follow.New(operator, follow.Decoder{
		ConfigKey: "config",
		Config: func([]byte) (*fleet.Config, error) {
			c := &fleet.Config{Version: 1, Pools: []fleet.Pool{{Name: "pool"}}}
			c.Index()
			return c, nil
		},
		IsWave: func(key string) bool { return strings.HasPrefix(key, "wave/") },
		Wave: func([]byte) (*fleet.WaveRequest, error) {
			return &fleet.WaveRequest{Number: 1, Instances: []string{"m0", "m1"}, FinishBy: time.Minute, MaxDown: 2}, nil
		},
	}, zerolog.Nop())
	go d.Follower.Run(d.ctx)
	for len(d.Follower.Waves()) == 0 {
		time.Sleep(time.Millisecond)
	}
	d.loaded = false
	d.applyInstanceRecord(workload.KeyWave, "1", []byte(`{"ordered":{"m0":"w0"},"done":["m1"]}`))
	d.applyInstanceRecord(workload.KeyWave, "2", []byte(`{"ordered":{"m2":"w2"},"closed":true}`))
	d.restoreCordons()
	d.loaded = true
	is.True(d.agent("w0").cordoned)
	is.True(!d.agent("w1").cordoned)
	is.True(!d.agent("w2").cordoned)

	a := d.agent("w0")
	a.entry = &fleet.WorkerEntry{ID: "w0", Pool: "pool"}
	a.contacted, a.clockAt = true, bootclock.Now()
	w := newInstanceDriver(d)
	w.listed, w.listedAt = map[string]fleet.Instance{"m0": upInstance("w0")}, bootclock.Now()
	w.homeSizes = map[string]int{"pool": 1}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stepBalance(t.Context())
	is.True(a.cordoned)
}
