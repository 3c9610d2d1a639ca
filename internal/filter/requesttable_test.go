package filter

import (
	"testing"

	"github.com/skylarklock/skylarklock/api"
)

func TestTrailersCountAgainstBoundOfKeptAnswers(t *testing.T) {
	const size = 1000
	value := string(make([]byte, size))
	plain := resultSize("id", result{answer: &api.Answer{}})
	withTrailer := resultSize("id", result{answer: &api.Answer{Trailer: map[string]string{"x": value}}})
	if grown := withTrailer - plain; grown != size+1 {
		t.Fatalf("a trailer of %d bytes counts as %d", size+1, grown)
	}
}
