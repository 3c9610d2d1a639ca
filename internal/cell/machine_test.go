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

// testEnv provides the epoch of the cell shard and counts rejections.
type testEnv struct {
	epoch      api.Epoch
	rejections map[api.Reason]int
	offset     uint32
}

func (env *testEnv) CellEpoch() api.Epoch            { return env.epoch }
func (env *testEnv) Inc(_ string, reason api.Reason) { env.rejections[reason]++ }

func newMachine() (*cell.StateMachine, *testEnv) {
	env := &testEnv{epoch: 1, rejections: map[api.Reason]int{}}
	return cell.New(env, env), env
}

func (env *testEnv) apply(m *cell.StateMachine, e journal.Entry) error {
	env.offset++
	return m.Apply(journal.Position{Index: env.offset}, e)
}

// cores returns n processor cores without memory.
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

// addVMsAndJobs adds two VMs with 4 cores, a batch job and a gang job.
func addVMsAndJobs(t testing.TB, m *cell.StateMachine, env *testEnv) {
	t.Helper()
	observed := []cell.ObservedVM{{ID: "a", Rack: "r1", Capacity: cores(4)}, {ID: "b", Rack: "r2", Capacity: cores(4)}}
	for _, e := range []journal.Entry{
		cell.VMUpdateEntry(1, observed, nil),
		cell.SubmitEntry(api.JobSpec{ID: "batch", Class: api.ClassBatch, Tasks: 6, Resources: cores(1), MaxAttempts: 2}, 0),
		cell.SubmitEntry(api.JobSpec{ID: "gang", Class: api.ClassGang, Tasks: 3, Resources: cores(2)}, 0),
	} {
		if err := env.apply(m, e); err != nil {
			t.Fatal(err)
		}
	}
}

// Starts are checked against the state when they are applied, not when they were
// proposed.
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
		{"future epoch", 2, start(1, 1, "b", 1), api.ReasonStaleEpoch},
		{"task holds a VM", 1, start(0, 2, "b", 1), api.ReasonWrongState},
		{"attempt skipped", 1, start(1, 2, "b", 1), api.ReasonConflict},
		{"no capacity left", 1, start(1, 1, "a", 2), api.ReasonNoCapacity},
		{"no resources requested", 1, start(1, 1, "b", 0), api.ReasonMalformed},
		{"unknown task", 1, start(9, 1, "b", 1), api.ReasonUnknownJob},
		{"cancelled job", 1, cell.Start{Task: task("gone", 0), Attempt: 1, VM: "b", Resources: cores(1)}, api.ReasonCancelled},
		{"fits", 1, start(1, 1, "a", 1), ""},
	} {
		m, env := newMachine()
		addVMsAndJobs(t, m, env)
		prior, _ := m.StartEntry(1, []cell.Start{start(0, 1, "a", 3)})
		later, skipped := m.StartEntry(tt.epoch, []cell.Start{tt.start})
		if tt.want == api.ReasonCancelled {
			_ = env.apply(m, cell.SubmitEntry(api.JobSpec{ID: "gone", Tasks: 1, Resources: cores(1)}, 0))
			later, skipped = m.StartEntry(tt.epoch, []cell.Start{tt.start})
			_ = env.apply(m, cell.CancelEntry([]api.JobID{"gone"}, 0))
		}
		if err := env.apply(m, prior); err != nil || len(skipped) > 0 {
			t.Fatal(tt.name, err, skipped)
		}
		if got := reasonOf(env.apply(m, later)); got != tt.want {
			t.Errorf("%s: got reason %q, want %q", tt.name, got, tt.want)
		}
		if tt.want != "" && env.rejections[tt.want] == 0 {
			t.Errorf("%s: rejection not counted", tt.name)
		}
	}
}

// A rejected gang leaves no allocation behind, even if only its last start doesn't fit.
func TestGangStartsAllOrNothing(t *testing.T) {
	m, env := newMachine()
	addVMsAndJobs(t, m, env)
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
	if got := reasonOf(env.apply(m, gang("a", "a", "a"))); got != api.ReasonNoCapacity {
		t.Fatal(got)
	}
	if got := reasonOf(env.apply(m, gang("a", "b"))); got != api.ReasonGangWaiting {
		t.Fatal("incomplete gang: got reason ", got)
	}
	for _, e := range events {
		if e.Kind != cell.EventStartRejected {
			t.Errorf("unexpected event %+v", e)
		}
	}
	if used := m.VMs()[0].Used; !used.IsZero() {
		t.Error("resources used after rejected gangs: ", used)
	}
	if err := env.apply(m, gang("a", "b", "a")); err != nil {
		t.Fatal(err)
	}
	if pending := m.Pending("gang"); len(pending) > 0 || len(m.AllocatedTasks("gang")) != 3 {
		t.Error(pending, m.AllocatedTasks("gang"))
	}
}

func TestTaskFailsAfterMaxAttempts(t *testing.T) {
	m, env := newMachine()
	addVMsAndJobs(t, m, env)
	for attempt := uint32(1); attempt <= 2; attempt++ {
		e, _ := m.StartEntry(1, []cell.Start{{Task: task("batch", 0), Attempt: attempt, VM: "a", Resources: cores(1)}})
		if err := env.apply(m, e); err != nil {
			t.Fatal(err)
		}
		failed := cell.Report{Task: task("batch", 0), Attempt: attempt, Status: cell.AttemptFailed, Reason: api.ReasonTaskFailed}
		if err := env.apply(m, m.ReportEntry(1, []cell.Report{failed})); err != nil {
			t.Fatal(err)
		}
		if got := reasonOf(env.apply(m, m.ReportEntry(1, []cell.Report{failed}))); got != api.ReasonWrongState {
			t.Fatal("repeated report: got reason ", got)
		}
	}
	x, _ := m.ExplainTask(task("batch", 0))
	if x.Task.State != api.TaskFailed || x.Task.Reason != api.ReasonFailsEverywhere || len(x.Incidents) != 2 {
		t.Errorf("unexpected explanation %+v", x)
	}
}

// A replacement runs beside the task that it replaces. When the replaced task is
// lost, it is not started again, and the job keeps its number of tasks.
func TestReplacedTaskIsNotRestarted(t *testing.T) {
	m, env := newMachine()
	addVMsAndJobs(t, m, env)
	_ = env.apply(m, cell.SubmitEntry(api.JobSpec{ID: "svc", Class: api.ClassService, Tasks: 1, Resources: cores(1)}, 0))
	start := func(index uint32, vm api.VMID) {
		e, _ := m.StartEntry(1, []cell.Start{{Task: task("svc", index), Attempt: 1, VM: vm, Resources: cores(1)}})
		if err := env.apply(m, e); err != nil {
			t.Fatal(err)
		}
	}
	start(0, "a")
	replace, _ := m.ReplaceEntry(1, "svc", m.TasksOnVM("a"))
	if err := env.apply(m, replace); err != nil {
		t.Fatal(err)
	}
	if err := env.apply(m, replace); err == nil {
		t.Fatal("the same task was replaced twice")
	}
	start(1, "b")
	lost := cell.Report{Task: task("svc", 0), Attempt: 1, Status: cell.AttemptLost, Reason: api.ReasonWorkerLost}
	if err := env.apply(m, m.ReportEntry(1, []cell.Report{lost})); err != nil {
		t.Fatal(err)
	}
	job, _ := m.Job("svc")
	if job.Counts[api.TaskCancelled] != 1 || job.Counts[api.TaskStarting] != 1 || len(m.Pending("svc")) != 0 {
		t.Errorf("unexpected task counts %+v", job.Counts)
	}
}

// Random entries, many of them invalid, never exceed the capacity of a VM. A state
// machine restored from a snapshot accepts and rejects the same later entries and
// ends in the same state.
func TestReplayFromSnapshotIsDeterministic(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 7))
		a, env := newMachine()
		addVMsAndJobs(t, a, env)
		b := (*cell.StateMachine)(nil)
		for step := range 400 {
			e := randomEntry(rng, a)
			errA := env.apply(a, e)
			if b != nil {
				if errB := b.Apply(journal.Position{Index: env.offset}, e); reasonOf(errA) != reasonOf(errB) {
					t.Fatalf("seed %d step %d: original returned %v, restored copy %v", seed, step, errA, errB)
				}
			}
			if step == 150 {
				b = restoreSnapshot(t, a, env)
			}
			for _, vm := range a.VMs() {
				if !vm.Used.Fits(vm.Capacity) || vm.Used.HasNegative() {
					t.Fatalf("seed %d step %d: VM exceeds its capacity: %+v", seed, step, vm)
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

func restoreSnapshot(t *testing.T, m *cell.StateMachine, env *testEnv) *cell.StateMachine {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := cell.New(env, nil)
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	return restored
}

// randomEntry returns an entry that is valid about half of the time.
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
		status := cell.AttemptRunning + cell.AttemptStatus(rng.IntN(6))
		return m.ReportEntry(epoch, []cell.Report{{Task: id, Attempt: view.Attempt, Status: status, Reason: api.ReasonWorkerLost}})
	}
	var starts []cell.Start
	for index := range uint32(1 + rng.IntN(4)) {
		v, _ := m.Task(task(string(id.Job), index))
		starts = append(starts, cell.Start{Task: v.Task, Attempt: v.Attempt + 1, VM: vm, Resources: cores(1 + int64(rng.IntN(2)))})
	}
	e, _ := m.StartEntry(epoch, starts)
	return e
}

// newBusyMachine returns a state machine with about 25 running tasks on each VM.
func newBusyMachine(b *testing.B, vms, tasks int) (*cell.StateMachine, *testEnv) {
	m, env := newMachine()
	var observed []cell.ObservedVM
	for i := range vms {
		observed = append(observed, cell.ObservedVM{ID: vmName(i), Rack: fmt.Sprint("r", i/8), Capacity: api.Resources{MilliCPU: 64_000, MemoryMB: 1 << 18}})
	}
	if err := env.apply(m, cell.VMUpdateEntry(1, observed, nil)); err != nil {
		b.Fatal(err)
	}
	const perJob = 50
	for i := range tasks / perJob {
		job := fmt.Sprintf("team-%02d/job-%06d", i%92, i)
		_ = env.apply(m, cell.SubmitEntry(benchSpec(job, perJob), 0))
		var starts []cell.Start
		for index := range uint32(perJob) {
			starts = append(starts, benchStart(job, index, 1, vmName((i*perJob+int(index))%vms)))
		}
		e, _ := m.StartEntry(1, starts)
		if err := env.apply(m, e); err != nil {
			b.Fatal(err)
		}
	}
	return m, env
}

func vmName(i int) api.VMID { return api.VMID(fmt.Sprintf("worker-%05d", i)) }

func benchSpec(job string, tasks uint32) api.JobSpec {
	return api.JobSpec{ID: api.JobID(job), Team: "team", Class: api.ClassBatch, Priority: 100, Tasks: tasks, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}, Payload: "appraise"}
}

func benchStart(job string, index, attempt uint32, vm api.VMID) cell.Start {
	return cell.Start{Task: task(job, index), Attempt: attempt, VM: vm, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 2000}}
}
