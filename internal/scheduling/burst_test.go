package scheduling

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// burstJob is a job of a replayed burst. It has one step, and all its tasks take the same time.
type burstJob struct {
	job       *workload.Job
	work      float64
	objective time.Time
	duration  time.Duration
	ends      []time.Time // of its started tasks
}

// newBurst returns jobs that arrive within five seconds. Their number per second rises within three seconds to about
// twice what the pool can run then.
func newBurst(random *rand.Rand) []*burstJob {
	var jobs []*burstJob
	for second, perSecond := range []int{5, 15, 30, 45, 45} {
		for i := range perSecond {
			at := moment.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond))
			duration := time.Duration(500+random.IntN(1500)) * time.Millisecond
			step := fleet.Step{
				Count: 2 + random.IntN(12), Need: fleet.Resources{CPUMilli: int64(1500 + random.IntN(4000))}, Estimate: duration,
			}
			j := workload.NewJob(fmt.Sprint("j", len(jobs)), "q", "pool", "", &fleet.JobSpec{Steps: []fleet.Step{step}}, at)
			j.Advance(at, 0)
			jobs = append(jobs, &burstJob{
				job: j, duration: duration, objective: at.Add(duration*8/5 + 600*time.Millisecond),
				work: float64(step.Need.CPUMilli) * float64(step.Count) * duration.Seconds(),
			})
		}
	}
	return jobs
}

// replay runs a burst and returns the number of jobs that were done within their objective. The pool has five workers,
// and seven more come two seconds later, when instances that were ordered at the beginning have been moved. rank returns
// the rank of a job that arrived.
func replay(jobs []*burstJob, rank func(*burstJob, time.Time) Rank) (inTime int) {
	const tick = 50 * time.Millisecond
	free := map[string]int64{}
	for i := range 5 {
		free[fmt.Sprint("w", i)] = 32000
	}
	type end struct {
		at     time.Time
		worker string
		cpu    int64
	}
	var ends []end
	for now := moment; now.Before(moment.Add(20 * time.Second)); now = now.Add(tick) {
		if now.Equal(moment.Add(2 * time.Second)) {
			for i := range 7 {
				free[fmt.Sprint("w", 5+i)] = 32000
			}
		}
		running := ends[:0]
		for _, e := range ends {
			if e.at.After(now) {
				running = append(running, e)
			} else {
				free[e.worker] += e.cpu
			}
		}
		ends = running
		var workers []*Worker
		for i := range len(free) {
			id := fmt.Sprint("w", i)
			workers = append(workers, newWorker(id, free[id]))
		}
		var wants []PendingStep
		byID := map[string]*burstJob{}
		for _, b := range jobs {
			s := b.job.Occurrences[0].Steps[0]
			if b.job.Submitted.After(now) || len(b.ends) == len(s.Tasks) {
				continue
			}
			byID[b.job.ID] = b
			wants = append(wants, PendingStep{Step: s, Tasks: s.Tasks[len(b.ends):], Rank: rank(b, now)})
		}
		for _, p := range Plan(workers, wants, Limits{}) {
			b := byID[p.Task.Step.Job.ID]
			at := now.Add(b.duration)
			b.ends = append(b.ends, at)
			ends = append(ends, end{at, p.Worker.ID, p.Task.Step.Spec.Need.CPUMilli})
			free[p.Worker.ID] -= p.Task.Step.Spec.Need.CPUMilli
		}
	}
	for _, b := range jobs {
		if len(b.ends) == len(b.job.Occurrences[0].Steps[0].Tasks) && !b.ends[len(b.ends)-1].After(b.objective) {
			inTime++
		}
	}
	return inTime
}

// TestSmallestWorkFirstServesMore guards against an order that serves most jobs of a burst a moment too late. It
// replays the first seconds of a burst, in which instances are still being moved to the pool.
func TestSmallestWorkFirstServesMore(t *testing.T) {
	is := is.New(t)
	smallestFirst, bySlack := 0, 0
	for seed := range uint64(5) {
		rank := func(b *burstJob, now time.Time) Rank {
			r := Rank{Tier: TierOnTime, Slack: b.objective.Sub(now) - b.duration, Submitted: b.job.Submitted}
			if r.Slack < 0 {
				r.Tier = TierLate
			}
			return r
		}
		bySlack += replay(newBurst(rand.New(rand.NewPCG(seed, 1))), rank)
		smallestFirst += replay(newBurst(rand.New(rand.NewPCG(seed, 1))), func(b *burstJob, now time.Time) Rank {
			r := rank(b, now)
			r.Work = b.work
			return r
		})
	}
	t.Logf("in time of 700 jobs: %d with the smallest work first, %d by slack", smallestFirst, bySlack)
	is.True(smallestFirst > bySlack)
}
