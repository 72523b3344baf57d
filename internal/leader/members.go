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
	// memberInterval is the interval between the records of a member. memberTTL is the age beyond which a member is
	// considered gone.
	memberInterval = 5 * time.Second
	memberTTL      = 3 * memberInterval
	// secondReadDelay is the delay of the second read of the members after a start: all entry instances of a
	// deployment start at about the same time.
	secondReadDelay = 400 * time.Millisecond
	// minSettledAge is the age of another member's record that shows that the deployment has not just started.
	minSettledAge = time.Second
	// followerReadInterval is the interval at which an entry instance that does not lead reads the members. It needs
	// them only for its next claim, and the cost of each read grows with the size of the deployment.
	followerReadInterval = time.Minute
	// maxMemberLead is how far a member's clock may be ahead. A record from later on would never expire.
	maxMemberLead = time.Hour
	// maxCPUShare is more than any entry instance has. A record with a larger share would make every leader hand over.
	maxCPUShare = 1024
	// handOverReadInterval is the interval at which a leader reads the members while a listed one has a much larger CPU
	// share.
	handOverReadInterval = 500 * time.Millisecond
	// promptDelay is the delay of an announcement that a new leader prompts. It is longer than the leader's first read of
	// the members takes, because only later announcements count for the hand-over.
	promptDelay = time.Second
	// membersTimeout is the time after which an entry instance claims even if it could not read the members.
	membersTimeout = 1500 * time.Millisecond
	// refreshTimeout bounds the read of the members at the beginning of a term.
	refreshTimeout = 300 * time.Millisecond
)

// Member is an entry instance that has recently announced itself.
type Member struct {
	Name string
	Zone string
	// Relay is the address at which the member relays calls to workers on behalf of a leader.
	Relay string
	// CPUShare is the fraction of a core that the member has.
	CPUShare float64
	// MemoryMB is the memory of the member; 0 if it is not known.
	MemoryMB int
}

// memberRecord is the stored record by which an entry instance announces itself.
type memberRecord struct {
	CPUShare float64 `json:"cpu_share"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	Relay    string  `json:"relay,omitempty"`
	// AtMillis is the Unix time of the record in milliseconds.
	AtMillis int64 `json:"at_ms"`
}

// members tracks the entry instances that are running: the one with the largest CPU share should lead, and the leader
// uses some of the others as delegates.
type members struct {
	store     store.Store
	topic     string
	self      Member
	log       zerolog.Logger
	startedAt time.Duration // boot clock
	// leaderMemoryMB returns the memory that a leader needs; nil if every member has enough.
	leaderMemoryMB func() int
	// prompted asks for an announcement before its time, and woken ends the wait for the next one.
	prompted, woken chan struct{}

	mu      sync.Mutex // guards the following fields
	list    []Member
	ready   bool // the list is good enough for a claim
	leading bool // this entry instance leads
	leaving bool // this entry instance stops
	// termStart is the end of the topic at the first read of this entry instance's term, or -1 before that read.
	termStart int64
	// largestInTerm is the largest CPU share of a member that has announced itself since termStart.
	largestInTerm float64
}

// run announces this member and reads the other members until ctx is done.
func (m *members) run(ctx context.Context) {
	m.announce(ctx)
	if settled, err := m.refresh(ctx); err == nil && !settled {
		sleep.For(ctx, secondReadDelay)
		_, _ = m.refresh(ctx)
	}
	m.markReady()
	lastRead := bootclock.Now()
	announceAt := lastRead + memberInterval
	for ctx.Err() == nil {
		if m.wait(ctx, announceAt) {
			announceAt = min(announceAt, bootclock.Now()+promptDelay)
			continue
		}
		if bootclock.Now() >= announceAt {
			announceAt = bootclock.Now() + memberInterval
			m.announce(ctx)
		}
		if m.isLeading() || bootclock.Now()-lastRead > followerReadInterval {
			lastRead = bootclock.Now()
			_, _ = m.refresh(ctx)
		}
	}
}

// wait waits until the given boot clock, for a shorter time while this entry instance seeks a successor, until a term
// of this entry instance begins, or until an announcement is asked for, in which case it returns true.
func (m *members) wait(ctx context.Context, until time.Duration) (prompted bool) {
	left := until - bootclock.Now()
	if m.seeksSuccessor() {
		left = min(left, handOverReadInterval)
	}
	timer := time.NewTimer(max(left, 0))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.woken:
	case <-m.prompted:
		return true
	}
	return false
}

// prompt asks for an announcement of this member if it would be a better leader than the given one. Announcements are
// rare, and a small leader hands over only to a member that has announced itself during its term.
func (m *members) prompt(leader record) {
	if leader.CPUShare >= handOverFraction*m.self.CPUShare || leader.CPUShare == 0 {
		return // earlier versions do not state their share
	}
	notify(m.prompted)
}

// notify sends to a channel of capacity 1 unless a notification is waiting there.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// seeksSuccessor reports whether this entry instance leads and has a much smaller CPU share than a listed member.
func (m *members) seeksSuccessor() bool {
	return m.isLeading() && m.self.CPUShare < handOverFraction*m.largest()
}

func (m *members) markReady() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ready = true
}

func (m *members) isLeading() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leading
}

// setLeading records the beginning or the end of a term of this entry instance.
func (m *members) setLeading(leading bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leading, m.termStart, m.largestInTerm = leading, -1, 0
	notify(m.woken)
}

// mayHandOver reports whether this entry instance, which leads, is small beside a member that has announced itself
// during its term. The record of a member that was killed before the term lasts for memberTTL, and nobody would take
// over for it.
func (m *members) mayHandOver() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self.CPUShare < handOverFraction*m.largestInTerm
}

// known reports whether the members have been read, or whether reading them has failed for so long that claims no
// longer wait for it.
func (m *members) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ready || bootclock.Now()-m.startedAt > membersTimeout
}

// snapshot returns the members as of the last read.
func (m *members) snapshot() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// leastMemory returns the memory in MB that a leader needs.
func (m *members) leastMemory() int {
	if m.leaderMemoryMB == nil {
		return 0
	}
	return m.leaderMemoryMB()
}

// mayLead reports whether a member has the memory that a leader needs, or has not told how much it has.
func (x Member) mayLead(leastMB int) bool { return x.MemoryMB == 0 || x.MemoryMB >= leastMB }

// largest returns the largest CPU share of a member that may lead.
func (m *members) largest() float64 {
	least := m.leastMemory()
	m.mu.Lock()
	defer m.mu.Unlock()
	largest := m.self.CPUShare
	for _, x := range m.list {
		if x.mayLead(least) {
			largest = max(largest, x.CPUShare)
		}
	}
	return largest
}

func (m *members) announce(ctx context.Context) {
	m.mu.Lock()
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		return
	}
	value, err := json.Marshal(memberRecord{
		CPUShare: m.self.CPUShare, MemoryMB: m.self.MemoryMB, Zone: m.self.Zone, Relay: m.self.Relay,
		AtMillis: time.Now().UnixMilli(),
	})
	if err != nil {
		m.log.Error().Err(err).Str("event", "member_untold").Msg("record of this member cannot be encoded")
		return
	}
	m.append(ctx, value)
}

// leave deletes this member's record, so that no leader chooses it as a delegate while it stops.
func (m *members) leave(ctx context.Context) {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.append(ctx, nil)
}

func (m *members) append(ctx context.Context, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records := []store.Record{{Key: m.self.Name, Value: value}}
	if _, err := m.store.Append(ctx, store.Append{Topic: m.topic, Records: records}); err != nil {
		m.log.Debug().Err(err).Str("event", "member_untold").Msg("record of this member could not be stored")
	}
}

// refresh reads the members. It reports whether the deployment has been running for some time.
func (m *members) refresh(ctx context.Context) (settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var records []store.Record
	after, end := "", int64(-1)
	for {
		page, err := m.store.ReadNewest(ctx, m.topic, partition, after)
		if err != nil {
			m.log.Debug().Err(err).Str("event", "members_unread").Msg("members could not be read")
			return false, err
		}
		if end < 0 {
			end = page.End
		}
		records = append(records, page.Records...)
		if page.After == "" || page.After == after {
			break
		}
		after = page.After
	}
	now := time.Now()
	list, settled := decodeMembers(records, m.self.Name, now)
	least := m.leastMemory()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = list
	if !m.leading {
		return settled, nil
	}
	if m.termStart < 0 {
		m.termStart = end
	}
	announced := slices.DeleteFunc(records, func(r store.Record) bool { return r.Offset < m.termStart })
	inTerm, _ := decodeMembers(announced, m.self.Name, now)
	for _, x := range inTerm {
		if x.mayLead(least) {
			m.largestInTerm = max(m.largestInTerm, x.CPUShare)
		}
	}
	return settled, nil
}

// decodeMembers returns the members that have recently announced themselves, and whether another one did so longer
// ago than a start takes. Records that no member writes are skipped.
func decodeMembers(records []store.Record, self string, now time.Time) (list []Member, settled bool) {
	for _, r := range records {
		var w memberRecord
		if json.Unmarshal(r.Value, &w) != nil {
			continue
		}
		age := now.Sub(time.UnixMilli(w.AtMillis))
		if w.AtMillis == 0 || age > memberTTL || age < -maxMemberLead || w.CPUShare < 0 || w.CPUShare > maxCPUShare ||
			r.Key == "" {
			continue
		}
		settled = settled || r.Key != self && age > minSettledAge
		list = append(list, Member{
			Name: r.Key, Zone: w.Zone, Relay: w.Relay, CPUShare: w.CPUShare, MemoryMB: max(w.MemoryMB, 0),
		})
	}
	return list, settled
}
