package quarantine

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
)

const fleetSize = 40

var now = time.Unix(1000, 0)

func vm(n int) api.VMID { return api.VMID(fmt.Sprintf("vm-%d", n)) }

func task(n int) api.TaskID { return api.TaskID{Job: api.JobID(fmt.Sprintf("job-%d", n))} }

// runRounds records rounds of one task per VM. All tasks on the first failing VMs
// fail, all others succeed.
func runRounds(t *Tracker, rounds, failing int) {
	for r := range rounds {
		for n := range fleetSize {
			id := task(r*fleetSize + n)
			if n < failing {
				t.RecordFailure(vm(n), id, now)
			} else {
				t.RecordSuccess(vm(n), id, now)
			}
		}
	}
}

func TestVMsOnWhichAllTasksFail(t *testing.T) {
	Convey("A VM on which all tasks fail is quarantined, probed and released", t, func() {
		tr := New(Config{})
		runRounds(tr, DefaultQuarantineFailures-1, 1)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
		runRounds(tr, 1, 1)
		So(tr.Decide(fleetSize, now), ShouldResemble, []Change{{VM: vm(0), Quarantined: true,
			Detail: "100% of the last tasks failed there, 0% elsewhere"}})
		tr.RecordSuccess(vm(0), task(1), now)
		tr.RecordFailure(vm(0), task(2), now)
		tr.RecordSuccess(vm(0), task(3), now)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
		tr.RecordSuccess(vm(0), task(4), now)
		So(tr.Decide(fleetSize, now), ShouldResemble, []Change{{VM: vm(0), Detail: "2 probes ended well"}})
		So(tr.Quarantined(vm(0)), ShouldBeFalse)
	})
	Convey("At most the allowed share is quarantined, in a stable order, and further VMs follow when one is removed", t, func() {
		tr := New(Config{})
		runRounds(tr, 10, 4)
		changes := tr.Decide(fleetSize, now)
		So(len(changes), ShouldEqual, 2)
		So(changes[0].VM, ShouldEqual, vm(0))
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
		tr.RemoveVM(vm(0))
		So(tr.Decide(fleetSize, now)[0].VM, ShouldEqual, vm(2))
	})
	Convey("No VM is quarantined when all tasks fail on all VMs", t, func() {
		tr := New(Config{})
		runRounds(tr, 20, fleetSize)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
	})
	Convey("Old failures lose weight", t, func() {
		tr := New(Config{})
		runRounds(tr, DefaultQuarantineFailures, 1)
		So(tr.Decide(fleetSize, now.Add(DefaultHalfLife)), ShouldBeEmpty)
	})
}

func TestTasksThatFailOnAllVMs(t *testing.T) {
	Convey("A task is reported after failing on its third healthy VM, and the failures are removed from the VMs", t, func() {
		tr := New(Config{})
		runRounds(tr, 10, 1)
		tr.Decide(fleetSize, now)
		for n := range 3 { // vm-0 is quarantined, so its failure does not count
			_, reported := tr.RecordFailure(vm(n), task(9999), now)
			So(reported, ShouldBeFalse)
		}
		f, reported := tr.RecordFailure(vm(3), task(9999), now)
		So(reported, ShouldBeTrue)
		So(f.Reason, ShouldEqual, api.ReasonFailsEverywhere)
		So(tr.vms[vm(1)].outcomes.failed, ShouldEqual, 0)
	})
	Convey("One job that fails on all VMs quarantines no VM", t, func() {
		tr := New(Config{})
		reported := 0
		for n := range 200 {
			if _, ok := tr.RecordFailure(vm(n%fleetSize), api.TaskID{Job: "bad", Index: uint32(n / 3)}, now); ok {
				reported++
			}
		}
		So(reported, ShouldEqual, 66)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
	})
	Convey("The number of tracked tasks is bounded", t, func() {
		tr := New(Config{MaxTrackedTasks: 10})
		runRounds(tr, 5, fleetSize)
		So(len(tr.taskFailures), ShouldBeLessThanOrEqualTo, 10)
		So(len(tr.failureOrder), ShouldBeLessThanOrEqualTo, 10)
	})
	Convey("A task that failed, succeeded and fails again is tracked once, and dropped after older ones", t, func() {
		tr := New(Config{MaxTrackedTasks: 2})
		tr.RecordFailure(vm(0), task(1), now)
		tr.RecordSuccess(vm(0), task(1), now)
		tr.RecordFailure(vm(0), task(2), now)
		tr.RecordFailure(vm(1), task(1), now)
		So(tr.failureOrder, ShouldResemble, []api.TaskID{task(2), task(1)})
		tr.RecordFailure(vm(0), task(3), now)
		So(tr.taskFailures[task(1)], ShouldResemble, []api.VMID{vm(1)})
		So(tr.taskFailures, ShouldNotContainKey, task(2))
	})
	Convey("Validate names every invalid field", t, func() {
		err := Config{MinFailureRate: 2, RateFactor: 0.5}.Validate()
		So(err.Error(), ShouldContainSubstring, "least_rate")
		So(err.Error(), ShouldContainSubstring, "rate_factor")
	})
}
