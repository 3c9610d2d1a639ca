// Package queue holds the operators' configuration in force: the queues that
// take jobs, the services whose executors run them, and limits on requests.
package queue

import (
	"strings"
	"time"
)

// Queue takes jobs of one kind.
type Queue struct {
	Name           string
	Host           string        // of the requests that it takes
	PathPrefix     string        // of their paths
	Service        string        // whose executors run its tasks
	Priority       int           // 0 comes first and may displace others
	MaxAttempts    int           // failed runs after which a task is given up; 0: one
	Stretch        float64       // the latency objective is this many times the chain of work
	TargetLatency  time.Duration // plus this
	RequestTimeout time.Duration // of one request
	Advice         *Advice       // nil: any executor of the service may run its steps
}

// LatencyObjective returns within what time after its arrival a job should end whose longest
// chain of estimated run times is given.
func (q *Queue) LatencyObjective(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.TargetLatency
}

// Advice describes the service that knows which executors may run a step.
type Advice struct {
	DecisionTime   time.Duration // time that one call takes
	TimePerVM      time.Duration // and for each executor that it names
	TicketValidity time.Duration // of a ticket
}

// CallTime is the expected time of one call to the advice service.
type CallTime struct {
	Fixed time.Duration // whatever it names
	Total time.Duration // all of it
}

// CallTime returns what one call about n executors takes.
func (a *Advice) CallTime(n int) CallTime {
	return CallTime{Fixed: a.DecisionTime, Total: a.DecisionTime + time.Duration(n)*a.TimePerVM}
}

// Service is a pool of executors.
type Service struct {
	Name             string
	EnforcesCapacity bool // its executors refuse what doesn't fit
	Spare            bool // its machines are off
}

// Limits bounds requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Configuration is one version of the configuration.
type Configuration struct {
	Version  uint64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits
}

// Match returns the queue for a request: that of the host whose prefix is the
// longest which the path begins with. Nil means that there is none.
func (t *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for i := range t.Queues {
		q := &t.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// QueueNamed returns the queue of that name, or nil.
func (t *Configuration) QueueNamed(name string) *Queue {
	for i := range t.Queues {
		if t.Queues[i].Name == name {
			return &t.Queues[i]
		}
	}
	return nil
}

// HasService reports whether the configuration names the service, by itself or for a
// queue.
func (t *Configuration) HasService(service string) bool {
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
