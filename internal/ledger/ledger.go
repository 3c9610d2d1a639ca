// Package ledger keeps, for each VM, its capacity, the allocations of the task
// attempts placed on it, and the sum of these. It does no I/O and no locking; the
// caller must serialize access.
//
// VMs and jobs are identified by numbers that the caller assigns, so that an
// allocation takes 24 bytes.
package ledger

import (
	"errors"
	"math"

	"github.com/skylarklock/skylarklock/api"
)

// Errors of allocations.
var (
	// ErrUnknownVM means that the VM's capacity was never set, or the VM was removed.
	ErrUnknownVM = errors.New("ledger: unknown VM")
	// ErrInsufficientCapacity means that the allocation would exceed the VM's capacity.
	ErrInsufficientCapacity = errors.New("ledger: insufficient capacity on the VM")
	// ErrAllocationExists means that the attempt already has an allocation on the VM.
	ErrAllocationExists = errors.New("ledger: allocation already exists")
	// ErrNoAllocation means that the attempt has no allocation on the VM.
	ErrNoAllocation = errors.New("ledger: allocation does not exist")
	// ErrInvalidAmount means that the amount is negative, zero in every field, or beyond
	// 32 bits.
	ErrInvalidAmount = errors.New("ledger: amount out of range")
)

// Key identifies one attempt of a task.
type Key struct {
	Job     uint32 // number of the job
	Index   uint32 // of the task within the job
	Attempt uint32
}

// Allocation is the capacity held by one attempt.
type Allocation struct {
	Key       Key
	Resources api.Resources
}

// entry is the compact form of an Allocation.
type entry struct {
	key    Key
	cpu    uint32 // thousandths of a processor
	memory uint32 // mebibytes
	accel  uint32 // devices
}

func (e entry) resources() api.Resources {
	return api.Resources{MilliCPU: int64(e.cpu), MemoryMB: int64(e.memory), Accelerators: int64(e.accel)}
}

// account is the state of one VM.
type account struct {
	capacity api.Resources
	used     api.Resources // sum of entries, updated incrementally
	entries  []entry
}

// Ledger holds the accounts of all VMs, indexed by the VM's number.
type Ledger struct {
	accounts []*account
}

// SetCapacity sets the capacity of a VM. Existing allocations stay, even if a smaller
// capacity no longer covers them; new ones are then rejected until there is free
// capacity again.
func (l *Ledger) SetCapacity(vm uint32, capacity api.Resources) {
	for uint32(len(l.accounts)) <= vm {
		l.accounts = append(l.accounts, nil)
	}
	if l.accounts[vm] == nil {
		l.accounts[vm] = &account{}
	}
	l.accounts[vm].capacity = capacity
}

// RemoveVM removes a VM and all its allocations.
func (l *Ledger) RemoveVM(vm uint32) {
	if l.account(vm) != nil {
		l.accounts[vm] = nil
	}
}

// Check returns the error that Allocate would return, without allocating.
func (l *Ledger) Check(vm uint32, key Key, amount api.Resources) error {
	a := l.account(vm)
	if a == nil {
		return ErrUnknownVM
	}
	if !inRange(amount) {
		return ErrInvalidAmount
	}
	if a.find(key) >= 0 {
		return ErrAllocationExists
	}
	if !amount.Fits(a.capacity.Sub(a.used)) {
		return ErrInsufficientCapacity
	}
	return nil
}

// Allocate records that key holds amount on vm. If it returns one of the package's
// errors, it has changed nothing.
func (l *Ledger) Allocate(vm uint32, key Key, amount api.Resources) error {
	if err := l.Check(vm, key, amount); err != nil {
		return err
	}
	l.accounts[vm].add(key, amount)
	return nil
}

// Release removes the allocation of key on vm and returns its amount.
func (l *Ledger) Release(vm uint32, key Key) (api.Resources, error) {
	a := l.account(vm)
	if a == nil {
		return api.Resources{}, ErrUnknownVM
	}
	i := a.find(key)
	if i < 0 {
		return api.Resources{}, ErrNoAllocation
	}
	amount := a.entries[i].resources()
	last := len(a.entries) - 1
	a.entries[i] = a.entries[last]
	a.entries = a.entries[:last]
	a.used = a.used.Sub(amount)
	return amount, nil
}

// Allocated returns the amount that key holds on vm, and whether it has an allocation.
func (l *Ledger) Allocated(vm uint32, key Key) (api.Resources, bool) {
	a := l.account(vm)
	if a == nil {
		return api.Resources{}, false
	}
	i := a.find(key)
	if i < 0 {
		return api.Resources{}, false
	}
	return a.entries[i].resources(), true
}

// Usage returns the capacity of vm and the sum of its allocations.
func (l *Ledger) Usage(vm uint32) (capacity, used api.Resources, ok bool) {
	a := l.account(vm)
	if a == nil {
		return api.Resources{}, api.Resources{}, false
	}
	return a.capacity, a.used, true
}

// Allocations returns a copy of the allocations on vm, in no particular order.
func (l *Ledger) Allocations(vm uint32) []Allocation {
	a := l.account(vm)
	if a == nil {
		return nil
	}
	allocations := make([]Allocation, len(a.entries))
	for i, e := range a.entries {
		allocations[i] = Allocation{Key: e.key, Resources: e.resources()}
	}
	return allocations
}

// Count returns the number of allocations on vm.
func (l *Ledger) Count(vm uint32) int {
	if a := l.account(vm); a != nil {
		return len(a.entries)
	}
	return 0
}

func (l *Ledger) account(vm uint32) *account {
	if vm >= uint32(len(l.accounts)) {
		return nil
	}
	return l.accounts[vm]
}

func (a *account) find(key Key) int {
	for i := range a.entries {
		if a.entries[i].key == key {
			return i
		}
	}
	return -1
}

func inRange(r api.Resources) bool {
	if r.HasNegative() || r.IsZero() {
		return false
	}
	return r.MilliCPU <= math.MaxUint32 && r.MemoryMB <= math.MaxUint32 && r.Accelerators <= math.MaxUint32
}

// Restore adds an allocation from a snapshot without checking the capacity, because the
// allocations of a VM whose capacity was reduced may exceed it. It returns false for an
// unknown VM, an amount out of range or an existing allocation.
func (l *Ledger) Restore(vm uint32, key Key, amount api.Resources) bool {
	a := l.account(vm)
	if a == nil || !inRange(amount) || a.find(key) >= 0 {
		return false
	}
	a.add(key, amount)
	return true
}

func (a *account) add(key Key, amount api.Resources) {
	a.entries = append(a.entries, entry{
		key:    key,
		cpu:    uint32(amount.MilliCPU),
		memory: uint32(amount.MemoryMB),
		accel:  uint32(amount.Accelerators),
	})
	a.used = a.used.Add(amount)
}
