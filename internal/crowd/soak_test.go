//go:build crowd && linux

package crowd

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/platform/standin"
)

var (
	soakSeed   = flag.Uint64("soakseed", 1, "seed of the first series in TestCrowdsInSeries")
	soakSeeds  = flag.Int("soakseeds", 1, "number of series, each with the next seed")
	soakLength = flag.Duration("soaklength", 20*time.Second, "length of a series, without the wait for its jobs")
)

// misbehaviours are all crowds at the clients' door.
var misbehaviours = []misbehaviour{
	bodiesWithoutEnd, bodiesInPieces, oneLargeChunk, smallChunks, expectContinue, bodiesOverLimit, unknownQueues,
	unreadAnswers, headersWithoutEnd, manyFields, fieldsWithoutEnd, idleConnections, silentConnections, wholeBodiesOfManySteps,
}

// Crowds overlap with each other, with planned stops and with losses of machines. Jobs that were accepted are
// done, and those that were refused never run.
func TestCrowdsInSeries(t *testing.T) {
	for i := range *soakSeeds {
		seed := *soakSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSeries(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func playSeries(t *testing.T, rng *rand.Rand) {
	c := startCell(t, machineCount, limits{memoryMB: *memoryMB, fileDescriptors: []int{fewDescriptors, *descriptors}[rng.IntN(2)]})
	monitors := make([]*monitor, machineCount)
	for i, m := range c.machines {
		monitors[i] = watch(m)
	}
	clients := startClients(c, rng)
	var crowds []*crowd
	restart := func(end func(*machine)) {
		i := rng.IntN(machineCount)
		m := c.machines[i]
		monitors[i].stop(t)
		end(m)
		m.start()
		monitors[i] = watch(m)
	}
	for end := time.Now().Add(*soakLength); time.Now().Before(end); time.Sleep(time.Duration(200+rng.IntN(1000)) * time.Millisecond) {
		switch rng.IntN(6) {
		case 0, 1, 2:
			m := c.machines[rng.IntN(machineCount)]
			crowds = append(crowds, startCrowd(t, m.settings.FrontAddress, 20+rng.IntN(*crowdClients/2), misbehaviours[rng.IntN(len(misbehaviours))]))
		case 3:
			if len(crowds) > 0 {
				crowds[0].stop()
				crowds = crowds[1:]
			}
		case 4:
			restart(func(m *machine) {
				kill := time.AfterFunc(time.Duration(m.settings.GraceSeconds)*time.Second, m.kill)
				defer kill.Stop()
				if err := m.stop(); err != nil {
					t.Errorf("a planned stop ended with %v\n%s", err, m.log)
				}
			})
		case 5:
			restart((*machine).kill)
		}
	}
	for _, crowd := range crowds {
		crowd.stop()
	}
	clients.stop()
	for i, m := range c.machines {
		m.awaitServed("after the crowds")
		monitors[i].stop(t)
	}
	clients.check()
}

// ordinaryClients submit jobs one after the other and keep their connections.
type ordinaryClients struct {
	cell    *cell
	done    chan struct{}
	running sync.WaitGroup

	mu       sync.Mutex
	accepted []string // IDs of jobs
	refused  []string // whose submission was refused at each attempt
}

const ordinaryClientCount = 6

func startClients(c *cell, rng *rand.Rand) *ordinaryClients {
	o := &ordinaryClients{cell: c, done: make(chan struct{})}
	for i := range ordinaryClientCount {
		rng := rand.New(rand.NewPCG(rng.Uint64(), 0))
		o.running.Go(func() { o.submitJobs(i, rng) })
	}
	return o
}

// submitJobs submits jobs until the clients are stopped.
func (o *ordinaryClients) submitJobs(client int, rng *rand.Rand) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	h := &http.Client{Timeout: clientTimeout, Transport: transport}
	for n := 0; ; n++ {
		select {
		case <-o.done:
			return
		case <-time.After(time.Duration(rng.IntN(100)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%08x", client+1, n)
		m := o.cell.machines[rng.IntN(machineCount)]
		switch status := submit(h, m.settings.FrontAddress, id); status {
		case http.StatusOK:
			o.add(&o.accepted, id)
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			o.add(&o.refused, id)
		}
	}
}

func (o *ordinaryClients) add(to *[]string, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*to = append(*to, id)
}

// submit submits a job once and returns the status, or 0 without an answer.
func submit(h *http.Client, address, id string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/q/"+id, strings.NewReader(standin.Submission("1ms", 1)))
	if err != nil {
		return 0
	}
	req.Host = standin.Host
	// Without it the transport sends a request again by itself if its connection was closed.
	req.GetBody = nil
	resp, err := h.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // the status counts
	return resp.StatusCode
}

func (o *ordinaryClients) stop() {
	close(o.done)
	o.running.Wait()
}

// check checks the outcomes of all jobs.
func (o *ordinaryClients) check() {
	t := o.cell.t
	t.Helper()
	t.Logf("ordinary clients: %d jobs accepted, %d refused", len(o.accepted), len(o.refused))
	if len(o.accepted) == 0 {
		t.Error("no job of an ordinary client was accepted")
	}
	started := make(map[string]int)
	eventually(t, "all accepted jobs have run", func() bool {
		clear(started)
		for _, e := range o.cell.executors {
			for _, task := range e.Started() {
				id, _, _ := strings.Cut(task, ".")
				started[id]++
			}
		}
		for _, id := range o.accepted {
			if started[id] == 0 {
				return false
			}
		}
		return true
	})
	for _, id := range o.refused {
		if started[id] > 0 {
			t.Errorf("job %s was refused and has run", id)
		}
	}
}
