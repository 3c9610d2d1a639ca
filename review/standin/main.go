// Command standin plays a case of the review: it starts the project's program on three machines, with
// stand-ins of the store, the executors and the clients on loopback, and checks one rule.
//
// Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// outcome is what a case has seen.
type outcome struct {
	broken []string // how the rule was broken
	notes  []string
}

// scenario plays a case. With trouble false it does the same without the disruption.
type scenario struct {
	executors int
	behave    behaviour
	play      func(d *deployment, trouble bool) (outcome, error)
}

var scenarios = map[string]scenario{
	"attempts": attemptsScenario(),
	"ends":     endsScenario(),
	"lasting":  lastingScenario(),
	"loop":     loopScenario(),
	"rename":   renameScenario(),
	"schedule": scheduleScenario(),
	"steps":    stepsScenario(),
}

func main() {
	program := flag.String("program", "target/skylarklock", "the project's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	name := flag.String("case", "", "the case")
	keep := flag.Bool("keep", false, "keep the logs of the processes")
	flag.Parse()
	os.Exit(run(*name, *program, *record, *keep, os.Getenv("TROUBLE") != "0"))
}

func run(name, program, record string, keep, trouble bool) int {
	s, known := scenarios[name]
	if !known {
		fmt.Println("no case", name)
		return 2
	}
	rec := newRecorder()
	d, err := newDeployment(rec, program, s.executors, s.behave)
	if d != nil {
		defer d.close(keep)
		if keep {
			fmt.Println("logs are in", d.dir)
		}
	}
	if err != nil {
		fmt.Println("the case can't run:", err)
		if d != nil {
			for _, line := range d.lastLines() {
				fmt.Println(line)
			}
		}
		return 2
	}
	time.Sleep(3 * time.Second) // a leader plans, and the executors have reported
	rec.eventf("case %s begins, disruption: %v", name, trouble)
	out, err := s.play(d, trouble)
	if err != nil {
		fmt.Println("the case couldn't run:", err)
		_ = rec.write(record, []string{"could not run: " + err.Error()})
		return 2
	}
	verdict := []string{"rule held"}
	if len(out.broken) > 0 {
		verdict = append([]string{fmt.Sprintf("RULE BROKEN, %d times", len(out.broken))}, out.broken[:min(len(out.broken), 10)]...)
	}
	verdict = append(verdict, out.notes...)
	for _, line := range verdict {
		fmt.Println(line)
	}
	if err := rec.write(record, verdict); err != nil {
		fmt.Println(err)
		return 2
	}
	if len(out.broken) > 0 {
		return 1
	}
	return 0
}
