package assist

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
)

func TestChooseStandbys(t *testing.T) {
	offer := func(node, centre string, fitness float64, whole bool) Attachment {
		return Attachment{Node: api.NodeID(node), DataCentre: api.DataCentre(centre), Fitness: fitness, HasContent: whole}
	}
	Convey("Given machines in four data centres, the leader in z1", t, func() {
		machines := []Attachment{
			offer("a", "z1", 0.8, false), offer("b", "z1", 0.8, false),
			offer("c", "z2", 0.8, false), offer("d", "z2", 0.8, false),
			offer("e", "z3", 0.2, false), offer("f", "z4", 0.2, false),
		}
		Convey("they are in other data centres, one in each", func() {
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"c": true, "e": true, "f": true})
		})
		Convey("one that keeps the content already stays", func() {
			machines[3].HasContent = true
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"d": true, "e": true, "f": true})
		})
		Convey("but not before a machine that is much fitter", func() {
			machines[4] = offer("e", "z2", 0.2, true)
			machines[5] = offer("f", "z2", 0.3, true)
			So(chooseStandbys(machines[2:], "z2"), ShouldResemble, map[api.NodeID]bool{"c": true, "d": true, "f": true})
		})
		Convey("one that couldn't lead now is none", func() {
			machines[2].Fitness, machines[3].Fitness = 0, 0
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"a": true, "e": true, "f": true})
		})
		Convey("others drop the content only when all standbys keep it", func() {
			chosen := chooseStandbys(machines, "z1")
			So(enoughWhole(machines, chosen), ShouldBeFalse)
			machines[2].HasContent, machines[4].HasContent = true, true
			So(enoughWhole(machines, chosen), ShouldBeFalse)
			machines[5].HasContent = true
			So(enoughWhole(machines, chosen), ShouldBeTrue)
		})
		Convey("where there are few machines all are standbys and none drops anything", func() {
			few := machines[:2]
			few[0].HasContent, few[1].HasContent = true, true
			chosen := chooseStandbys(few, "z1")
			So(chosen, ShouldHaveLength, 2)
			So(enoughWhole(few, chosen), ShouldBeFalse)
		})
	})
}
