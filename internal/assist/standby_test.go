package assist

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/skylarklock/skylarklock/api"
)

func TestChooseStandbys(t *testing.T) {
	attachment := func(node, dataCentre string, fitness float64, hasContent bool) Attachment {
		return Attachment{Node: api.NodeID(node), DataCentre: api.DataCentre(dataCentre), Fitness: fitness, HasContent: hasContent}
	}
	Convey("Given machines in four data centres and the leader in z1", t, func() {
		machines := []Attachment{
			attachment("a", "z1", 0.8, false), attachment("b", "z1", 0.8, false),
			attachment("c", "z2", 0.8, false), attachment("d", "z2", 0.8, false),
			attachment("e", "z3", 0.2, false), attachment("f", "z4", 0.2, false),
		}
		Convey("the standbys are in other data centres, one in each", func() {
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"c": true, "e": true, "f": true})
		})
		Convey("a machine that already keeps the content is preferred", func() {
			machines[3].HasContent = true
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"d": true, "e": true, "f": true})
		})
		Convey("a much fitter machine replaces one that already keeps the content", func() {
			machines[4] = attachment("e", "z2", 0.2, true)
			machines[5] = attachment("f", "z2", 0.3, true)
			So(chooseStandbys(machines[2:], "z2"), ShouldResemble, map[api.NodeID]bool{"c": true, "d": true, "f": true})
		})
		Convey("a machine that cannot lead now is not chosen", func() {
			machines[2].Fitness, machines[3].Fitness = 0, 0
			So(chooseStandbys(machines, "z1"), ShouldResemble, map[api.NodeID]bool{"a": true, "e": true, "f": true})
		})
		Convey("other machines may drop the content only once all standbys keep it", func() {
			chosen := chooseStandbys(machines, "z1")
			So(allStandbysReady(machines, chosen), ShouldBeFalse)
			machines[2].HasContent, machines[4].HasContent = true, true
			So(allStandbysReady(machines, chosen), ShouldBeFalse)
			machines[5].HasContent = true
			So(allStandbysReady(machines, chosen), ShouldBeTrue)
		})
		Convey("with few machines all are standbys and none may drop the content", func() {
			few := machines[:2]
			few[0].HasContent, few[1].HasContent = true, true
			chosen := chooseStandbys(few, "z1")
			So(chosen, ShouldHaveLength, 2)
			So(allStandbysReady(few, chosen), ShouldBeFalse)
		})
	})
}
