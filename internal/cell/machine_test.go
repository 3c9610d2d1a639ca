package cell_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/cell"
	"github.com/skylarklock/skylarklock/internal/journal"
)

// world is the surroundings of a machine: the epoch and the rejections.
type world struct {
	epoch   api.Epoch
	counted map[api.Reason]int
	offset  uint32
}

func (w *world) CellEpoch() api.Epoch            { return w.epoch }
func (w *world) Inc(_ string, reason api.Reason) { w.counted[reason]++ }

func newMachine() (*cell.StateMachine, *world) {
	w := &world{epoch: 1, counted: map[api.Reason]int{}}
	return cell.New(w, w), w
}

func (w *world) apply(m *cell.StateMachine, e journal.Entry) error {
	w.offset++
	return m.Apply(journal.Position{Index: w.offset}, e)
}

// cores is an amount that only the processors bound.
func cores(n int64) api.Resources { return api.Resources{MilliCPU: 1000 * n} }

func task(job string, index uint32) api.TaskID {
	return api.TaskID{Job: api.JobID(job), Index: index}
}

func reasonOf(err error) api.Reason {
	var r *cell.Rejection
	if errors.As(err, &r) {
		return r.Reason
	}
	return ""
}

// setUp observes two VMs of 4 cores and submits a batch and a gang job.
func setUp(t testing.TB, m *cell.StateMachine, w *world) {
	t.Helper()
	seen := []cell.ObservedVM{{ID: "a", Rack: "r1", Capacity: cores(4)}, {ID: "b", Rack: "r2", Capacity: cores(4)}}
	for _, e := range []journal.Entry{
		cell.VMUpdateEntry(1, seen, nil),
		cell.SubmitEntry(api.JobSpec{ID: "batch", Class: api.ClassBatch, Tasks: 6, Resources: cores(1), MaxAttempts: 2}, 0),
		cell.SubmitEntry(api.JobSpec{ID: "gang", Class: api.ClassGang, Tasks: 3, Resources: cores(2)}, 0),
	} {
		if err := w.apply(m, e); err != nil {
			t.Fatal(err)
		}
	}
}

// Each start is checked where it stands, whatever its proposer knew.
func TestStartsAreCheckedWhenApplied(t *testing.T) {
	start := func(index, attempt uint32, vm api.VMID, n int64) cell.Start {
		return cell.Start{Task: task("batch", index), Attempt: attempt, VM: vm, Resources: cores(n)}
	}
	for _, tt := range []struct {
		name  string
		epoch api.Epoch
		start cell.Start
		want  api.Reason
	}{
		{"stale epoch", 0, start(1, 1, "b", 1), api.ReasonStaleEpoch},
		{"epoch of the future", 2, start(1, 1, "b", 1), api.ReasonStaleEpoch},
		{"held already", 1, start(0, 2, "b", 1), api.ReasonWrongState},
		{"attempt skipped", 1, start(1, 2, "b", 1), api.ReasonConflict},
		{"no room left", 1, start(1, 1, "a", 2), api.ReasonNoCapacity},
		{"nothing asked for", 1, start(1, 1, "b", 0), api.ReasonMalformed},
		{"no such task", 1, start(9, 1, "b", 1), api.ReasonUnknownJob},
		{"cancelled before", 1, cell.Start{Task: task("gone", 0), Attempt: 1, VM: "b", Resources: cores(1)}, api.ReasonCancelled},
		{"fits", 1, start(1, 1, "a", 1), ""},
	} {
		m, w := newMachine()
		setUp(t, m, w)
		prior, _ := m.StartEntry(1, []cell.Start{start(0, 1, "a", 3)})
		later, skipped := m.StartEntry(tt.epoch, []cell.Start{tt.start})
		if tt.want == api.ReasonCancelled {
			_ = w.apply(m, cell.SubmitEntry(api.JobSpec{ID: "gone", Tasks: 1, Resources: cores(1)}, 0))
			later, skipped = m.StartEntry(tt.epoch, []cell.Start{tt.start})
			_ = w.apply(m, cell.CancelEntry([]api.JobID{"gone"}, 0))
		}
		if err := w.apply(m, prior); err != nil || len(skipped) > 0 {
			t.Fatal(tt.name, err, skipped)
		}
		if got := reasonOf(w.apply(m, later)); got != tt.want {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
		if tt.want != "" && w.counted[tt.want] == 0 {
			t.Errorf("%s: not counted", tt.name)
		}
	}
}

// A gang whose last start doesn't fit leaves no claim behind.
func TestGangStartsAllOrNothing(t *testing.T) {
	m, w := newMachine()
	setUp(t, m, w)
	var events []cell.Event
	m.Subscribe(func(e []cell.Event) { events = append(events, e...) })
	gang := func(vms ...api.VMID) journal.Entry {
		var starts []cell.Start
		for i, vm := range vms {
			starts = append(starts, cell.Start{Task: task("gang", uint32(i)), Attempt: 1, VM: vm, Resources: cores(2), Gang: true})
		}
		e, _ := m.StartEntry(1, starts)
		return e
	}
	if got := reasonOf(w.apply(m, gang("a", "a", "a"))); got != api.ReasonNoCapacity {
		t.Fatal(got)
	}
	if got := reasonOf(w.apply(m, gang("a", "b"))); got != api.ReasonGangWaiting {
		t.Fatal("a part of a gang: ", got)
	}
	for _, e := range events {
		if e.Kind != cell.EventStartRejected {
			t.Errorf("%+v", e)
		}
	}
	if used := m.VMs()[0].Used; !used.IsZero() {
		t.Error("left behind: ", used)
	}
	if err := w.apply(m, gang("a", "b", "a")); err != nil {
		t.Fatal(err)
	}
	if pending := m.Pending("gang"); len(pending) > 0 || len(m.AllocatedTasks("gang")) != 3 {
		t.Error(pending, m.AllocatedTasks("gang"))
	}
}

func TestTaskFailsAfterMaxAttempts(t *testing.T) {
	m, w := newMachine()
	setUp(t, m, w)
	for attempt := uint32(1); attempt <= 2; attempt++ {
		e, _ := m.StartEntry(1, []cell.Start{{Task: task("batch", 0), Attempt: attempt, VM: "a", Resources: cores(1)}})
		if err := w.apply(m, e); err != nil {
			t.Fatal(err)
		}
		failed := cell.Report{Task: task("batch", 0), Attempt: attempt, Status: cell.AttemptFailed, Reason: api.ReasonTaskFailed}
		if err := w.apply(m, m.ReportEntry(1, []cell.Report{failed})); err != nil {
			t.Fatal(err)
		}
		if got := reasonOf(w.apply(m, m.ReportEntry(1, []cell.Report{failed}))); got != api.ReasonWrongState {
			t.Fatal("a doubled report: ", got)
		}
	}
	x, _ := m.ExplainTask(task("batch", 0))
	if x.Task.State != api.TaskFailed || x.Task.Reason != api.ReasonFailsEverywhere || len(x.Incidents) != 2 {
		t.Errorf("%+v", x)
	}
}

// A replacement runs beside the task it replaces, which then is not started
// again; the job keeps its size.
func TestReplacedTaskIsNotRestarted(t *testing.T) {
	m, w := newMachine()
	setUp(t, m, w)
	_ = w.apply(m, cell.SubmitEntry(api.JobSpec{ID: "svc", Class: api.ClassService, Tasks: 1, Resources: cores(1)}, 0))
	start := func(index uint32, vm api.VMID) {
		e, _ := m.StartEntry(1, []cell.Start{{Task: task("svc", index), Attempt: 1, VM: vm, Resources: cores(1)}})
		if err := w.apply(m, e); err != nil {
			t.Fatal(err)
		}
	}
	start(0, "a")
	replace, _ := m.ReplaceEntry(1, "svc", m.TasksOnVM("a"))
	if err := w.apply(m, replace); err != nil {
		t.Fatal(err)
	}
	if err := w.apply(m, replace); err == nil {
		t.Fatal("replaced twice")
	}
	start(1, "b")
	lost := cell.Report{Task: task("svc", 0), Attempt: 1, Status: cell.AttemptLost, Reason: api.ReasonWorkerLost}
	if err := w.apply(m, m.ReportEntry(1, []cell.Report{lost})); err != nil {
		t.Fatal(err)
	}
	job, _ := m.Job("svc")
	if job.Counts[api.TaskCancelled] != 1 || job.Counts[api.TaskStarting] != 1 || len(m.Pending("svc")) != 0 {
		t.Errorf("%+v", job.Counts)
	}
}

// Entries at random, many of them wrong, keep every VM within its capacity;
// a machine restored from a snapshot at any moment goes on exactly alike.
func TestReplayFromSnapshotIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		a, w := newMachine()
		setUp(t, a, w)
		b := (*cell.StateMachine)(nil)
		for step := range 400 {
			e := randomEntry(rng, a)
			errA := w.apply(a, e)
			if b != nil {
				if errB := b.Apply(journal.Position{Index: w.offset}, e); reasonOf(errA) != reasonOf(errB) {
					t.Fatalf("seed %d step %d: %v and %v", seed, step, errA, errB)
				}
			}
			if step == 150 {
				b = restored(t, a, w)
			}
			for _, vm := range a.VMs() {
				if !vm.Used.Fits(vm.Capacity) || vm.Used.HasNegative() {
					t.Fatalf("seed %d step %d: %+v", seed, step, vm)
				}
			}
		}
		imageA, _ := a.Snapshot()
		imageB, _ := b.Snapshot()
		if !bytes.Equal(imageA, imageB) {
			t.Fatalf("seed %d: snapshots differ", seed)
		}
	}
}

func restored(t *testing.T, m *cell.StateMachine, w *world) *cell.StateMachine {
	t.Helper()
	image, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	b := cell.New(w, nil)
	if err := b.Restore(image); err != nil {
		t.Fatal(err)
	}
	return b
}

// randomEntry draws entries that are valid about half of the time.
func randomEntry(rng *rand.Rand, m *cell.StateMachine) journal.Entry {
	jobs := []string{"batch", "gang", "x", "y"}
	id := task(jobs[rng.IntN(len(jobs))], uint32(rng.IntN(7)))
	vm := api.VMID([]string{"a", "b", "c"}[rng.IntN(3)])
	view, _ := m.Task(id)
	epoch := api.Epoch(1 + rng.IntN(20)/19)
	switch rng.IntN(13) {
	case 12:
		if rng.IntN(2) == 0 {
			return m.ConfirmMovesEntry(epoch, []api.JobID{id.Job})
		}
		return m.MoveJobsEntry(epoch, "bne2", []api.JobID{id.Job})
	case 0:
		class := []api.Class{api.ClassBatch, api.ClassService}[rng.IntN(2)]
		return cell.SubmitEntry(api.JobSpec{ID: id.Job, Class: class, Tasks: 1 + uint32(rng.IntN(6)), Resources: cores(1)}, 0)
	case 1:
		return cell.CancelEntry([]api.JobID{id.Job}, 0)
	case 2:
		if rng.IntN(3) == 0 {
			return cell.VMUpdateEntry(epoch, nil, []api.VMID{vm})
		}
		return cell.VMUpdateEntry(epoch, []cell.ObservedVM{{ID: vm, Rack: "r", Capacity: cores(4)}}, nil)
	case 3:
		return m.StopEntry(epoch, []cell.Stop{{Task: id, Attempt: view.Attempt, Checkpoint: rng.IntN(2) == 0, Reason: api.ReasonPreempted}})
	case 4:
		e, _ := m.ReplaceEntry(epoch, id.Job, m.TasksOnVM(vm))
		return e
	case 5, 6, 7:
		ending := cell.AttemptRunning + cell.AttemptStatus(rng.IntN(6))
		return m.ReportEntry(epoch, []cell.Report{{Task: id, Attempt: view.Attempt, Status: ending, Reason: api.ReasonWorkerLost}})
	}
	var starts []cell.Start
	for index := range uint32(1 + rng.IntN(4)) {
		v, _ := m.Task(task(string(id.Job), index))
		starts = append(starts, cell.Start{Task: v.Task, Attempt: v.Attempt + 1, VM: vm, Resources: cores(1 + int64(rng.IntN(2)))})
	}
	e, _ := m.StartEntry(epoch, starts)
	return e
}

// benchState fills a machine with running tasks, 25 to a VM.
func benchState(b *testing.B, vms, tasks int) (*cell.StateMachine, *world) {
	m, w := newMachine()
	var seen []cell.ObservedVM
	for i := range vms {
		seen = append(seen, cell.ObservedVM{ID: vmName(i), Rack: fmt.Sprint("r", i/8), Capacity: api.Resources{MilliCPU: 64_000, MemoryMB: 1 << 18}})
	}
	if err := w.apply(m, cell.VMUpdateEntry(1, seen, nil)); err != nil {
		b.Fatal(err)
	}
	const perJob = 50
	for i := range tasks / perJob {
		job := fmt.Sprintf("team-%02d/job-%06d", i%92, i)
		_ = w.apply(m, cell.SubmitEntry(benchSpec(job, perJob), 0))
		var starts []cell.Start
		for index := range uint32(perJob) {
			starts = append(starts, benchStart(job, index, 1, vmName((i*perJob+int(index))%vms)))
		}
		e, _ := m.StartEntry(1, starts)
		if err := w.apply(m, e); err != nil {
			b.Fatal(err)
		}
	}
	return m, w
}

func vmName(i int) api.VMID { return api.VMID(fmt.Sprintf("worker-%05d", i)) }

func benchSpec(job string, tasks uint32) api.JobSpec {
	return api.JobSpec{ID: api.JobID(job), Team: "team", Class: api.ClassBatch, Priority: 100, Tasks: tasks, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}, Payload: "appraise"}
}

func benchStart(job string, index, attempt uint32, vm api.VMID) cell.Start {
	return cell.Start{Task: task(job, index), Attempt: attempt, VM: vm, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}}
}
