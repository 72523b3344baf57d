package leader

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
)

const (
	// memberInterval is the time between two records of a member, and memberAge the age beyond which a member counts as gone.
	memberInterval = 5 * time.Second
	memberAge      = 3 * memberInterval
	// firstMembersAfter is when the members are read again after a start: all entry instances of a deployment start together.
	firstMembersAfter = 400 * time.Millisecond
	// settledAge is the age from which on another's record shows that the deployment has not just started.
	settledAge = time.Second
	// idleReadInterval is the time between two reads of an entry instance that does not lead. It needs them only for its next claim, and
	// each read costs in proportion to the size of the deployment.
	idleReadInterval = time.Minute
	// unreadAfter is the time from which on an entry instance claims even if it could not read the members.
	unreadAfter = 1500 * time.Millisecond
	// refreshTimeout bounds a read of the members at the beginning of a term.
	refreshTimeout = 300 * time.Millisecond
)

// Member is an entry instance that has told of itself lately.
type Member struct {
	Name string
	Zone string
	// Relay is where it takes calls for workers on behalf of a leader.
	Relay string
	// CPUShare is the part of a core that it has.
	CPUShare float64
}

// memberRecord tells the others of an entry instance.
type memberRecord struct {
	CPUShare float64 `json:"cpu_share"`
	Zone     string  `json:"zone,omitempty"`
	Relay    string  `json:"relay,omitempty"`
	// AtMillis is the Unix time of the record in milliseconds.
	AtMillis int64 `json:"at_ms"`
}

// members knows the entry instances that are there: a large one leads, and the leader uses some as delegates.
type members struct {
	store store.Store
	topic string
	self  Member
	log   zerolog.Logger
	began time.Duration // boot clock

	mu   sync.Mutex // guards what follows
	list []Member
	read bool // the list is good enough for a claim
	term bool // this entry instance leads
	left bool // this entry instance stops
}

// run tells the others of this member and reads what they tell, until ctx is done.
func (m *members) run(ctx context.Context) {
	m.tell(ctx)
	if settled, err := m.refresh(ctx); err == nil && !settled {
		sleep.For(ctx, firstMembersAfter)
		_, _ = m.refresh(ctx)
	}
	m.noteRead()
	lastRead := bootclock.Now()
	for ctx.Err() == nil {
		sleep.For(ctx, memberInterval)
		m.tell(ctx)
		if m.leads() || bootclock.Now()-lastRead > idleReadInterval {
			lastRead = bootclock.Now()
			_, _ = m.refresh(ctx)
		}
	}
}

func (m *members) noteRead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.read = true
}

func (m *members) leads() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.term
}

func (m *members) setLeads(leads bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.term = leads
}

// known reports whether the members have been read, or could not be for so long that a claim should not wait any longer.
func (m *members) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.read || bootclock.Now()-m.began > unreadAfter
}

// snapshot returns the members as last read.
func (m *members) snapshot() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// largest returns the largest processor share of a member.
func (m *members) largest() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := m.self.CPUShare
	for _, x := range m.list {
		largest = max(largest, x.CPUShare)
	}
	return largest
}

func (m *members) tell(ctx context.Context) {
	m.mu.Lock()
	left := m.left
	m.mu.Unlock()
	if left {
		return
	}
	value, err := json.Marshal(memberRecord{CPUShare: m.self.CPUShare, Zone: m.self.Zone, Relay: m.self.Relay, AtMillis: time.Now().UnixMilli()})
	if err != nil {
		m.log.Error().Err(err).Str("event", "member_untold").Msg("this member's record cannot be encoded")
		return
	}
	m.append(ctx, value)
}

// leave drops this member's record, so that no leader chooses it while it stops.
func (m *members) leave(ctx context.Context) {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.append(ctx, nil)
}

func (m *members) append(ctx context.Context, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.store.Append(ctx, store.Append{Topic: m.topic, Records: []store.Record{{Key: m.self.Name, Value: value}}}); err != nil {
		m.log.Debug().Err(err).Str("event", "member_untold").Msg("this member's record could not be stored")
	}
}

// refresh reads the members. It reports whether the deployment has been running for a while.
func (m *members) refresh(ctx context.Context) (settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var records []store.Record
	after := ""
	for {
		page, err := m.store.ReadNewest(ctx, m.topic, partition, after)
		if err != nil {
			m.log.Debug().Err(err).Str("event", "members_unread").Msg("members could not be read")
			return false, err
		}
		records = append(records, page.Records...)
		if page.After == "" {
			break
		}
		after = page.After
	}
	list, settled := decodeMembers(records, m.self.Name, time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = list
	return settled, nil
}

// decodeMembers returns the members that have told of themselves lately, and whether another one has done so for longer than a start takes.
// Records that cannot be read name nobody.
func decodeMembers(records []store.Record, self string, now time.Time) (list []Member, settled bool) {
	for _, r := range records {
		var w memberRecord
		age := time.Duration(0)
		if json.Unmarshal(r.Value, &w) == nil {
			age = now.Sub(time.UnixMilli(w.AtMillis))
		}
		if w.AtMillis == 0 || age > memberAge {
			continue
		}
		settled = settled || r.Key != self && age > settledAge
		list = append(list, Member{Name: r.Key, Zone: w.Zone, Relay: w.Relay, CPUShare: w.CPUShare})
	}
	return list, settled
}
