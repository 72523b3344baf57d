// Package claim reserves the IDs of jobs for the client accounts that submit them, so that a job never takes the place
// of an accepted job of another account.
//
// A claim of an ID is an append with a producer that is named after the ID, whose sequence number stands for the owner.
// The store accepts the first one, answers a repeat of the same owner as it answered the first, and refuses any other
// owner, because the sequence number does not follow. An ID has a few replicas in separate partitions. An owner holds
// the ID once a majority of them has accepted its claim, so one partition may be unavailable, and two owners never both
// hold it.
package claim

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"pollenlead/internal/store"
)

const (
	// replicas is the number of partitions with a claim of an ID, and majority how many have to accept it.
	replicas = 3
	majority = 2
	// replicaTimeout bounds one append of a claim. A slow store answers within it.
	replicaTimeout = 1400 * time.Millisecond
	// spareDelay is the time without a decision after which the last replica is asked as well.
	spareDelay = 300 * time.Millisecond
	// claimEpoch is the epoch of all claims; the sequence number tells the owners apart.
	claimEpoch = 1
	// ownerBits is the size of the number of an owner, which numbers of JSON hold exactly.
	ownerBits = 52
)

var (
	// ErrTaken means that another owner holds the ID.
	ErrTaken = errors.New("claim: the ID belongs to another client account or queue")
	// ErrUnavailable means that too few replicas have answered. The ID may be claimed again by the same owner.
	ErrUnavailable = errors.New("claim: too few partitions of the store have answered")
)

// Claims reserves IDs.
type Claims struct {
	// Store holds the topics.
	Store store.Store
	// Topics hold the claims, in Partitions partitions each. Records may expire there. A partition processes one append
	// at a time, and claims cannot share one, so many partitions keep claims from waiting at a slow store.
	Topics     []string
	Partitions int
}

// Claim reserves an ID for an owner. It returns nil if the owner holds the ID, also by an earlier call, ErrTaken or
// ErrUnavailable.
func (c *Claims) Claim(ctx context.Context, id, owner string) error {
	ctx, cancel := context.WithTimeout(ctx, replicaTimeout)
	defer cancel()
	number := ownerNumber(owner)
	answers := make(chan error, replicas)
	ask := func(p replica) { go func() { answers <- c.append(ctx, p, id, number) }() }
	targets := c.replicasOf(id)
	for _, p := range targets[:majority] {
		ask(p)
	}
	spare := time.NewTimer(spareDelay)
	defer spare.Stop()
	asked := majority
	var t tally
	for {
		select {
		case err := <-answers:
			t.add(err)
		case <-spare.C:
			t.late = true
		}
		if err, decided := t.outcome(); decided {
			return err
		}
		if asked < replicas && t.needsSpare() {
			ask(targets[asked])
			asked++
		}
	}
}

// append claims the ID at one replica.
func (c *Claims) append(ctx context.Context, p replica, id string, owner int64) error {
	_, err := c.Store.Append(ctx, store.Append{
		Topic: p.topic, Partition: p.partition, Records: []store.Record{{Key: id, Value: []byte{1}}},
		Producer: &store.Producer{Name: id, Epoch: claimEpoch, Sequence: owner},
	})
	return err
}

// tally counts the answers of the replicas.
type tally struct {
	accepted, taken, failed int
	// late means that a replica has not answered within spareDelay.
	late  bool
	cause error
}

// add counts one answer.
func (t *tally) add(err error) {
	var other *store.SequenceError
	switch {
	case err == nil:
		t.accepted++
	case errors.As(err, &other):
		t.taken++
	default:
		t.failed++
		t.cause = err
	}
}

// outcome returns the outcome of a claim, once the answers decide it.
func (t *tally) outcome() (err error, decided bool) {
	switch {
	case t.accepted >= majority:
		return nil, true
	case t.taken > replicas-majority:
		return ErrTaken, true
	case t.accepted+t.taken+t.failed == replicas && t.failed > 0:
		return fmt.Errorf("%w: %d accepted, %d taken: %w", ErrUnavailable, t.accepted, t.taken, t.cause), true
	}
	return nil, false
}

// needsSpare reports whether the last replica has to be asked.
func (t *tally) needsSpare() bool { return t.late || t.taken > 0 || t.failed > 0 }

// replica is one partition that holds a claim of an ID.
type replica struct {
	topic     string
	partition int
}

// replicasOf returns the replicas of an ID. They differ in topic and partition as far as there are enough of them.
func (c *Claims) replicasOf(id string) [replicas]replica {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	first := int(h.Sum64() % uint64(len(c.Topics)*c.Partitions))
	var list [replicas]replica
	for n := range list {
		list[n] = replica{c.Topics[(first+n)%len(c.Topics)], (first/len(c.Topics) + n) % c.Partitions}
	}
	return list
}

// ownerNumber returns the sequence number that stands for an owner.
func ownerNumber(owner string) int64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(owner))
	return int64(h.Sum64()>>(64-ownerBits)) + 1
}
