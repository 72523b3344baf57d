package membership

import (
	"errors"
	"fmt"
	"time"
)

// Limits of a digest received from a peer. They are several times what 9 entry instances, 26 teams and 38 pools need.
const (
	maxDigestEntries  = 64
	maxEntryHolders   = 16
	maxEntryLoadCells = 8192
	maxCellCount      = 1 << 31
	maxNameBytes      = 256
	maxAgeMillis      = int64(24 * time.Hour / time.Millisecond)
)

// noLogContact is the LogAgeMillis of an instance that has never read the end of the log.
const noLogContact = -1

// Load holds the running and queued work of one entry instance, counted by pool and team. Its wire format is in
// load.go.
type Load struct {
	Running map[string]map[string]int
	Queued  map[string]map[string]int
}

// Usage is the running work of one holder, by team and by pool and team. It is used for fair sharing.
type Usage struct {
	Team     map[string]int
	PoolTeam map[string]map[string]int
}

// Entry is the state that one entry instance reports about itself. It contains ages in milliseconds and no times of
// day, because the clocks of different instances are not comparable.
type Entry struct {
	Name string `json:"name"`
	// Incarnation identifies the process. Counter increases with every entry that the process creates.
	Incarnation string `json:"incarnation"`
	Counter     uint64 `json:"counter"`
	// Holders lists the sessions of the process, the current one last. A lost session stays listed, because it may be open
	// in the log until it is revoked.
	Holders       []string `json:"holders"`
	Applied       uint64   `json:"applied"`
	ConfigVersion uint64   `json:"config_version"`
	// LogAgeMillis is the time from the last read of the end of the log to the creation of the entry, rounded down. It is
	// -1 if the instance has never read the end of the log.
	LogAgeMillis int64 `json:"log_age_ms"`
	// AgeMillis is the age of the entry when it was sent, rounded up. Each forwarder adds the time for which it held the
	// entry.
	AgeMillis int64 `json:"age_ms"`
	// Load is set only in entries that the instance itself sends. Forwarding it would add teams times pools counts per
	// member to each digest, which exceeds the 28 KB/s that control traffic may use.
	Load *Load `json:"load,omitempty"`
}

// validate returns an error for an entry that a correct peer would not send.
func (e *Entry) validate() error {
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

// validateDigest returns an error for a digest that a correct peer would not send.
func validateDigest(digest []Entry) error {
	if len(digest) > maxDigestEntries {
		return fmt.Errorf("digest of %d entries", len(digest))
	}
	for i := range digest {
		if err := digest[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// receivedEntry is an entry with the local time of its creation. In a view, madeAt is a lower bound, so that the age is
// never underestimated. For loads it is the time of receipt.
type receivedEntry struct {
	entry  Entry
	madeAt time.Time
}

// logDown reports whether the instance had no contact with the log when it created the entry.
func (h receivedEntry) logDown() bool {
	return h.entry.LogAgeMillis == noLogContact || h.entry.LogAgeMillis > logContactTimeout.Milliseconds()
}

// mergeLoads keeps the newest load of each incarnation. The transit time of a load is unknown, so its age counts from
// now.
func mergeLoads(loads map[string]receivedEntry, digest []Entry, now time.Time) {
	for _, entry := range digest {
		known, ok := loads[entry.Incarnation]
		if entry.Load != nil && (!ok || entry.Counter > known.entry.Counter) {
			loads[entry.Incarnation] = receivedEntry{entry: entry, madeAt: now}
		}
	}
}

// mergeDigest merges a digest into view, which is keyed by incarnation. base is a local time before the digest was
// sent, so that time on the network or in a paused process counts towards the age. The entry with the higher counter is
// kept; of two copies of an entry, the one with the tighter bound on its age is kept.
func mergeDigest(view map[string]receivedEntry, digest []Entry, base time.Time) {
	for _, entry := range digest {
		entry.Load = nil
		h := receivedEntry{entry: entry, madeAt: base.Add(-time.Duration(entry.AgeMillis) * time.Millisecond)}
		known, ok := view[entry.Incarnation]
		newer := h.entry.Counter > known.entry.Counter
		better := h.entry.Counter == known.entry.Counter && h.madeAt.After(known.madeAt)
		if !ok || newer || better {
			view[entry.Incarnation] = h
		}
	}
}

// digestOf returns the entries of view with their ages at now. Entries older than retention are omitted.
func digestOf(view map[string]receivedEntry, now time.Time, retention time.Duration) []Entry {
	digest := make([]Entry, 0, len(view))
	for _, h := range view {
		age := now.Sub(h.madeAt)
		if age > retention {
			continue
		}
		h.entry.AgeMillis = int64((age + time.Millisecond - 1) / time.Millisecond)
		digest = append(digest, h.entry)
	}
	return digest
}

// dropExpired removes entries older than retention, so that the view does not grow with every restart of an instance.
func dropExpired(view map[string]receivedEntry, now time.Time, retention time.Duration) {
	for incarnation, h := range view {
		if now.Sub(h.madeAt) > retention {
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

// total returns the sums over all pools and teams.
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

// loadChangedSignificantly reports whether the load must be sent to peers before the next heartbeat.
func loadChangedSignificantly(old, now Load) bool {
	oldRunning, oldQueued := old.total()
	running, queued := now.total()
	return differsSignificantly(oldRunning, running) || differsSignificantly(oldQueued, queued)
}

// differsSignificantly reports whether two counts differ by at least a quarter of the larger one and by at least 8,
// which is the number of slots of one worker.
func differsSignificantly(a, b int) bool {
	change := max(a-b, b-a)
	return change >= 8 && change*4 >= max(a, b)
}
