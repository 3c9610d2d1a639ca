package journal

import "github.com/fxamacker/cbor/v2"

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
	return cbor.Unmarshal(data, v)
}
