// Package loss tells whether a task is what crashes its executors. An executor that gives no answer may have crashed or be
// cut off, so the loss of a run with it is open until another incarnation shows that the executor has crashed, or until it
// answers again. Only crashes count against a task. An open loss delays the next start, for a limited time.
// docs/design/crashes.md explains the limits.
package loss

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Evidence says how the end of an executor incarnation is known. Its values are recorded durably.
type Evidence uint8

// Kinds of evidence.
const (
	// Unregistered is no proof: the executor gives no answer and its lease has expired. It may still be alive, cut off from
	// the leader and from the store, where it is no longer registered.
	Unregistered Evidence = iota
	// OtherIncarnation: another incarnation of the executor has answered.
	OtherIncarnation
	// AddressTaken: another executor or incarnation has answered at its address.
	AddressTaken
	evidenceKinds
)

// String returns the evidence's name in logs.
func (e Evidence) String() string {
	if e >= evidenceKinds {
		return fmt.Sprintf("unknown_%d", uint8(e))
	}
	return [...]string{"unregistered", "other_life", "address_taken"}[e]
}

const (
	// VerdictTime is how long after an executor fell silent a loss with it may delay the next start of a task. An executor
	// that a task has crashed is back within some seconds, which proves the crash.
	VerdictTime = 6 * time.Second
	// verdictLosses is how many losses that aren't known to be harmless a task must have for open ones to delay its start.
	verdictLosses = 2
	// openRetention is how long after its verdict was due a loss stays open for a proof.
	openRetention = time.Minute
	// suspectCrashes is how many executors have to crash under a task for it to be suspected.
	suspectCrashes = 2
	// blameCrashes is how many executors must have crashed under a task for a crash with nothing else there to show that the
	// task is to blame. blameCrashesCanary is the same for a step that starts one task at a time.
	blameCrashes       = 3
	blameCrashesCanary = 2
	// A task may start maxStarts times if executors crash under it, two of them after the third crash. From
	// boundedRestartCrashes crashes on each run counts that ends without a result.
	maxStarts             = 5
	boundedRestartCrashes = 3
	// maxRecorded bounds the losses that are kept of one task.
	maxRecorded = 12
)

// Loss is a run of a task that was lost with its executor.
type Loss struct {
	Executor   work.ExecutorIncarnation
	Address    string // of the executor; "" if it isn't known
	Evidence   Evidence
	Certain    bool          // the run was there when the executor fell silent; otherwise its order may not have been carried out
	Late       bool          // the proof came so late that the executor may have crashed after the run's lease was over
	Restart    bool          // while the loss is open: it counts among the runs without a result since restarts are bounded
	Epoch      api.Epoch     // of the leader that counted the loss
	At         time.Time     // when the executor fell silent
	RunTime    time.Duration // from the order of the run until then; 0 if it isn't known
	VerdictDue time.Time     // until when the loss may delay the task's next start while it is open
}

// IsOpen reports whether the executor may be alive.
func (l *Loss) IsOpen() bool { return l.Evidence == Unregistered }

// Proof is what shows that an executor has crashed, and when it came.
type Proof struct {
	Evidence Evidence
	Alone    bool          // a task that was suspected before had the executor to itself
	Silent   time.Duration // from the beginning of the executor's silence to the proof
	Awaited  time.Duration // the part of it in which the leader that has the proof was in office
}

// certain reports whether a crash is certain for a run that may have been there. A proof that comes later than that of an
// executor that a task has crashed may be of a crash after the run's lease was over.
func (p Proof) certain(wasThere bool) bool { return p.Alone || wasThere && p.Silent <= VerdictTime }

// late reports whether the proof comes late, and not for want of a leader.
func (p Proof) late() bool { return !p.Alone && p.Awaited > VerdictTime }

// Tally holds the lost runs of a task. The zero value has none.
type Tally struct {
	losses   []Loss
	restarts int // runs that ended without a result since restarts are bounded, without those that were lost in a crash
}

// NewTally returns the tally of recorded losses, with the recorded Crashes and Later. A record of an earlier version has no
// details: crashes are then those of unknown executors, and later counts losses that may not have been crashes and are dropped.
func NewTally(losses []Loss, crashes, later int) Tally {
	t := Tally{losses: losses}
	if t.proven() > 0 || crashes >= boundedRestartCrashes {
		t.restarts = max(0, later-t.Later())
	}
	for range crashes - t.Crashes() {
		t.losses = append(t.losses, Loss{Evidence: OtherIncarnation, Certain: true})
	}
	return t
}

// count returns the number of losses that fulfil a condition.
func (t *Tally) count(condition func(*Loss) bool) int {
	n := 0
	for i := range t.losses {
		if condition(&t.losses[i]) {
			n++
		}
	}
	return n
}

// Crashes returns how many executors have crashed under the task.
func (t *Tally) Crashes() int { return t.count(func(l *Loss) bool { return !l.IsOpen() && l.Certain }) }

// likely returns how many executors have crashed to which the task was ordered, without those that may have crashed after the
// run's lease was over.
func (t *Tally) likely() int { return t.count(func(l *Loss) bool { return !l.IsOpen() && !l.Late }) }

// proven returns how many executors have crashed to which the task was ordered, whether or not it had started there.
func (t *Tally) proven() int { return t.count(func(l *Loss) bool { return !l.IsOpen() }) }

// Later returns how many runs count beside the Crashes: those ordered to an executor that has crashed, of which it isn't known
// whether they had started, and those that ended without a result after restarts were bounded.
func (t *Tally) Later() int { return t.proven() - t.Crashes() + t.restarts }

// Weight orders tasks by how much points to them.
func (t *Tally) Weight() int { return len(t.losses) + t.restarts }

// IsEmpty reports whether nothing was lost.
func (t *Tally) IsEmpty() bool { return len(t.losses) == 0 && t.restarts == 0 }

// Losses returns the losses, oldest first.
func (t *Tally) Losses() []Loss { return t.losses }

// find returns the index of the loss with an executor incarnation, or -1.
func (t *Tally) find(executor work.ExecutorIncarnation) int {
	if executor.ID == "" {
		return -1
	}
	return slices.IndexFunc(t.losses, func(l Loss) bool { return l.Executor.Matches(executor) })
}

// Add counts an open loss. Two losses with the same incarnation are one, since a task has one run there: the second one is of
// another leader.
func (t *Tally) Add(l Loss) {
	if i := t.find(l.Executor); i >= 0 {
		known := &t.losses[i]
		if known.IsOpen() {
			known.Certain = known.Certain || l.Certain
		}
		return
	}
	t.losses = slices.DeleteFunc(t.losses, func(old Loss) bool { return old.IsOpen() && l.At.Sub(old.VerdictDue) > openRetention })
	if len(t.losses) == maxRecorded {
		oldest := max(0, slices.IndexFunc(t.losses, func(old Loss) bool { return old.IsOpen() }))
		t.losses = slices.Delete(t.losses, oldest, oldest+1)
	}
	t.losses = append(t.losses, l)
}

// EndRun counts the end of a run without a result if restarts are bounded, and reports whether it counts. executor is the
// incarnation that the run was lost with, or the zero value if it ended in another way.
func (t *Tally) EndRun(executor work.ExecutorIncarnation) bool {
	if t.proven() < boundedRestartCrashes {
		return false
	}
	if i := t.find(executor); i >= 0 {
		if !t.losses[i].IsOpen() || t.losses[i].Restart {
			return false
		}
		t.losses[i].Restart = true
	}
	t.restarts++
	return true
}

// Prove settles an open loss with an executor incarnation by a proof of its crash, and reports whether there was one.
func (t *Tally) Prove(executor work.ExecutorIncarnation, p Proof) bool {
	i := t.find(executor)
	if i < 0 || !t.losses[i].IsOpen() || p.Evidence == Unregistered {
		return false
	}
	l := &t.losses[i]
	l.Evidence, l.Certain, l.Late = p.Evidence, p.certain(l.Certain), p.late()
	if l.Restart {
		l.Restart = false
		t.restarts--
	}
	return true
}

// TakeBack removes an open loss with an executor incarnation that has answered again, and reports whether there was one.
func (t *Tally) TakeBack(executor work.ExecutorIncarnation) bool {
	i := t.find(executor)
	if i < 0 || !t.losses[i].IsOpen() {
		return false
	}
	t.losses = slices.Delete(t.losses, i, i+1)
	return true
}

// WaitsUntil returns until when the task should not start, since its open losses may turn out to be crashes, or the zero time.
func (t *Tally) WaitsUntil() time.Time {
	var until time.Time
	if len(t.losses) < verdictLosses {
		return until
	}
	for i := range t.losses {
		if l := &t.losses[i]; l.IsOpen() && l.VerdictDue.After(until) {
			until = l.VerdictDue
		}
	}
	return until
}

// IsSuspected reports whether the task may be what crashes its executors, so that it should start alone.
func (t *Tally) IsSuspected() bool { return t.proven() >= suspectCrashes }

// MaxCrashTime returns how long after its order the task may crash an executor, judged by the crashes of which that is known, or 0
// if there are none.
func (t *Tally) MaxCrashTime() time.Duration {
	var longest time.Duration
	for i := range t.losses {
		if l := &t.losses[i]; !l.IsOpen() {
			longest = max(longest, l.RunTime)
		}
	}
	return longest
}

// Crash describes the crash of an executor under a task.
type Crash struct {
	Alone      bool // nothing of another job ran there
	Correlated bool // other executors fell silent at the same time
	Canary     bool // the task's step starts one task at a time
}

// ShowsGuilt reports whether the newest crash shows that the task is to blame.
func (t *Tally) ShowsGuilt(c Crash) bool {
	limit := blameCrashes
	if c.Canary {
		limit = blameCrashesCanary
	}
	return c.Alone && !c.Correlated && t.Crashes() >= limit
}

// IsExhausted reports whether executors have crashed under the task and it must not start again. Open losses count only beside
// as many proven crashes as bound the restarts: they may be crashes of which the proof was missed.
func (t *Tally) IsExhausted() bool {
	starts := t.likely()
	switch crashes := t.Crashes(); {
	case crashes >= 1 && t.proven() >= boundedRestartCrashes:
		starts = t.count(func(l *Loss) bool { return !l.Restart }) + t.restarts
	case crashes >= suspectCrashes:
		starts = t.proven() + t.restarts
	}
	return starts >= maxStarts
}

// Describe returns the losses that count, oldest first: executor incarnation, evidence, whether the run was certainly there,
// whether the proof was late, epoch of the leader that counted it, and milliseconds since the executor fell silent.
func (t *Tally) Describe(now time.Time) string {
	var parts []string
	for i := range t.losses {
		l := &t.losses[i]
		age := int64(-1)
		if !l.At.IsZero() {
			age = now.Sub(l.At).Milliseconds()
		}
		parts = append(parts, fmt.Sprintf("%s/%d:%v:certain=%t:late=%t:epoch=%d:%dms", l.Executor.ID, l.Executor.StartTimeMs, l.Evidence, l.Certain, l.Late, l.Epoch, age))
	}
	return strings.Join(parts, " ")
}
