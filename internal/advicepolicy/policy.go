// Package advicepolicy decides whether an advice call for a step is worth making now and how many
// executors it names. The decisions are pure: the state of the step and of the calling machines is
// passed in.
package advicepolicy

import "time"

// Lateness says whether a step's job can still end in time.
type Lateness uint8

// Lateness classes.
const (
	InTime  Lateness = iota // within its objective
	Late                    // within three times its objective
	Overdue                 // within neither; its end is worth nothing
)

// Kind is the kind of an advice call.
type Kind uint8

// Kinds of calls.
const (
	None    Kind = iota // no call now
	First               // names executors, for a step without grants
	Renewal             // names only executors whose tickets expire
	Further             // names executors of which nothing is known
)

// Reason says why a call is held back.
type Reason uint8

// Reasons for which a call is held back.
const (
	NotHeld         Reason = iota
	HeldOverdue            // the step can't be of use any more, and machines are scarce
	HeldCovered            // its grants cover the tasks left
	HeldNoCapacity         // no executor is expected to have capacity worth a call
	HeldRecent             // its newest call was made a moment ago
	HeldForOthers          // the last machines are kept for steps without grants or with little slack
	NumberOfReasons        // not a reason but their number
)

// Reasons returns the reasons for which calls are held back.
func Reasons() []Reason {
	var reasons []Reason
	for r := HeldOverdue; r < NumberOfReasons; r++ {
		reasons = append(reasons, r)
	}
	return reasons
}

// String returns the name of the reason in log fields.
func (r Reason) String() string {
	return [NumberOfReasons]string{"none", "overdue", "covered", "no_capacity", "recent", "for_others"}[r]
}

// Limits of the decisions.
const (
	// ScarceShare is the share of busy machines of a class from which calls are restricted. A quarter
	// of the machines thereby remains for steps that can be in time.
	ScarceShare = 0.75
	// reservedShare is the share of busy machines from which only steps without grants and steps with
	// little slack make calls.
	reservedShare = 0.9
	// ShortAllowance is the difference between objective and work below which a step counts as short.
	// A delay of one call for a renewal makes such a step late.
	ShortAllowance = time.Second
	// littleSlack is the slack below which a step does not wait for a larger call.
	littleSlack = time.Second
	// minCallSpacing is the time between two calls of a step with more slack than that.
	minCallSpacing = time.Second
	// coveredFactor is how many slots an empty cell must have for each task on executors known to permit
	// the step so that it asks about no others. On fewer it competes with too many other steps.
	coveredFactor = 3
	// worthwhileShare is the share of a step's tasks for which capacity must be expected for a call.
	// A batch call takes 130 ms of a machine whether it places one task or 25.
	worthwhileShare = 0.25
	// scarceMargin is the number of slots named for each task while machines are scarce.
	scarceMargin = 1.25
)

// Step is the state of a step that could make a call.
type Step struct {
	Lateness      Lateness
	Slack         time.Duration // until the latest start that meets the objective; negative after it
	Allowance     time.Duration // objective minus estimated work
	Tasks         int           // tasks left to place
	Granted       bool          // it has grants, valid or not
	Expiring      bool          // all tickets have expired when the answer arrives
	ValidSlots    int           // expected slots at the time of the answer on executors with valid tickets
	ExpiredSlots  int           // the same with tickets that have expired by then
	UnknownSlots  int           // the same on executors with unknown permission
	EmptySlots    int           // slots on executors with tickets, valid or not, if these were empty
	GrantShare    float64       // learned share of the named executors that are granted
	BusyShare     float64       // share of the machines for its class of calls that are busy
	SinceLastCall time.Duration // time since its newest call was made
}

// Decision is what a step should do. Slots is the number of slots that the named executors need.
type Decision struct {
	Kind   Kind
	Reason Reason  // why no call is made; NotHeld otherwise
	Slots  float64 // 0: no limit
}

// Scarce reports whether calls are restricted at a share of busy machines.
func Scarce(busyShare float64) bool { return busyShare >= ScarceShare }

// HoldsOverdue reports whether a step makes no call whatever its capacity, which spares the search for
// executors.
func HoldsOverdue(l Lateness, busyShare float64) bool { return l == Overdue && Scarce(busyShare) }

// HoldsFurther reports whether a step with grants and some slack makes no call that names further
// executors.
func HoldsFurther(slack time.Duration, busyShare float64) bool {
	return slack >= littleSlack && busyShare >= reservedShare
}

// Short reports whether a step renews its tickets before they expire, also without expected capacity.
func (s Step) Short() bool { return s.Allowance < ShortAllowance && s.Lateness != Overdue }

// Decide returns what a step that isn't a gang should do while machines are scarce. The caller makes
// unrestricted calls otherwise.
func Decide(s Step) Decision {
	if HoldsOverdue(s.Lateness, s.BusyShare) {
		return held(HeldOverdue)
	}
	pressing := s.Lateness == InTime && s.Slack < littleSlack
	if !s.Granted {
		if !pressing && s.UnknownSlots == 0 {
			return held(HeldNoCapacity)
		}
		return Decision{Kind: First, Slots: NeededSlots(s.Tasks, s.GrantShare)}
	}
	if s.Short() && s.Expiring {
		return Decision{Kind: Renewal, Slots: NeededSlots(s.Tasks, 1)}
	}
	if s.ValidSlots >= s.Tasks {
		return held(HeldCovered)
	}
	if !pressing && s.BusyShare >= reservedShare {
		return held(HeldForOthers)
	}
	if !pressing && !s.Short() && s.SinceLastCall < minCallSpacing {
		return held(HeldRecent)
	}
	missing := s.Tasks - s.ValidSlots
	worthwhile := 1.0
	if !pressing {
		worthwhile = max(1, worthwhileShare*float64(s.Tasks))
	}
	fromUnknown := s.GrantShare * float64(s.UnknownSlots)
	switch {
	case s.ExpiredSlots >= missing || float64(s.ExpiredSlots) >= worthwhile:
		return Decision{Kind: Renewal, Slots: NeededSlots(missing, 1)}
	case !pressing && s.EmptySlots >= coveredFactor*s.Tasks:
		return held(HeldCovered)
	case fromUnknown >= worthwhile:
		return Decision{Kind: Further, Slots: NeededSlots(missing-s.ExpiredSlots, s.GrantShare)}
	default:
		return held(HeldNoCapacity)
	}
}

// NeededSlots returns how many slots a call should name for a number of tasks at a share of grants.
func NeededSlots(tasks int, share float64) float64 {
	return scarceMargin * float64(tasks) / max(share, 0.01)
}

// EventualSlots returns how many tasks of a step an executor counts for in a call: what is expected to
// be free when the answer arrives, or a part of what fits into an empty one. Permissions remain known
// after the ticket has expired, so a full executor is not worthless, but a full cell would otherwise have
// every call name the maximum number of executors.
func EventualSlots(expected, empty int, gang bool) int {
	part := 4
	if gang {
		part = 2 // it needs its slots at one moment, so fewer become usable
	}
	return max(expected, empty/part, 1)
}

func held(r Reason) Decision { return Decision{Reason: r} }
