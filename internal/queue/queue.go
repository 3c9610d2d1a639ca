// Package queue holds the operators' configuration in force: the queues that
// accept jobs, the services whose executors run them, and limits on requests.
package queue

import (
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/internal/finding"
	"github.com/skylarklock/skylarklock/internal/work"
)

// Queue accepts jobs that share a service, a priority and a latency objective.
type Queue struct {
	Name           string
	Host           string        // Host header of the requests that the queue accepts
	PathPrefix     string        // prefix of their paths; the longest matching prefix wins
	Path           work.PathID   // of Host and PathPrefix
	Service        string        // service whose executors run the tasks
	Priority       int           // 0 is the highest and may preempt others
	MaxAttempts    int           // number of failed runs after which a task fails; 0 means 1
	Stretch        float64       // factor on the critical path in the latency objective
	TargetLatency  time.Duration // constant part of the latency objective
	RequestTimeout time.Duration // timeout of one request
	Advice         *Advice       // nil if any executor of the service may run the steps
	Public         bool          // clients need no key
}

// LatencyObjective returns the time from arrival to completion that a job should
// not exceed, given the estimated run time of its critical path.
func (q *Queue) LatencyObjective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.TargetLatency
}

// Advice describes the advice service, which decides which executors may run a step.
type Advice struct {
	DecisionTime   time.Duration // fixed part of the time of a call
	TimePerVM      time.Duration // additional time for each executor in the answer
	TicketValidity time.Duration // time for which a ticket is valid
}

// CallTime is the expected duration of one call to the advice service.
type CallTime struct {
	Fixed time.Duration // part that does not depend on the number of executors
	Total time.Duration // whole duration, including Fixed
}

// CallTime returns the expected duration of a call whose answer names n executors.
func (a *Advice) CallTime(n int) CallTime {
	return CallTime{Fixed: a.DecisionTime, Total: a.DecisionTime + time.Duration(n)*a.TimePerVM}
}

// Service is a pool of executors.
type Service struct {
	Name             string
	EnforcesCapacity bool // executors refuse starts that exceed their free capacity
	Spare            bool // the service's machines are switched off
}

// Limits bounds the size and duration of client requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the operators' configuration.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits

	HasWorkspaces bool // it lists workspaces, so queues that aren't public need keys
	Workspaces    Workspaces
	Findings      []finding.Finding // entries that were left out, without any key
}

// Match returns the queue for a request: of the queues with this host whose path
// prefix matches, the one with the longest prefix. It returns nil if none matches.
func (c *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// QueueNamed returns the queue with the given name, or nil.
func (c *Configuration) QueueNamed(name string) *Queue {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i]
		}
	}
	return nil
}

// QueueOf returns the queue to which a job belongs that a queue with this name accepted at a path: the queue
// that is at the path now, whatever its name, or else the one with the name. It returns nil if there is
// neither.
func (c *Configuration) QueueOf(name string, path work.PathID) *Queue {
	if path != 0 {
		for i := range c.Queues {
			if c.Queues[i].Path == path {
				return &c.Queues[i]
			}
		}
	}
	return c.QueueNamed(name)
}

// HasService reports whether the configuration lists the service or a queue uses it.
func (c *Configuration) HasService(service string) bool {
	if _, listed := c.Services[service]; listed {
		return true
	}
	for i := range c.Queues {
		if c.Queues[i].Service == service {
			return true
		}
	}
	return false
}
