package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// BenchmarkLargeJob measures what one end of a task costs a leader, for a job whose tasks all run: the decision, and
// the record of the change. It reports the bytes of one append.
func BenchmarkLargeJob(b *testing.B) {
	for _, tasks := range []int{32, 1000, 10_000} {
		b.Run(fmt.Sprint(tasks, "-tasks"), func(b *testing.B) {
			d := newFixture(10)
			defer d.stop()
			j := d.addJob("0011223344556677", fleet.Step{
				Count: tasks, Need: fleet.Resources{CPUMilli: 10}, Estimate: 600 * time.Millisecond, LongRunning: true,
			})
			d.place()
			d.collectBatch()
			bytes, n := 0, 0
			for b.Loop() {
				task := j.Task(0, 0, n*7919%tasks)
				run := task.Runs[0]
				run.Released, run.Phase = true, workload.RunActive
				a := d.agent(run.Worker)
				d.applyEnd(a, worker.End{Number: a.seenEnd + 1, Task: task.Name(), Run: run.Number, Kind: worker.EndLapsed})
				d.dirty["pool"] = true
				d.place()
				for _, r := range d.collectBatch().records() {
					bytes += len(r.Value)
				}
				n++
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/append")
		})
	}
}
