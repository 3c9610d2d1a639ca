package replica

import (
	"testing"
	"testing/synctest"
	"time"
)

// Records written during a restore are not read by it, so after a restore the replica's
// lag is the time since the restore began.
func TestLagAfterLongRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pages, perPage = 10, 800 * time.Millisecond
		f := newReader(newKeyedStore(pages*pageKeys, perPage))
		if err := f.Restore(t.Context()); err != nil {
			t.Fatal(err)
		}
		if lag := f.Replica.Lag(time.Now()); lag < pages*perPage {
			t.Errorf("lag is %v, want at least %v", lag, pages*perPage)
		}
	})
}
