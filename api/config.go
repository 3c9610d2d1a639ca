package api

// RecordState is the state of one configuration key as shown to operators.
type RecordState struct {
	Revision Revision `json:"revision"` // of the newest accepted record, even if this binary cannot decode it
	Record   Record   `json:"record"`   // the newest accepted record
	// InForce is the revision that decisions use. It is smaller than
	// Revision while this binary cannot decode the newest record, and zero
	// when it can decode none of the records or the key is deleted.
	InForce Revision `json:"in_force"`
	// DecodeError says why the newest record cannot be decoded; empty if it can.
	DecodeError string `json:"fault,omitempty"`
}

// PublishOutcome is the result of publishing a record.
type PublishOutcome string

// Outcomes of publishing.
const (
	PublishAccepted   PublishOutcome = "accepted"
	PublishConflict   PublishOutcome = "conflict"    // another revision is in force
	PublishInvalid    PublishOutcome = "invalid"     // the findings list the invalid fields
	PublishNotWritten PublishOutcome = "not-written" // certainly not stored; can be retried
	PublishUnsettled  PublishOutcome = "unsettled"   // may be stored; publishing the identical record again gives the outcome
)

// Finding is one invalid field of a record.
type Finding struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// PublishAnswer is the operator service's answer to a publish request.
type PublishAnswer struct {
	Outcome  PublishOutcome `json:"outcome"`
	Revision Revision       `json:"revision,omitempty"` // of the accepted record
	InForce  Revision       `json:"in_force,omitempty"` // set on a conflict
	Findings []Finding      `json:"findings,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// HeaderPublishID is an optional header that identifies a publication. It
// distinguishes a retry from an identical record that another operator publishes.
const HeaderPublishID = "Publish-Id"
