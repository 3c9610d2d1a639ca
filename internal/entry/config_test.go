package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/history"
	"github.com/skylarklock/skylarklock/internal/standin/logserver"
)

// raceKeys are the names of the quotas that operators race for.
var raceKeys = []string{"lots", "deposits"}

// read reads a record in force at p and records the reading.
func (c *cluster) read(p *process, name string, final bool) (api.Revision, bool) {
	at := c.rec.Now()
	status, _, answer, err := c.do(http.MethodGet, "http://"+p.settings.Listen.Operators+"/v1/config/quota/"+name, "")
	var state api.RecordState
	if err != nil || status != http.StatusOK && status != http.StatusNotFound || json.Unmarshal(answer, &state) != nil {
		return 0, false
	}
	c.rec.AddReading(history.Reading{
		Entry: fmt.Sprintf("%s/%d", p.settings.NodeID, p.origin.Incarnation), Key: "quota/" + name, At: at,
		Revision: state.Revision, Value: string(state.Record.Spec), Final: final,
	})
	return state.Revision, true
}

// race lets one operator read through p and publish until rounds records of
// each key are settled, accepted or not.
func (c *cluster) race(p *process, operator, rounds int) {
	for round := range rounds {
		for _, name := range raceKeys {
			basedOn, ok := c.read(p, name, false)
			if !ok {
				continue
			}
			weight := operator*1000 + round + 1
			c.publish(p, api.KindQuota, name, basedOn, fmt.Sprintf(`{"max":{"milli_cpu":100000},"weight":%d}`, weight))
		}
	}
}

// TestConcurrentPublications: operators publish the same keys through all entry VMs
// while the log loses and delays answers and an entry VM dies. The outcomes
// are those of one compare-and-set register for each key, and no entry VM
// shows an older record after a newer one.
func TestConcurrentPublications(t *testing.T) {
	c := startCluster(t)
	victim := c.nodes[3]
	var operators sync.WaitGroup
	for i, p := range c.nodes {
		operators.Go(func() { c.race(p, i, 12) })
	}
	for _, f := range []logserver.Faults{{LoseAnswers: 10}, {DropAppends: 5}, {LateAppends: 10, LateBy: runTime}} {
		c.site.Log.SetFaults(f)
		revision := c.nodes[0].streams.configs.Revision()
		c.await("further records", func() bool { return c.nodes[0].streams.configs.Revision() > revision+4 })
	}
	c.kill(victim)
	operators.Wait()
	c.site.Log.SetFaults(logserver.Faults{})
	c.replace(victim)
	c.awaitServing(c.live()...)
	newest := c.nodes[0].streams.configs.Revision()
	for _, p := range c.live() {
		c.await("the newest records", func() bool { return p.streams.configs.Revision() >= newest })
		for _, name := range raceKeys {
			c.read(p, name, true)
		}
	}
	c.finish()
}
