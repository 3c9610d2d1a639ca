package executor

// Faults are the switches of a stand-in. The zero value is a sound endpoint.
type Faults struct {
	FailAll        bool    `json:"fail_all"`         // run, then answer 500 at once
	FailRate       float64 `json:"fail_rate"`        // share answered 500, 0 to 1
	SlowFactor     float64 `json:"slow_factor"`      // service time times this; 0 is 1
	Leaving        bool    `json:"leaving"`          // refuse in-band and say so
	BreakHalfway   bool    `json:"break_halfway"`    // abort the connection in the middle of the answer
	CloseAfterRead bool    `json:"close_after_read"` // run, then close without an answer
	Hang           bool    `json:"hang"`             // run, then never answer
}
