package config

import (
	"github.com/skylarklock/skylarklock/api"
	"github.com/skylarklock/skylarklock/internal/schema"
)

// Job is a job in force: a batch or gang job, or the tasks of a service.
type Job struct {
	Key      Key
	Revision api.Revision // of the record in force
	Spec     api.JobSpec
}

// Service returns the service in force under name, in the newest schema.
func (m *StateMachine) Service(name string) (api.ServiceSpec, bool) {
	o := m.tables.get(Key{Kind: api.KindService, Name: name})
	if !o.inForce() {
		return api.ServiceSpec{}, false
	}
	return *o.spec.Service, true
}

// Services returns all services in force, in order of name.
func (m *StateMachine) Services() []api.ServiceSpec {
	var out []api.ServiceSpec
	for _, o := range m.inForce(api.KindService) {
		out = append(out, *o.spec.Service)
	}
	return out
}

// Policy returns the policy in force, or the built-in one.
func (m *StateMachine) Policy() api.PolicySpec {
	o := m.tables.get(Key{Kind: api.KindPolicy, Name: schema.PolicyName})
	if !o.inForce() {
		return schema.DefaultPolicy()
	}
	return *o.spec.Policy
}

// Quota returns the quota in force of a team.
func (m *StateMachine) Quota(team string) (api.QuotaSpec, bool) {
	o := m.tables.get(Key{Kind: api.KindQuota, Name: team})
	if !o.inForce() {
		return api.QuotaSpec{}, false
	}
	return *o.spec.Quota, true
}

// Quotas returns all quotas in force, in order of team.
func (m *StateMachine) Quotas() []api.QuotaSpec {
	var out []api.QuotaSpec
	for _, o := range m.inForce(api.KindQuota) {
		out = append(out, *o.spec.Quota)
	}
	return out
}

// Limits returns the limits in force of a caller: its own, else those of
// schema.AnyCaller, else the built-in ones.
func (m *StateMachine) Limits(caller string) api.LimitsSpec {
	for _, name := range []string{caller, schema.AnyCaller} {
		o := m.tables.get(Key{Kind: api.KindLimits, Name: name})
		if o.inForce() {
			return *o.spec.Limits
		}
	}
	return schema.DefaultLimits()
}

// Job returns the job in force under id, of whichever kind.
func (m *StateMachine) Job(id api.JobID) (Job, bool) {
	for _, kind := range jobKinds {
		if j, ok := jobOf(m.tables.get(Key{Kind: kind, Name: string(id)})); ok {
			return j, true
		}
	}
	return Job{}, false
}

// Jobs returns all jobs in force, the tasks of services too, in order of kind
// and name.
func (m *StateMachine) Jobs() []Job {
	var out []Job
	for _, kind := range jobKinds {
		for _, o := range m.inForce(kind) {
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
	return Job{Key: o.key, Revision: o.records[o.understood].Revision, Spec: *spec}, true
}

func (m *StateMachine) inForce(kind api.Kind) []*object {
	all := m.tables.of(kind).all()
	kept := all[:0]
	for _, o := range all {
		if o.inForce() {
			kept = append(kept, o)
		}
	}
	return kept
}

// Record returns the state of one key, a deleted one too.
func (m *StateMachine) Record(k Key) (api.RecordState, bool) {
	o := m.tables.get(k)
	if o == nil {
		return api.RecordState{}, false
	}
	return o.state(), true
}

// Records returns the state of all keys, deleted ones too, or of those of one
// kind when it isn't empty.
func (m *StateMachine) Records(kind api.Kind) []api.RecordState {
	var out []api.RecordState
	for _, o := range m.tables.objects() {
		if kind == "" || o.key.Kind == kind {
			out = append(out, o.state())
		}
	}
	return out
}

// UnreadableRecords returns the keys whose newest record this binary doesn't
// understand. The last understood one, if any, stays in force.
func (m *StateMachine) UnreadableRecords() []api.RecordState {
	var out []api.RecordState
	for _, o := range m.tables.objects() {
		if o.fault != nil {
			out = append(out, o.state())
		}
	}
	return out
}

func (o *object) state() api.RecordState {
	s := api.RecordState{Revision: o.revision(), Record: o.newest().record(o.key)}
	if o.inForce() {
		s.InForce = o.records[o.understood].Revision
	}
	if o.fault != nil {
		s.DecodeError = o.fault.Error()
	}
	return s
}
