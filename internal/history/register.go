package history

import (
	"fmt"
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/skylarklock/skylarklock/api"
)

// inForce is the state of one key: the revision in force or, after a
// publication that was accepted without its publisher being told, one that is
// only known to be above Revision.
type inForce struct {
	Revision      api.Revision
	AboveRevision bool
}

// is reports whether r may be the revision in force.
func (s inForce) is(r api.Revision) bool {
	return !s.AboveRevision && r == s.Revision || s.AboveRevision && r > s.Revision
}

// registerModel is one key of the configuration as a compare-and-set register.
var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{inForce{}} },
	Step: func(state, input, output any) []any {
		return step(state.(inForce), input.(Publication), output.(api.PublishAnswer))
	},
}

// step returns what may be in force after p was answered.
func step(s inForce, p Publication, answer api.PublishAnswer) []any {
	switch answer.Outcome {
	case api.PublishAccepted:
		if s.is(p.BasedOn) && answer.Revision > p.BasedOn {
			return []any{inForce{Revision: answer.Revision}}
		}
		return nil
	case api.PublishConflict:
		// The entry VM may lag, so what it names in force may have gone.
		if s.AboveRevision || s.Revision != p.BasedOn && answer.InForce <= s.Revision {
			return []any{s}
		}
		return nil
	case api.PublishInvalid, api.PublishNotWritten:
		return []any{s}
	}
	if s.is(p.BasedOn) {
		return []any{s, inForce{Revision: p.BasedOn, AboveRevision: true}}
	}
	return []any{s}
}

// CheckRegister finds keys whose publications don't behave as those of one
// compare-and-set register.
func CheckRegister(publishes []Publication) []Violation {
	byKey := make(map[string][]porcupine.Operation)
	for i, p := range publishes {
		end := int64(p.End)
		if open(p.Answer) {
			end = math.MaxInt64 // it may come to be accepted at any time
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

// open reports whether a publication may still come to be accepted.
func open(a api.PublishAnswer) bool {
	return a.Outcome == "" || a.Outcome == api.PublishUnsettled
}

// CheckNoReverts finds entry VMs that showed an older record after a newer one,
// revisions that were seen with two values, and final readings that show an
// older record than one that was accepted.
func CheckNoReverts(publishes []Publication, readings []Reading) []Violation {
	const rule = "no-reverts"
	type place struct{ entry, key string }
	type version struct {
		key      string
		revision api.Revision
	}
	var found []Violation
	latest := make(map[string]api.Revision)
	values := make(map[version]string)
	for _, p := range publishes {
		if p.Answer.Outcome == api.PublishAccepted {
			values[version{p.Key, p.Answer.Revision}] = p.Value
			latest[p.Key] = max(latest[p.Key], p.Answer.Revision)
		}
	}
	shown := make(map[place]api.Revision)
	for _, r := range readings {
		at, v := place{r.Entry, r.Key}, version{r.Key, r.Revision}
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
