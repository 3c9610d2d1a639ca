package assist

import (
	"slices"
	"strings"

	"github.com/skylarklock/skylarklock/api"
)

// Role is what the leader wants a machine to keep.
type Role uint8

// Roles.
const (
	Unassigned Role = iota // it stays as it is
	Standby                // it keeps the content of all records, to take over at once
	Follower               // it keeps what clients ask for
)

const (
	// standbys is how many machines, beside the leader, keep the content of all
	// records. Where all of them are lost, others read the store before they can lead.
	standbys = 3
	// steadiness is how many times as fit another machine must be to take the
	// place of a standby that keeps the content already.
	steadiness = 1.5
)

// chooseStandbys returns the machines that should keep the content of all
// records: the fittest, in data centres of their own as far as there are any
// beside that of the leader. Those that keep it already are preferred.
func chooseStandbys(machines []Attachment, own api.DataCentre) map[api.NodeID]bool {
	weight := func(m Attachment) float64 {
		if m.HasContent {
			return steadiness * m.Fitness
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
	used := map[api.DataCentre]bool{own: true}
	for _, spread := range []bool{true, false} {
		for _, m := range ranked {
			if len(chosen) == standbys {
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

// enoughWhole reports whether so many of the machines keep the content of all
// records that the others need not.
func enoughWhole(machines []Attachment, chosen map[api.NodeID]bool) bool {
	whole := 0
	for _, m := range machines {
		if chosen[m.Node] && m.HasContent {
			whole++
		}
	}
	return whole == standbys
}
