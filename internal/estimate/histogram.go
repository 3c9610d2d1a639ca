package estimate

import "math"

// A histogram counts ratios of observed to declared amounts. Its buckets are
// an eighth of an octave wide and cover 1/16 to 16. Ratios outside that range
// count in the first or last bucket.
const (
	bucketsPerOctave = 8
	octaves          = 4 // on each side of 1
	bucketCount      = 2 * octaves * bucketsPerOctave
)

// maxSamples is the total at which all counts are halved, so that a histogram
// adapts to a change of behaviour after about that many samples.
const maxSamples = 1024

type histogram struct {
	counts [bucketCount]uint16
	total  uint32
}

func bucketOf(ratio float64) int {
	if ratio <= 0 {
		return 0
	}
	b := int(math.Ceil(math.Log2(ratio)*bucketsPerOctave)) + octaves*bucketsPerOctave - 1
	return min(max(b, 0), bucketCount-1)
}

// upperBound returns the largest ratio that falls into a bucket.
func upperBound(bucket int) float64 {
	return math.Exp2(float64(bucket+1-octaves*bucketsPerOctave) / bucketsPerOctave)
}

func (h *histogram) add(ratio float64) {
	h.counts[bucketOf(ratio)]++
	h.total++
	if h.total >= maxSamples {
		h.halve()
	}
}

// halve halves all counts. It rounds up, so that the bucket of the largest ratio
// never becomes empty.
func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] = (h.counts[i] + 1) / 2
		h.total += uint32(h.counts[i])
	}
}

// quantile returns a ratio that a share q of the samples does not exceed, or 0 if
// there are no samples.
func (h *histogram) quantile(q float64) float64 {
	if h.total == 0 {
		return 0
	}
	wanted := uint32(math.Ceil(q * float64(h.total)))
	seen := uint32(0)
	for i, n := range h.counts {
		seen += uint32(n)
		if n > 0 && seen >= wanted {
			return upperBound(i)
		}
	}
	return upperBound(bucketCount - 1)
}
