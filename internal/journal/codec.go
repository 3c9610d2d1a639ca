package journal

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// decoder accepts arrays and maps of any length: the input is bounded in
// bytes, and the library's default limit is below the number of running tasks.
var decoder = newDecoder()

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic("journal: decoder: " + err.Error())
	}
	return mode
}

// Encode returns v as CBOR. It panics for types that CBOR cannot represent,
// because that is a bug in the program, not bad input.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic("journal: encode: " + err.Error())
	}
	return data
}

// Decode decodes CBOR data into v.
func Decode(data []byte, v any) error {
	return decoder.Unmarshal(data, v)
}
