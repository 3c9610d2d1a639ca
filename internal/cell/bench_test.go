package cell_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// BenchmarkStartCycle starts, runs and ends tasks with entries of 25. With 25
// starts in an entry, 5,000 starts a second need 200 appends a second.
func BenchmarkStartCycle(b *testing.B) {
	m, env := newBusyMachine(b, 1700, 42_000)
	const perEntry = 25
	bytes, starts := 0, 0
	apply := func(e journal.Entry) {
		bytes += len(e.Body)
		if err := env.apply(m, e); err != nil {
			b.Fatal(err)
		}
	}
	for i := 0; b.Loop(); i++ {
		job := fmt.Sprintf("burst-%d", i)
		_ = env.apply(m, cell.SubmitEntry(benchSpec(job, perEntry), 0))
		var list []cell.Start
		for index := range uint32(perEntry) {
			list = append(list, benchStart(job, index, 1, vmName((i*perEntry+int(index))%1700)))
		}
		e, _ := m.StartEntry(1, list)
		apply(e)
		apply(m.ReportEntry(1, reports(list, cell.AttemptRunning)))
		apply(m.ReportEntry(1, reports(list, cell.AttemptSucceeded)))
		starts += perEntry
	}
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(bytes)/float64(starts), "bytes/start-to-end")
}

// BenchmarkStartEntry measures only the entries with starts.
func BenchmarkStartEntry(b *testing.B) {
	for _, perJob := range []int{1, 25} {
		b.Run(fmt.Sprintf("%d-of-a-job", perJob), func(b *testing.B) {
			m, env := newBusyMachine(b, 1700, 42_000)
			const perEntry = 25
			bytes, starts := 0, 0
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				var list []cell.Start
				for k := range perEntry {
					job := fmt.Sprintf("burst-%d-%d", i, k/perJob)
					if k%perJob == 0 {
						_ = env.apply(m, cell.SubmitEntry(benchSpec(job, uint32(perJob)), 0))
					}
					list = append(list, benchStart(job, uint32(k%perJob), 1, vmName((i*perEntry+k)%1700)))
				}
				b.StartTimer()
				e, _ := m.StartEntry(1, list)
				if err := env.apply(m, e); err != nil {
					b.Fatal(err)
				}
				b.StopTimer()
				bytes += len(e.Body)
				starts += perEntry
				_ = env.apply(m, m.ReportEntry(1, reports(list, cell.AttemptSucceeded)))
				b.StartTimer()
			}
			b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
			b.ReportMetric(float64(bytes)/float64(starts), "bytes/start")
		})
	}
}

func reports(starts []cell.Start, status cell.AttemptStatus) []cell.Report {
	list := make([]cell.Report, len(starts))
	for i, s := range starts {
		list[i] = cell.Report{Task: s.Task, Attempt: s.Attempt, Status: status}
	}
	return list
}

// BenchmarkCancelPendingJobs cancels 100,000 pending jobs of 50 tasks with 1,000
// jobs in an entry. One operation is one job.
func BenchmarkCancelPendingJobs(b *testing.B) {
	const jobCount, perEntry = 100_000, 1000
	perJob := 0.0
	for b.Loop() {
		b.StopTimer()
		before := heapBytes()
		m, env := newMachine()
		ids := make([]api.JobID, jobCount)
		for i := range ids {
			ids[i] = api.JobID(fmt.Sprintf("wave-%06d", i))
			_ = env.apply(m, cell.SubmitEntry(benchSpec(string(ids[i]), 50), 0))
		}
		perJob = float64(heapBytes()-before) / jobCount
		b.StartTimer()
		for i := 0; i < jobCount; i += perEntry {
			if err := env.apply(m, cell.CancelEntry(ids[i:i+perEntry], 0)); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/jobCount, "ns/job")
	b.ReportMetric(perJob, "heap-bytes/pending-job") // including its ID
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range []struct{ vms, tasks int }{{1700, 42_000}, {18_000, 460_000}} {
		b.Run(fmt.Sprintf("%d-running", size.tasks), func(b *testing.B) {
			before := heapBytes()
			m, env := newBusyMachine(b, size.vms, size.tasks)
			perTask := float64(heapBytes()-before) / float64(size.tasks)
			var data []byte
			for b.Loop() {
				data, _ = m.Snapshot()
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.ReportMetric(perTask, "heap-bytes/task")
			runtime.KeepAlive(m)
			_ = env
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, size := range []struct{ vms, tasks int }{{1700, 42_000}, {18_000, 460_000}} {
		b.Run(fmt.Sprintf("%d-running", size.tasks), func(b *testing.B) {
			m, env := newBusyMachine(b, size.vms, size.tasks)
			data, _ := m.Snapshot()
			for b.Loop() {
				if err := cell.New(env, nil).Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
