package membership

import (
	"errors"
	"fmt"
	"time"
)

// Bounds of a digest that a peer sends. They are several times what 9 entry instances, 26 teams and 38 pools need.
const (
	maxDigestEntries  = 64
	maxEntryHolders   = 16
	maxEntryLoadCells = 8192
	maxCellCount      = 1 << 31
	maxNameBytes      = 256
	maxAgeMillis      = int64(24 * time.Hour / time.Millisecond)
)

// noLogContact is the LogAgeMillis of an instance that has not read the end of the log yet.
const noLogContact = -1

// Load is the work of one entry instance: counts by pool and team. load.go has its form on the wire.
type Load struct {
	Running map[string]map[string]int
	Queued  map[string]map[string]int
}

// Usage is the running work of one holder, for fair sharing.
type Usage struct {
	Team     map[string]int
	PoolTeam map[string]map[string]int
}

// Entry is what one entry instance says of itself. Ages are in milliseconds; they carry no time of day, because clocks of
// different instances are not compared.
type Entry struct {
	Name string `json:"name"`
	// Incarnation identifies the process. Counter grows with every entry that it makes.
	Incarnation string `json:"incarnation"`
	Counter     uint64 `json:"counter"`
	// Holders are the sessions of the process, the current one last. A session that the process has given up stays listed,
	// because the log may show it as open until it is revoked.
	Holders       []string `json:"holders"`
	Applied       uint64   `json:"applied"`
	ConfigVersion uint64   `json:"config_version"`
	// LogAgeMillis is the age of the last read of the end of the log when the entry was made, rounded down, or -1.
	LogAgeMillis int64 `json:"log_age_ms"`
	// AgeMillis is the age of the entry when it was sent, rounded up. Each forwarder adds the time it held the entry.
	AgeMillis int64 `json:"age_ms"`
	// Load is set only by the instance itself. Forwarded loads would make the digest grow with teams times pools for each
	// member, beyond the 28 KB/s that control may use.
	Load *Load `json:"load,omitempty"`
}

// check reports an error for an entry that no correct peer sends.
func (e *Entry) check() error {
	switch {
	case e.Name == "" || len(e.Name) > maxNameBytes || e.Incarnation == "" || len(e.Incarnation) > maxNameBytes:
		return errors.New("entry without a valid name and incarnation")
	case len(e.Holders) == 0 || len(e.Holders) > maxEntryHolders:
		return fmt.Errorf("entry of %s has %d holders", e.Name, len(e.Holders))
	case e.AgeMillis < 0 || e.AgeMillis > maxAgeMillis:
		return fmt.Errorf("entry of %s has an age of %d ms", e.Name, e.AgeMillis)
	case e.LogAgeMillis < noLogContact:
		return fmt.Errorf("entry of %s has a log contact age of %d ms", e.Name, e.LogAgeMillis)
	}
	if e.Load == nil {
		return nil
	}
	cells := 0
	for _, pools := range []map[string]map[string]int{e.Load.Running, e.Load.Queued} {
		for _, teams := range pools {
			cells += 1 + len(teams)
			for _, n := range teams {
				if n < 0 {
					return fmt.Errorf("entry of %s has a negative count", e.Name)
				}
			}
		}
	}
	if cells > maxEntryLoadCells {
		return fmt.Errorf("entry of %s has %d counts", e.Name, cells)
	}
	return nil
}

func checkDigest(digest []Entry) error {
	if len(digest) > maxDigestEntries {
		return fmt.Errorf("digest of %d entries", len(digest))
	}
	for i := range digest {
		if err := digest[i].check(); err != nil {
			return err
		}
	}
	return nil
}

// heard is an entry with the local time at which it was made, at the latest.
type heard struct {
	entry Entry
	made  time.Time
}

// logDown reports whether the entry shows that its instance had no contact with the log.
func (h heard) logDown() bool {
	return h.entry.LogAgeMillis == noLogContact || h.entry.LogAgeMillis > logDownAfter.Milliseconds()
}

// mergeLoads keeps the newest load of each incarnation. How long it was under way is not known, so it counts from now.
func mergeLoads(loads map[string]heard, digest []Entry, now time.Time) {
	for _, entry := range digest {
		known, ok := loads[entry.Incarnation]
		if entry.Load != nil && (!ok || entry.Counter > known.entry.Counter) {
			loads[entry.Incarnation] = heard{entry: entry, made: now}
		}
	}
}

// merge adds a digest to view, keyed by incarnation. base is a local time before the digest was sent, so that time on the
// network or in a paused process counts as age. The higher counter wins; of two copies the one with the better bound.
func merge(view map[string]heard, digest []Entry, base time.Time) {
	for _, entry := range digest {
		entry.Load = nil
		h := heard{entry: entry, made: base.Add(-time.Duration(entry.AgeMillis) * time.Millisecond)}
		known, ok := view[entry.Incarnation]
		newer := h.entry.Counter > known.entry.Counter
		better := h.entry.Counter == known.entry.Counter && h.made.After(known.made)
		if !ok || newer || better {
			view[entry.Incarnation] = h
		}
	}
}

// forwarded returns the entries of view with their ages at now. Entries older than keep are left out.
func forwarded(view map[string]heard, now time.Time, keep time.Duration) []Entry {
	digest := make([]Entry, 0, len(view))
	for _, h := range view {
		age := now.Sub(h.made)
		if age > keep {
			continue
		}
		h.entry.AgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
		digest = append(digest, h.entry)
	}
	return digest
}

// forget drops entries older than keep, so that the view does not grow with every restart of an instance.
func forget(view map[string]heard, now time.Time, keep time.Duration) {
	for incarnation, h := range view {
		if now.Sub(h.made) > keep {
			delete(view, incarnation)
		}
	}
}

// usage sums the running work by team.
func (l Load) usage() Usage {
	u := Usage{Team: map[string]int{}, PoolTeam: map[string]map[string]int{}}
	for pool, teams := range l.Running {
		u.PoolTeam[pool] = map[string]int{}
		for team, n := range teams {
			u.PoolTeam[pool][team] = n
			u.Team[team] += n
		}
	}
	return u
}

func (l Load) total() (running, queued int) {
	for _, teams := range l.Running {
		for _, n := range teams {
			running += n
		}
	}
	for _, teams := range l.Queued {
		for _, n := range teams {
			queued += n
		}
	}
	return running, queued
}

// changedMuch reports whether peers should learn of the load before the next heartbeat.
func changedMuch(old, now Load) bool {
	oldRunning, oldQueued := old.total()
	running, queued := now.total()
	return differsMuch(oldRunning, running) || differsMuch(oldQueued, queued)
}

// differsMuch is true for a change by a quarter of the larger count and at least 8, which is one worker's slots.
func differsMuch(a, b int) bool {
	change := max(a-b, b-a)
	return change >= 8 && change*4 >= max(a, b)
}
