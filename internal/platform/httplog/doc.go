// Package httplog accesses the platform's log over HTTP.
//
// A failed append certainly had no effect if the request got no connection, or if the
// log refused it with HeaderRefused. Any other failure is uncertain.
package httplog

// Headers and query parameters of the protocol.
const (
	// HeaderRefused is "true" in an answer if the request had no effect.
	HeaderRefused = "Log-Refused"
	// ParamFrom is the first offset to read.
	ParamFrom = "from"
	// ParamMax is the maximum number of records in a read.
	ParamMax = "max"
	// ParamMaxBytes is the maximum total size of the records in a read in bytes. The
	// first record is returned even if it is larger.
	ParamMaxBytes = "max_bytes"
	// ParamWaitMs is the maximum wait of a read, in milliseconds.
	ParamWaitMs = "wait_ms"
)

// AppendAnswer is the JSON body of the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// TrimmedAnswer is the JSON body of the answer to a read with status 410.
type TrimmedAnswer struct {
	From  uint64 `json:"from"`
	First uint64 `json:"first"`
}

// ReadAnswer is the CBOR body of the answer to a read.
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

// RecordsPath returns the path of a stream's records. POST appends and GET reads.
func RecordsPath(stream string) string {
	return "/streams/" + stream + "/records"
}
