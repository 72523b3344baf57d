package allotment

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/record"
)

// Guards against releasing units in use, units below the target, or units that a rise in demand will need that the
// applied state does not contain yet.
func TestSurplus(t *testing.T) {
	for name, c := range map[string]struct {
		r    resourceState
		want int
	}{
		"at target":         {resourceState{held: 3, target: 3}, 0},
		"below target":      {resourceState{held: 2, target: 3}, 0},
		"unused":            {resourceState{held: 5, target: 3, inUse: 1, wanted: 1, reported: 1}, 2},
		"partly used":       {resourceState{held: 5, target: 3, inUse: 4, wanted: 4, reported: 4}, 1},
		"all used":          {resourceState{held: 5, target: 3, inUse: 6, wanted: 6, reported: 6}, 0},
		"unreported demand": {resourceState{held: 5, target: 3, wanted: 1}, 0},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(c.r.surplus(), c.want) })
	}
}

// Guards against keeping slots of withdrawn instances, against releasing all slots of one availability zone, and
// against releasing slots in use.
func TestPlanSlots(t *testing.T) {
	pools := map[string]resourceState{"p": {held: 9, target: 5}}
	for name, c := range map[string]struct {
		held []slotState
		want []record.InstanceSlots
	}{
		"withdrawn": {
			[]slotState{{instance: "w", pool: "q", held: 4, inUse: 1, withdrawn: true}},
			[]record.InstanceSlots{{Instance: "w", Slots: 3}},
		},
		"zones": {
			[]slotState{{instance: "a", pool: "p", zone: "1", held: 6}, {instance: "b", pool: "p", zone: "2", held: 3}},
			[]record.InstanceSlots{{Instance: "a", Slots: 4}},
		},
		"shrunk": {
			[]slotState{
				{instance: "a", pool: "p", zone: "1", held: 8, inUse: 1},
				{instance: "b", pool: "p", zone: "2", held: 4, inUse: 1, excess: 2},
			},
			[]record.InstanceSlots{{Instance: "a", Slots: 2}, {Instance: "b", Slots: 2}},
		},
		"in use": {
			[]slotState{
				{instance: "a", pool: "p", zone: "1", held: 6, inUse: 5},
				{instance: "b", pool: "p", zone: "2", held: 3, inUse: 2},
			},
			[]record.InstanceSlots{{Instance: "a", Slots: 1}, {Instance: "b", Slots: 1}},
		},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(planSlotRelease(pools, c.held), c.want) })
	}
}

// Guards against a reported demand that falls during a short drop, or that never falls.
func TestPeak(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	p := peak{}.observe(at(0), 7)
	p = p.observe(at(900), 1)
	is.Equal(p.observe(at(1000), 1).level(), 7)
	is.Equal(p.observe(at(1899), 1).level(), 7)
	p = p.observe(at(1000), 1).observe(at(2000), 1)
	is.Equal(p.level(), 1)
	is.True(!p.falling())
	p = peak{}.observe(at(0), 7).observe(at(60_000), 2) // the level was 7 until this observation
	is.Equal(p.observe(at(61_000), 2).level(), 7)
	is.Equal(p.observe(at(62_000), 2).level(), 2)
}

// Guards against counting a job twice or not at all while its permit and the applied state differ.
func TestInUse(t *testing.T) {
	is := is.New(t)
	is.Equal(inUse(2, 0, 0, 0), 2)
	is.Equal(inUse(1, 0, 1, 1), 2) // an adopted job without a permit beside a request
	is.Equal(inUse(2, 1, 1, 1), 2) // the permit of the adopted job was acquired
	is.Equal(inUse(0, 0, 1, 0), 1) // the permit was released before the end of the job was applied
}
