package assist

import (
	"slices"
	"strings"

	"github.com/skylarklock/skylarklock/api"
)

// Role tells a machine what the leader wants it to keep.
type Role uint8

// Roles of a machine.
const (
	Unassigned Role = iota // it keeps what it has
	Standby                // it keeps the content of all records, so that it can take over at once
	Follower               // it keeps only what clients ask for
)

const (
	// standbyCount is how many machines other than the leader keep the content of all records.
	// If all of them are lost, other machines read the store before they can lead.
	standbyCount = 3
	// incumbentFactor is how many times as fit another machine must be to replace a standby
	// that already keeps the content.
	incumbentFactor = 1.5
)

// chooseStandbys returns the machines that should keep the content of all records: the fittest
// ones, if possible each in a different data centre that is not the leader's. Machines that
// already keep the content are preferred.
func chooseStandbys(machines []Attachment, leaderDataCentre api.DataCentre) map[api.NodeID]bool {
	weight := func(m Attachment) float64 {
		if m.HasContent {
			return incumbentFactor * m.Fitness
		}
		return m.Fitness
	}
	ranked := slices.DeleteFunc(slices.Clone(machines), func(m Attachment) bool { return m.Fitness == 0 })
	slices.SortStableFunc(ranked, func(a, b Attachment) int {
		switch x, y := weight(a), weight(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		default:
			return strings.Compare(string(a.Node), string(b.Node))
		}
	})
	chosen := make(map[api.NodeID]bool)
	used := map[api.DataCentre]bool{leaderDataCentre: true}
	for _, spread := range []bool{true, false} {
		for _, m := range ranked {
			if len(chosen) == standbyCount {
				return chosen
			}
			if chosen[m.Node] || (spread && used[m.DataCentre]) {
				continue
			}
			chosen[m.Node] = true
			used[m.DataCentre] = true
		}
	}
	return chosen
}

// allStandbysReady reports whether all standbys keep the content of all records, so that other
// machines may drop it.
func allStandbysReady(machines []Attachment, standbys map[api.NodeID]bool) bool {
	ready := 0
	for _, m := range machines {
		if standbys[m.Node] && m.HasContent {
			ready++
		}
	}
	return ready == standbyCount
}
