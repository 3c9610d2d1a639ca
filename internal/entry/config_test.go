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

// contendedQuotas are the names of the quotas that operators publish concurrently.
var contendedQuotas = []string{"lots", "deposits"}

// read reads a record in force at p and records the result.
func (c *cluster) read(p *process, name string, final bool) (api.Revision, bool) {
	at := c.recorder.Now()
	status, _, answer, err := c.do(http.MethodGet, "http://"+p.settings.Listen.Operators+"/v1/config/quota/"+name, "")
	var state api.RecordState
	if err != nil || status != http.StatusOK && status != http.StatusNotFound || json.Unmarshal(answer, &state) != nil {
		return 0, false
	}
	c.recorder.AddReading(history.Reading{
		Entry: fmt.Sprintf("%s/%d", p.settings.NodeID, p.origin.Incarnation), Key: "quota/" + name, At: at,
		Revision: state.Revision, Value: string(state.Record.Spec), Final: final,
	})
	return state.Revision, true
}

// publishRepeatedly reads and publishes as one operator through p. It publishes
// the given number of records for each key and waits for the outcome of each.
func (c *cluster) publishRepeatedly(p *process, operator, rounds int) {
	for round := range rounds {
		for _, name := range contendedQuotas {
			basedOn, ok := c.read(p, name, false)
			if !ok {
				continue
			}
			weight := operator*1000 + round + 1
			c.publish(p, api.KindQuota, name, basedOn, fmt.Sprintf(`{"max":{"milli_cpu":100000},"weight":%d}`, weight))
		}
	}
}

// TestConcurrentPublications checks that concurrent publications of the same keys
// through all entry VMs behave like one compare-and-set register for each key,
// and that no entry VM returns an older record after a newer one. The log loses
// and delays answers and an entry VM is killed in the meantime.
func TestConcurrentPublications(t *testing.T) {
	c := startCluster(t)
	victim := c.nodes[3]
	var operators sync.WaitGroup
	for i, p := range c.nodes {
		operators.Go(func() { c.publishRepeatedly(p, i, 12) })
	}
	for _, f := range []logserver.Faults{{LoseAnswers: 10}, {DropAppends: 5}, {LateAppends: 10, LateBy: runTime}} {
		c.site.Log.SetFaults(f)
		revision := c.nodes[0].streams.configState.Revision()
		c.await("further records", func() bool { return c.nodes[0].streams.configState.Revision() > revision+4 })
	}
	c.kill(victim)
	operators.Wait()
	c.site.Log.SetFaults(logserver.Faults{})
	c.replace(victim)
	c.awaitServing(c.liveProcesses()...)
	newest := c.nodes[0].streams.configState.Revision()
	for _, p := range c.liveProcesses() {
		c.await("the newest records", func() bool { return p.streams.configState.Revision() >= newest })
		for _, name := range contendedQuotas {
			c.read(p, name, true)
		}
	}
	c.stopAndCheck()
}
