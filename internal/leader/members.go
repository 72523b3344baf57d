package leader

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
)

const (
	// memberInterval is the time between two records of a member, and memberAge the age beyond which a member counts as gone.
	memberInterval = 5 * time.Second
	memberAge      = 3 * memberInterval
	// firstMembersAfter is when the members are read for the first time: all entry instances of a deployment start together.
	firstMembersAfter = 400 * time.Millisecond
)

// memberRecord tells the others how large an entry instance is.
type memberRecord struct {
	CPUShare float64 `json:"cpu_share"`
	// AtMillis is the Unix time of the record in milliseconds.
	AtMillis int64 `json:"at_ms"`
}

// members keeps the largest processor share among the entry instances that are there, so that a large one leads.
type members struct {
	store store.Store
	topic string
	name  string
	share float64
	log   zerolog.Logger
	// largest is written by run and read by the election, under the election's mutex.
	publish func(largest float64)
}

// run tells the others of this member and reads what they tell, until ctx is done.
func (m *members) run(ctx context.Context) {
	m.tell(ctx)
	sleep.For(ctx, firstMembersAfter)
	for ctx.Err() == nil {
		if largest, err := m.read(ctx); err == nil {
			m.publish(largest)
		} else {
			m.log.Debug().Err(err).Str("event", "members_unread").Msg("members could not be read")
		}
		sleep.For(ctx, memberInterval)
		m.tell(ctx)
	}
}

func (m *members) tell(ctx context.Context) {
	value, err := json.Marshal(memberRecord{CPUShare: m.share, AtMillis: time.Now().UnixMilli()})
	if err != nil {
		m.log.Error().Err(err).Str("event", "member_untold").Msg("this member's record cannot be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.store.Append(ctx, store.Append{Topic: m.topic, Records: []store.Record{{Key: m.name, Value: value}}}); err != nil {
		m.log.Debug().Err(err).Str("event", "member_untold").Msg("this member's record could not be stored")
	}
}

// read returns the largest processor share of a member that is there.
func (m *members) read(ctx context.Context) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	largest, after := m.share, ""
	for {
		page, err := m.store.ReadNewest(ctx, m.topic, partition, after)
		if err != nil {
			return 0, err
		}
		largest = max(largest, largestShare(page.Records, time.Now()))
		if page.After == "" {
			return largest, nil
		}
		after = page.After
	}
}

// largestShare ignores members that have not told of themselves lately, and records that cannot be read.
func largestShare(records []store.Record, now time.Time) float64 {
	largest := 0.0
	for _, r := range records {
		var w memberRecord
		if json.Unmarshal(r.Value, &w) != nil || now.Sub(time.UnixMilli(w.AtMillis)) > memberAge {
			continue
		}
		largest = max(largest, w.CPUShare)
	}
	return largest
}
