// Package queue holds the operators' configuration in force: the queues that
// take jobs, the services whose executors run them, and limits on requests.
package queue

import (
	"strings"
	"time"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name          string
	Host          string        // of the requests that it takes
	Prefix        string        // of their paths
	Service       string        // whose executors run its tasks
	Priority      int           // 0 comes first and may displace others
	Attempts      int           // failed runs after which a task is given up; 0: one
	Stretch       float64       // the latency objective is this many times the chain of work
	TargetLatency time.Duration // plus this
	Timeout       time.Duration // of one request
	Advice        *Advice       // nil: any executor of the service may run its steps
}

// Objective returns within what time after its arrival a job should end whose longest
// chain of estimated run times is given.
func (q *Queue) Objective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.TargetLatency
}

// Advice describes the service that knows which executors may run a step.
type Advice struct {
	Decision time.Duration // time that one call takes
	PerVM    time.Duration // and for each executor that it names
	Valid    time.Duration // of a ticket
}

// Call is the expected time of one call to the advice service.
type Call struct {
	Fixed time.Duration // whatever it names
	Cost  time.Duration // all of it
}

// Call returns what one call about n executors takes.
func (a *Advice) Call(n int) Call {
	return Call{Fixed: a.Decision, Cost: a.Decision + time.Duration(n)*a.PerVM}
}

// Service is a pool of executors.
type Service struct {
	Name           string
	GuardsCapacity bool // its executors refuse what doesn't fit
	Spare          bool // its machines are off
}

// Limits bounds requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
}

// Find returns the queue for a request: that of the host whose prefix is the
// longest which the path begins with. Nil means that there is none.
func (t *Table) Find(host, path string) *Queue {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Named returns the queue of that name, or nil.
func (t *Table) Named(name string) *Queue {
	for i := range t.Queues {
		if t.Queues[i].Name == name {
			return &t.Queues[i]
		}
	}
	return nil
}

// Serves reports whether the configuration names the service, by itself or for a
// queue.
func (t *Table) Serves(service string) bool {
	if _, named := t.Services[service]; named {
		return true
	}
	for i := range t.Queues {
		if t.Queues[i].Service == service {
			return true
		}
	}
	return false
}
