package api

// RecordState is one key of the configuration as operators read it.
type RecordState struct {
	Revision Revision `json:"revision"` // of the newest accepted record
	Record   Record   `json:"record"`   // the newest accepted record
	// InForce is the revision that decisions use. It is smaller than
	// Revision while this binary doesn't understand the newest record, and
	// zero when it understands none or the key is deleted.
	InForce Revision `json:"in_force"`
	// DecodeError says why the newest record isn't understood; empty when it is.
	DecodeError string `json:"fault,omitempty"`
}

// PublishOutcome says what became of a published record.
type PublishOutcome string

// Outcomes of publishing.
const (
	PublishAccepted   PublishOutcome = "accepted"
	PublishConflict   PublishOutcome = "conflict"    // another revision is in force
	PublishInvalid    PublishOutcome = "invalid"     // see the findings
	PublishNotWritten PublishOutcome = "not-written" // certainly; try again
	PublishUnsettled  PublishOutcome = "unsettled"   // publish the same again to learn
)

// Finding is one fault of a record with its place.
type Finding struct {
	File    string `json:"file,omitempty"`
	Path    string `json:"path"`
	Value   string `json:"value,omitempty"`
	Allowed string `json:"allowed"`
}

// PublishAnswer is the operator service's answer to a published record.
type PublishAnswer struct {
	Outcome  PublishOutcome `json:"outcome"`
	Revision Revision       `json:"revision,omitempty"` // the record's own, once accepted
	InForce  Revision       `json:"in_force,omitempty"` // at a conflict
	Findings []Finding      `json:"findings,omitempty"`
	Detail   string         `json:"detail,omitempty"`
}

// HeaderPublishID names a publication, so that a repeat is told from another
// operator's identical record. It may be left out.
const HeaderPublishID = "Publish-Id"
