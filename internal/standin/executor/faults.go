package executor

// Faults are the faults of a stand-in. The zero value is a healthy endpoint.
type Faults struct {
	FailAll        bool    `json:"fail_all"`         // record a run and answer 500 without the service time
	FailRate       float64 `json:"fail_rate"`        // share of requests answered with 500, 0 to 1
	SlowFactor     float64 `json:"slow_factor"`      // multiplies the service time; 0 means 1
	Leaving        bool    `json:"leaving"`          // refuse in-band and announce that the endpoint is leaving
	BreakHalfway   bool    `json:"break_halfway"`    // abort the connection halfway through the answer
	CloseAfterRead bool    `json:"close_after_read"` // record a run, then close the connection without an answer
	Hang           bool    `json:"hang"`             // record a run and never answer
}
