// Command rig plays the cases of the second review: it starts the project's own processes, with stand-ins of the
// platform, the executors and the clients around them, and checks one rule of the users' pages. It exits with 1 if
// the rule was broken, with 0 if it held, and with 2 if the case could not be played.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxPlay bounds a whole play, so that it ends within the 120 s that a script may take.
const maxPlay = 115 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken []string // how the rule was broken; empty: it held
	err    error    // why the case could not be played
}

var cases = map[string]func(*rig) verdict{
	"cut-zones":       cutZones,
	"frozen-follower": frozenFollower,
	"lost-executors":  lostExecutors,
	"removed-route":   removedRoute,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER, in the root of the repository")
		os.Exit(2)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "rig: no case", os.Args[1])
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2] + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
	r, err := newRig(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
	done := make(chan verdict, 1)
	go func() { done <- play(r) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	var v verdict
	select {
	case v = <-done:
	case s := <-interrupted:
		v.err = fmt.Errorf("ended by signal %v", s)
	case <-time.After(maxPlay):
		v.err = fmt.Errorf("not over after %v", maxPlay)
	}
	r.close()
	status := 0
	switch {
	case v.err != nil:
		rec.line("not played: %v", v.err)
		status = 2
	case len(v.broken) > 0:
		for _, b := range v.broken {
			rec.line("BROKEN: %s", b)
		}
		status = 1
	default:
		rec.line("the rule held")
	}
	rec.line("exit %d", status)
	rec.close()
	fmt.Println(rec.last(4))
	os.Exit(status)
}
