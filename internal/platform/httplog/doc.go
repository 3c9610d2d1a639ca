// Package httplog reaches the platform's log over HTTP.
//
// Its one difficulty is to say truthfully whether a failed append may have
// taken effect: it certainly did not when no connection was handed to the
// request, or when the log refused it by name; anything else is uncertain.
package httplog

// Headers and query parameters of the protocol.
const (
	// HeaderRefused is "true" in an answer that says the request had no effect.
	HeaderRefused = "Log-Refused"
	// ParamFrom is the first offset of a read.
	ParamFrom = "from"
	// ParamMax is the most records of a read.
	ParamMax = "max"
	// ParamMaxBytes is the most bytes of records in a read, besides the first.
	ParamMaxBytes = "max_bytes"
	// ParamWaitMs is the longest wait of a read, in milliseconds.
	ParamWaitMs = "wait_ms"
)

// AppendAnswer is the body of an append's answer, in JSON.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// TrimmedAnswer is the body of a read's answer with status 410, in JSON.
type TrimmedAnswer struct {
	From  uint64 `json:"from"`
	First uint64 `json:"first"`
}

// ReadAnswer is the body of a read's answer, in CBOR.
type ReadAnswer struct {
	_       struct{} `cbor:",toarray"`
	Records []Record
	First   uint64
	Next    uint64
}

// Record is one record of a ReadAnswer.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Offset uint64
	Data   []byte
}

// RecordsPath is the path of a stream's records: POST appends, GET reads.
func RecordsPath(stream string) string {
	return "/streams/" + stream + "/records"
}
