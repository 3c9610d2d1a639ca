package counter

import (
	"fmt"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

func TestSetsAreIndependentAndPublishOnce(t *testing.T) {
	a, b := NewSet(), NewSet()
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			a.Inc("router", api.ReasonQueueFull)
			b.Add("router", api.ReasonQueueFull, 2)
		})
	}
	wg.Wait()
	if a.Value("router", api.ReasonQueueFull) != 8 || b.Value("router", api.ReasonQueueFull) != 16 {
		t.Fatalf("a %s, b %s", a, b)
	}
	if a.Value("cell", api.ReasonQuota) != 0 {
		t.Fatal("a reason never counted isn't zero")
	}
	name := fmt.Sprintf("counter-test-%p", a) // unique when the test is repeated
	if err := a.Publish(name); err != nil {
		t.Fatal(err)
	}
	if err := b.Publish(name); err == nil {
		t.Fatal("a name was registered twice")
	}
	if a.String() != `{"router": {"queue_full": 8}}` {
		t.Fatalf("got %s", a)
	}
}
