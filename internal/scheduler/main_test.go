package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that every run gives the
// same verdict; -rapid.seed on the command line still wins.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
