package history

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/skylarklock/skylarklock/api"
)

// registerState is a possible state of one key: the revision in force. After a
// publication that took effect without its publisher getting the answer, the revision is
// only known to be above Revision.
type registerState struct {
	Revision      api.Revision
	AboveRevision bool
}

// mayBe reports whether r may be the revision in force.
func (s registerState) mayBe(r api.Revision) bool {
	return !s.AboveRevision && r == s.Revision || s.AboveRevision && r > s.Revision
}

// registerModel models one key of the configuration as a compare-and-set register.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		return stepRegister(state.(registerState), input.(Publication), output.(api.PublishAnswer))
	},
}

// stepRegister returns the states that are possible after p got the given answer.
func stepRegister(s registerState, p Publication, answer api.PublishAnswer) []any {
	switch answer.Outcome {
	case api.PublishAccepted:
		if s.mayBe(p.BasedOn) && answer.Revision > p.BasedOn {
			return []any{registerState{Revision: answer.Revision}}
		}
		return nil
	case api.PublishConflict:
		// The entry VM may lag, so the revision that it names may not be in force any more.
		if s.AboveRevision || s.Revision != p.BasedOn && answer.InForce <= s.Revision {
			return []any{s}
		}
		return nil
	case api.PublishInvalid, api.PublishNotWritten:
		return []any{s}
	}
	if s.mayBe(p.BasedOn) {
		return []any{s, registerState{Revision: p.BasedOn, AboveRevision: true}}
	}
	return []any{s}
}

// CheckRegister finds keys whose publications are not linearizable as operations on one
// compare-and-set register.
func CheckRegister(publications []Publication) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	for i, p := range publications {
		end := int64(p.End)
		if mayStillBeAccepted(p.Answer) {
			end = math.MaxInt64 // it may take effect at any later time
		}
		byKey[p.Key] = append(byKey[p.Key], porcupine.Operation{
			ClientId: i, Input: p, Output: p.Answer, Call: int64(p.Start), Return: end,
		})
	}
	model := registerModel.ToModel()
	var found []Violation
	for key, operations := range byKey {
		if !porcupine.CheckOperations(model, operations) {
			found = append(found, Violation{"register", key, fmt.Sprintf("%d publications can't be put in order", len(operations))})
		}
	}
	return found
}

// mayStillBeAccepted reports whether a publication may still be accepted after this
// answer.
func mayStillBeAccepted(a api.PublishAnswer) bool {
	return a.Outcome == "" || a.Outcome == api.PublishUnsettled
}

// CheckNoReverts finds entry VMs that showed an older record after a newer one, revisions
// that were seen with two values, and final readings that are older than an accepted
// publication.
func CheckNoReverts(publications []Publication, readings []Reading) []Violation {
	const rule = "no-reverts"
	type location struct{ entry, key string }
	type version struct {
		key      string
		revision api.Revision
	}
	var found []Violation
	latest := make(map[string]api.Revision)
	values := make(map[version]string)
	for _, p := range publications {
		if p.Answer.Outcome == api.PublishAccepted {
			values[version{p.Key, p.Answer.Revision}] = p.Value
			latest[p.Key] = max(latest[p.Key], p.Answer.Revision)
		}
	}
	shown := make(map[location]api.Revision)
	for _, r := range readings {
		at, v := location{r.Entry, r.Key}, version{r.Key, r.Revision}
		if r.Revision < shown[at] {
			found = append(found, Violation{rule, r.Key, fmt.Sprintf("%s showed %d after %d", r.Entry, r.Revision, shown[at])})
		}
		if value, seen := values[v]; seen && value != r.Value && r.Revision != 0 {
			found = append(found, Violation{rule, r.Key, fmt.Sprintf("%s showed revision %d as %s, it is %s", r.Entry, r.Revision, r.Value, value)})
		} else if r.Revision != 0 {
			values[v] = r.Value
		}
		if r.Final && r.Revision < latest[r.Key] {
			found = append(found, Violation{rule, r.Key, fmt.Sprintf("%s ended at revision %d, %d was accepted", r.Entry, r.Revision, latest[r.Key])})
		}
		shown[at] = r.Revision
	}
	return found
}
