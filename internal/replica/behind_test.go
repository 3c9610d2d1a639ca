package replica

import (
	"testing"
	"testing/synctest"
	"time"
)

// What was written while the newest records were read is still to be read then:
// a replica is behind by the time that has passed since it asked where they end.
func TestReplicaIsBehindAfterALongRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, perPage = 10, 800 * time.Millisecond
		f := newReader(newKeyedStore(pages*pageKeys, perPage))
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if behind := f.Replica.Lag(time.Now()); behind < pages*perPage {
			t.Errorf("behind by %v, want %v", behind, pages*perPage)
		}
	})
}
