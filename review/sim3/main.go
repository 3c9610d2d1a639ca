// Command sim3 plays the cases of the third review that are scripts: it starts the system's processes with the
// command of the deploy file, plays the platform, the executors and the requesters, and judges what these have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cell is a small deployment with its stand-ins.
type cell struct {
	log      *recorder
	store    *store
	machines []*machine
	workers  []*worker
	clients  *requesters
	folder   string
	trouble  bool
	begun    time.Time
	seed     uint64
}

// cases are the cases by name.
var cases = map[string]struct {
	machines, workers int
	advised           bool // the queue has advice
	play              func(*cell) (broken bool, err error)
}{
	"orphan": {9, 12, true, playOrphan},
	"both":   {3, 8, true, playBoth},
	"starve": {4, 12, false, playStarve},
}

func main() {
	name := flag.String("case", "", "the case to play")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "of what is drawn")
	flag.Parse()
	os.Exit(run(*name, *record, *seed))
}

func run(name, record string, seed uint64) int {
	c, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	begun := time.Now()
	log, err := newRecorder(record, begun)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer log.close()
	folder, err := os.MkdirTemp("", "sim3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" { // otherwise the logs of the processes stay
		defer func() { _ = os.RemoveAll(folder) }()
	}
	env := &cell{log: log, store: newStore(log), folder: folder, trouble: os.Getenv("TROUBLE") != "0", begun: begun, seed: seed}
	defer env.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		log.say("the case was stopped")
		env.end()
		os.Exit(exitNotRun)
	}()
	if err := env.start(c.machines, c.workers, c.advised); err != nil {
		log.say("the case couldn't run: %v", err)
		return exitNotRun
	}
	broken, err := c.play(env)
	switch {
	case err != nil:
		log.say("the case couldn't run: %v", err)
		return exitNotRun
	case broken:
		log.say("the rule was broken")
		return exitBroken
	default:
		log.say("the rule held")
		return exitHeld
	}
}

// start starts the stand-ins and the machines and waits until all are ready.
func (c *cell) start(machines, workers int, advised bool) error {
	c.store.put("keyed.op", "config", configuration(advised))
	advice := ""
	var permits *adviser
	if advised {
		var err error
		if permits, err = newAdviser(); err != nil {
			return err
		}
		advice = permits.address
	}
	for i := range workers {
		w, err := newWorker(fmt.Sprintf("w%02d", i), zones[i%len(zones)], fmt.Sprintf("r%d", i%4), c.store, c.log)
		if err != nil {
			return err
		}
		w.adviser = permits
		c.workers = append(c.workers, w)
	}
	for i := range machines {
		m, err := newMachine(i, c.store, advice, c.folder, c.log)
		if err != nil {
			return err
		}
		c.machines = append(c.machines, m)
	}
	c.clients = newRequesters(c.machines, c.log, c.seed)
	for _, m := range c.machines {
		if err := m.run(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, m := range c.machines {
		if err := m.awaitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the first leader has taken over
	return nil
}

// end ends all processes.
func (c *cell) end() {
	for _, m := range c.machines {
		m.end()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") != "" {
		c.log.say("logs are in %s", filepath.Base(c.folder))
	}
}

// runs returns all runs on executors.
func (c *cell) runs() []startEvent {
	var all []startEvent
	for _, w := range c.workers {
		all = append(all, w.history()...)
	}
	return all
}
