package journal

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// decoder takes arrays and maps of any length: what is read is bounded in
// bytes, and the library's own bound is below the number of running tasks.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic("journal: decoder: " + err.Error())
	}
	return mode
}

// Encode returns v as CBOR. It panics for types that CBOR cannot hold, which
// is a fault of the program, not of its input.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("journal: encode: " + err.Error())
	}
	return data
}

// Decode reads CBOR into v.
func Decode(data []byte, v any) error {
	return decoder.Unmarshal(data, v)
}
