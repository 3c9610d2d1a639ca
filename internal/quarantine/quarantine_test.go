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

// run lets rounds of one task on each VM end; the first bad VMs fail all.
func run(t *Tracker, rounds, bad int) {
	for r := range rounds {
		for n := range fleetSize {
			id := task(r*fleetSize + n)
			if n < bad {
				t.RecordFailure(vm(n), id, now)
			} else {
				t.RecordSuccess(vm(n), id, now)
			}
		}
	}
}

func TestWorkersThatFailEverything(t *testing.T) {
	Convey("A VM that fails everything is quarantined, probed and released", t, func() {
		tr := New(Config{})
		run(tr, DefaultQuarantineFailures-1, 1)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
		run(tr, 1, 1)
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
	Convey("No more than the share is, in a stable order, and the rest when there is place", t, func() {
		tr := New(Config{})
		run(tr, 10, 4)
		changes := tr.Decide(fleetSize, now)
		So(len(changes), ShouldEqual, 2)
		So(changes[0].VM, ShouldEqual, vm(0))
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
		tr.RemoveVM(vm(0))
		So(tr.Decide(fleetSize, now)[0].VM, ShouldEqual, vm(2))
	})
	Convey("When everything fails everywhere, no VM is blamed", t, func() {
		tr := New(Config{})
		run(tr, 20, fleetSize)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
	})
	Convey("Old failures fade", t, func() {
		tr := New(Config{})
		run(tr, DefaultQuarantineFailures, 1)
		So(tr.Decide(fleetSize, now.Add(DefaultHalfLife)), ShouldBeEmpty)
	})
}

func TestTasksThatFailEverywhere(t *testing.T) {
	Convey("A task is blamed on its third healthy VM, and the VMs are not", t, func() {
		tr := New(Config{})
		run(tr, 10, 1)
		tr.Decide(fleetSize, now)
		for n := range 3 { // vm-0 is quarantined and says nothing
			_, blamed := tr.RecordFailure(vm(n), task(9999), now)
			So(blamed, ShouldBeFalse)
		}
		b, blamed := tr.RecordFailure(vm(3), task(9999), now)
		So(blamed, ShouldBeTrue)
		So(b.Reason, ShouldEqual, api.ReasonFailsAnywhere)
		So(tr.vms[vm(1)].rate.failed, ShouldEqual, 0)
	})
	Convey("One job that fails everywhere quarantines no VM", t, func() {
		tr := New(Config{})
		blamed := 0
		for n := range 200 {
			if _, ok := tr.RecordFailure(vm(n%fleetSize), api.TaskID{Job: "bad", Index: uint32(n / 3)}, now); ok {
				blamed++
			}
		}
		So(blamed, ShouldEqual, 66)
		So(tr.Decide(fleetSize, now), ShouldBeEmpty)
	})
	Convey("What is remembered is bounded", t, func() {
		tr := New(Config{MaxTrackedTasks: 10})
		run(tr, 5, fleetSize)
		So(len(tr.failures), ShouldBeLessThanOrEqualTo, 10)
		So(len(tr.order), ShouldBeLessThanOrEqualTo, 10)
	})
	Convey("Findings name every bad field", t, func() {
		err := Config{MinFailureRate: 2, RateFactor: 0.5}.Validate()
		So(err.Error(), ShouldContainSubstring, "least_rate")
		So(err.Error(), ShouldContainSubstring, "rate_factor")
	})
}
