package config

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Job is a job in force: a batch job, a gang job or the tasks of a service.
type Job struct {
	Key      Key
	Revision api.Revision // of the record in force
	Spec     api.JobSpec
}

// Service returns the service in force with the given name, converted to the
// latest schema version.
func (m *StateMachine) Service(name string) (api.ServiceSpec, bool) {
	o := m.tables.get(Key{Kind: api.KindService, Name: name})
	if !o.inForce() {
		return api.ServiceSpec{}, false
	}
	return *o.spec.Service, true
}

// Services returns all services in force, sorted by name.
func (m *StateMachine) Services() []api.ServiceSpec {
	var out []api.ServiceSpec
	for _, o := range m.objectsInForce(api.KindService) {
		out = append(out, *o.spec.Service)
	}
	return out
}

// Policy returns the policy in force, or schema.DefaultPolicy if there is none.
func (m *StateMachine) Policy() api.PolicySpec {
	o := m.tables.get(Key{Kind: api.KindPolicy, Name: schema.PolicyName})
	if !o.inForce() {
		return schema.DefaultPolicy()
	}
	return *o.spec.Policy
}

// Quota returns the quota in force for a team.
func (m *StateMachine) Quota(team string) (api.QuotaSpec, bool) {
	o := m.tables.get(Key{Kind: api.KindQuota, Name: team})
	if !o.inForce() {
		return api.QuotaSpec{}, false
	}
	return *o.spec.Quota, true
}

// Quotas returns all quotas in force, sorted by team.
func (m *StateMachine) Quotas() []api.QuotaSpec {
	var out []api.QuotaSpec
	for _, o := range m.objectsInForce(api.KindQuota) {
		out = append(out, *o.spec.Quota)
	}
	return out
}

// Limits returns the limits in force for a caller: its own, else those of
// schema.AnyCaller, else schema.DefaultLimits.
func (m *StateMachine) Limits(caller string) api.LimitsSpec {
	for _, name := range []string{caller, schema.AnyCaller} {
		o := m.tables.get(Key{Kind: api.KindLimits, Name: name})
		if o.inForce() {
			return *o.spec.Limits
		}
	}
	return schema.DefaultLimits()
}

// Job returns the job in force with the given ID, of any kind.
func (m *StateMachine) Job(id api.JobID) (Job, bool) {
	for _, kind := range jobKinds {
		if j, ok := jobOf(m.tables.get(Key{Kind: kind, Name: string(id)})); ok {
			return j, true
		}
	}
	return Job{}, false
}

// Jobs returns all jobs in force, including the tasks of services. Services come
// first, then batch jobs, then gang jobs, each sorted by name.
func (m *StateMachine) Jobs() []Job {
	var out []Job
	for _, kind := range jobKinds {
		for _, o := range m.objectsInForce(kind) {
			if j, ok := jobOf(o); ok {
				out = append(out, j)
			}
		}
	}
	return out
}

func jobOf(o *object) (Job, bool) {
	if !o.inForce() {
		return Job{}, false
	}
	spec := o.spec.Job
	if o.spec.Service != nil {
		spec = o.spec.Service.Job
	}
	if spec == nil {
		return Job{}, false
	}
	return Job{Key: o.key, Revision: o.records[o.decodedIndex].Revision, Spec: *spec}, true
}

func (m *StateMachine) objectsInForce(kind api.Kind) []*object {
	all := m.tables.tableFor(kind).sortedObjects()
	kept := all[:0]
	for _, o := range all {
		if o.inForce() {
			kept = append(kept, o)
		}
	}
	return kept
}

// Record returns the state of a key, which may be deleted.
func (m *StateMachine) Record(k Key) (api.RecordState, bool) {
	o := m.tables.get(k)
	if o == nil {
		return api.RecordState{}, false
	}
	return o.state(), true
}

// Records returns the state of all keys of a kind, or of all kinds if kind is
// empty. Deleted keys are included.
func (m *StateMachine) Records(kind api.Kind) []api.RecordState {
	var out []api.RecordState
	for _, o := range m.tables.objects() {
		if kind == "" || o.key.Kind == kind {
			out = append(out, o.state())
		}
	}
	return out
}

// UnreadableRecords returns the state of the keys whose newest record this binary
// cannot decode. The newest record that it can decode, if any, remains in force.
func (m *StateMachine) UnreadableRecords() []api.RecordState {
	var out []api.RecordState
	for _, o := range m.tables.objects() {
		if o.decodeErr != nil {
			out = append(out, o.state())
		}
	}
	return out
}

func (o *object) state() api.RecordState {
	s := api.RecordState{Revision: o.revision(), Record: o.newest().record(o.key)}
	if o.inForce() {
		s.InForce = o.records[o.decodedIndex].Revision
	}
	if o.decodeErr != nil {
		s.DecodeError = o.decodeErr.Error()
	}
	return s
}
