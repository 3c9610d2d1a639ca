package counter

import (
	"fmt"
	"sync"
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

// Two sets keep separate counts under concurrent use, and a name can be published only
// once.
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
		t.Fatal("the count of a reason that was never counted is not zero")
	}
	name := fmt.Sprintf("counter-test-%p", a) // unique if the test is repeated in one process
	if err := a.Publish(name); err != nil {
		t.Fatal(err)
	}
	if err := b.Publish(name); err == nil {
		t.Fatal("a second set was published under the same name")
	}
	if a.String() != `{"router": {"queue_full": 8}}` {
		t.Fatalf("got %s", a)
	}
}
