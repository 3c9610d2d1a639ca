package httpendpoint

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/platform"
	"github.com/skylarklock/skylarklock/internal/router"
	"github.com/skylarklock/skylarklock/internal/standin/executor"
)

// The test runs router, adapter and stand-in executors together over TCP, with a
// different fault at each endpoint. The certainty of each attempt's error agrees with
// the requests that the executors have recorded.
func TestAttemptOutcomesMatchExecutorRecords(t *testing.T) {
	faults := []executor.Faults{{}, {CloseAfterRead: true}, {BreakHalfway: true}, {Leaving: true}, {FailRate: 0.5}, {}}
	standins := make(map[api.EndpointID]*executor.Executor)
	var held []router.HeldEndpoint
	for i, f := range faults {
		l := listenLoopback(t)
		id := api.EndpointID(fmt.Sprint("e", i))
		standins[id] = executor.New(executor.Config{ID: id, ServiceTime: time.Millisecond, Spread: 1, Seed: uint64(i)})
		standins[id].SetFaults(f)
		server := standins[id].Serve(l)
		defer server.Close()
		ep := api.Endpoint{ID: id, Service: "s", Address: l.Addr().String(), Slots: 8, Connections: 60}
		held = append(held, router.HeldEndpoint{Endpoint: ep, SlotLimit: 8, Epoch: 1})
	}
	r := router.New(router.Config{Rand: rand.NewPCG(1, 2), QueueTime: time.Minute})
	r.SetEndpoints(time.Now(), held)
	client := New(Config{})
	defer client.Close()

	var mu sync.Mutex
	certainties := make(map[platform.Certainty]int)
	attempt := func(id string, body []byte) {
		ticket, err := r.Acquire(t.Context(), "s", api.ClassInteractive, "a", nil)
		if err != nil {
			t.Error(err)
			return
		}
		ep := ticket.Endpoint()
		req := &api.Request{ID: id, Method: "POST", Path: "/", Header: map[string]string{"Idempotency-Key": id}, Body: body}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		answer, feedback, err := client.Attempt(ctx, ep, ticket.Epoch(), req, maxAnswer)
		var failure *platform.AttemptError
		errors.As(err, &failure)
		result := router.Result{Err: failure, Feedback: feedback, Latency: time.Millisecond}
		if answer != nil {
			result.Status = answer.Status
		}
		ticket.Done(result)

		want, certainty := 1, platform.Certainty(0)
		if failure != nil {
			certainty = failure.Certainty
		}
		if certainty == platform.CertainNotRun {
			want = 0
		}
		if got := standins[ep.ID].Record().RunCount(id); got != want {
			t.Errorf("%s at %s ran %d times, want %d: %v", id, ep.ID, got, want, err)
		}
		if answer != nil && answer.Status == 200 && string(answer.Body) != id+"\n"+string(body) {
			t.Errorf("%s got the answer to another request: %q", id, answer.Body)
		}
		mu.Lock()
		defer mu.Unlock()
		certainties[certainty]++
	}
	var group sync.WaitGroup
	for worker := range 32 {
		group.Go(func() {
			for i := range 20 {
				id := fmt.Sprintf("r%d-%d", worker, i)
				attempt(id, make([]byte, i%3*5000))
			}
		})
	}
	group.Wait()
	if certainties[0] == 0 || certainties[platform.CertainNotRun] == 0 || certainties[platform.MayHaveRun] == 0 {
		t.Errorf("certainties %v, want each at least once", certainties)
	}
	client.Retain(nil)
	for id, standin := range standins {
		for standin.Record().OpenConnections > 0 {
			time.Sleep(time.Millisecond) // until the server has noticed the closed connections
		}
		record := standin.Record()
		if record.MaxRequests > 8 || record.MaxConnections > 60 || record.RejectedConnections > 0 {
			t.Errorf("%s: requests %d, connections %d, rejected connections %d", id, record.MaxRequests, record.MaxConnections, record.RejectedConnections)
		}
	}
}
