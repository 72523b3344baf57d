package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/config"
	"pollenlead/internal/disruption"
)

// fleet returns the snapshot of a wave over pools of equal size with four instances per rack. The racks of a pool are
// in different zones, and 80% of each pool must stay available.
func fleet(instances, pools, zones int) Snapshot {
	s := Snapshot{Wave: "w", Running: true, Maintenance: config.DefaultMaintenance()}
	for p := range pools {
		pool := Pool{Name: fmt.Sprintf("p%02d", p), MinAvailablePercent: 80}
		size := instances / pools
		if p < instances%pools {
			size++
		}
		for n := range size {
			zone := fmt.Sprintf("z%d", n/4%zones)
			pool.Instances = append(pool.Instances, Instance{
				Instance: disruption.Instance{
					ID:   fmt.Sprintf("%s-%02d", pool.Name, n),
					Rack: fmt.Sprintf("%s/%s-r%d", zone, pool.Name, n/4), Live: true,
				},
				AvailabilityZone: zone,
			})
		}
		pool.Size = size
		s.Pools = append(s.Pools, pool)
	}
	return s
}

func names(proposals []Proposal) string {
	var ids []string
	for _, p := range proposals {
		ids = append(ids, p.Instance)
	}
	return strings.Join(ids, " ")
}

// TestNextInstances guards against proposals that the state machine would reject, that need more steps than the budget
// requires, or that take instances down in one zone only.
func TestNextInstances(t *testing.T) {
	noon := time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name string
		edit func(*Snapshot)
		want string
	}{
		{
			"each pool takes as many instances of a rack as its floor allows, in different zones",
			func(*Snapshot) {}, "p00-00 p00-01 p01-04 p01-05",
		},
		{
			"a rack with instances down comes first",
			func(s *Snapshot) { s.Pools[0].Instances[4].Down = true }, "p00-05 p01-00 p01-01",
		},
		{
			"steps of a rack have equal sizes",
			func(s *Snapshot) { s.Pools[0].MinAvailablePercent = 70 }, "p00-00 p00-01 p01-04 p01-05",
		},
		{"a pool at its floor waits", func(s *Snapshot) {
			s.Pools[0].Instances[0].Live, s.Pools[0].Instances[5].Moving = false, true
		}, "p01-00 p01-01"},
		{
			"instances with fewer slots held come first",
			func(s *Snapshot) { s.Pools[0].Instances[0].HeldSlots = 8 }, "p00-01 p00-02 p01-04 p01-05",
		},
		{"no instance is taken down twice", func(s *Snapshot) {
			for n := range 9 {
				s.Pools[0].Instances[n].Done = true
			}
		}, "p00-09 p01-00 p01-01"},
		{"a paused wave takes no instance down", func(s *Snapshot) { s.Running = false }, ""},
		{"no instance goes down outside the window", func(s *Snapshot) {
			s.Maintenance.Window = config.Window{Start: "13:00", End: "20:00"}
		}, ""},
		{"an instance that may return after the window closes does not go down", func(s *Snapshot) {
			s.Maintenance.Window = config.Window{Start: "11:00", End: "12:30"}
		}, ""},
		{"instances go down in a window that is long enough", func(s *Snapshot) {
			s.Maintenance.Window = config.Window{Start: "11:00", End: "12:31"}
		}, "p00-00 p00-01 p01-04 p01-05"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := fleet(20, 2, 3)
			c.edit(&s)
			is.Equal(names(NextInstances(s, noon)), c.want)
		})
	}
}

// TestRolloutOfTheReferenceFleet guards against a planner that violates the budget of the reference fleet or needs more
// steps than necessary: with four instances down at a time, a pool of 22 or 23 in racks of four needs one step for each
// of its 6 racks.
func TestRolloutOfTheReferenceFleet(t *testing.T) {
	is := is.New(t)
	r := CountRollout(fleet(860, 38, 6), NextInstances, time.Time{})
	is.Equal(r.Taken, 860)
	is.Equal(r.Left, 0)
	is.Equal(r.BelowFloor, 0)
	is.True(r.SmallestMargin >= 0)
	is.Equal(r.Steps, 6)

	failing := withFailedInstances(fleet(860, 38, 6), 50)
	is.Equal(CountRollout(failing, NextInstances, time.Time{}).BelowFloor, 0)
	is.True(CountRollout(failing, FixedPercent(20), time.Time{}).BelowFloor > 0)
}
