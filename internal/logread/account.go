package logread

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/skylarklock/skylarklock/internal/account"
	"github.com/skylarklock/skylarklock/internal/logging"
)

// Messages of the lines of the machine that took a job from its client.
const (
	msgRequestConfirmed = "request confirmed"
	msgEndShown         = "end of a job shown"
)

// Stages of a job's time outside the leader. The leader's are those of package account.
const (
	StageRetries = "retries" // from the client's first attempt to the arrival of the one that was accepted
	StageShown   = "shown"   // from the end of the last run, as the leader learned of it, until a client was told
)

// AccountStages returns the names of all stages in the order of an account's columns.
func AccountStages() []string {
	names := []string{StageRetries}
	for _, s := range account.Stages() {
		names = append(names, s.String())
	}
	return append(names, StageShown)
}

// Punctuality says when a job ended in relation to its latency objective.
type Punctuality string

// Punctualities.
const (
	InTime  Punctuality = "in time"
	Late    Punctuality = "late"    // within overdueFactor times the objective
	Overdue Punctuality = "overdue" // later than that
	NotRun  Punctuality = "not run" // refused, or its end isn't in the lines
	Ended   Punctuality = "failed"  // ended as failed or cancelled
)

// overdueFactor is how many times its objective a job may take and still be of use to its client.
const overdueFactor = 3

// JobAccount is where the time of one job went.
type JobAccount struct {
	Job         string
	Queue       string
	Workspace   string
	DataCentre  string // of the machine that took it
	Arrived     time.Time
	Punctuality Punctuality
	Total       time.Duration // from the client's first attempt until it was told of the end
	Stages      map[string]time.Duration
}

// Accounts returns the accounts of all jobs that the lines name, by arrival.
func Accounts(events []Event) []JobAccount {
	byJob := make(map[string][]Event)
	for _, e := range events {
		if e.concernsAccount() {
			job := e.Field("job")
			byJob[job] = append(byJob[job], e)
		}
	}
	accounts := make([]JobAccount, 0, len(byJob))
	for job, own := range byJob {
		accounts = append(accounts, accountOf(job, own))
	}
	slices.SortFunc(accounts, func(a, b JobAccount) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), strings.Compare(a.Job, b.Job))
	})
	return accounts
}

// concernsAccount reports whether the line tells of a submission or of the end of a job.
func (l *Line) concernsAccount() bool {
	switch l.Message {
	case msgJobEnded, msgEndShown, msgCutOff:
		return true
	case msgRequestConfirmed, msgRequestNotConfirmed:
		return l.Field("method") != "DELETE"
	default:
		return false
	}
}

// accountOf returns the account of a job from the lines about it.
func accountOf(job string, own []Event) JobAccount {
	a := JobAccount{Job: job, Punctuality: NotRun, Stages: make(map[string]time.Duration)}
	var ended, shown *Event
	for i := range own {
		e := &own[i]
		if queue := e.Field("queue"); queue != "" {
			a.Queue = queue
		}
		switch e.Message {
		case msgJobEnded:
			ended = cmp.Or(ended, e) // another leader may end it again
		case msgEndShown:
			shown = cmp.Or(shown, e)
		default:
			took := max(0, millisecondsField(e, "took_ms"))
			if at := e.Time.Add(-took); a.Arrived.IsZero() || at.Before(a.Arrived) {
				a.Arrived, a.DataCentre = at, e.Field(logging.KeyDataCentre)
			}
		}
	}
	last := own[len(own)-1].Time
	if ended == nil {
		if a.Arrived.IsZero() {
			a.Arrived = own[0].Time
		}
		a.Stages[StageRetries] = last.Sub(a.Arrived)
		a.Total = last.Sub(a.Arrived)
		return a
	}
	a.addEnd(ended, shown)
	return a
}

// addEnd adds the stages of a job that has ended.
func (a *JobAccount) addEnd(ended, shown *Event) {
	a.Workspace = ended.Field("workspace")
	inLeader := max(0, millisecondsField(ended, "ended_ms"))
	arrival := ended.Time.Add(-inLeader) // of the attempt that was accepted
	if a.Arrived.IsZero() || a.Arrived.After(arrival) {
		a.Arrived = arrival
	}
	a.Stages[StageRetries] = arrival.Sub(a.Arrived)
	for _, s := range account.Stages() {
		a.Stages[s.String()] = max(0, millisecondsField(ended, "in_"+s.String()+"_ms"))
	}
	end := ended.Time
	if shown != nil && shown.Time.After(end) {
		end = shown.Time
	}
	a.Stages[StageShown] = end.Sub(ended.Time)
	a.Total = end.Sub(a.Arrived)
	a.Punctuality = Ended
	if ended.Field("state") == "completed" {
		a.Punctuality = punctualityOf(a.Total, millisecondsField(ended, "objective_ms"))
	}
}

func punctualityOf(took, objective time.Duration) Punctuality {
	switch {
	case took <= objective:
		return InTime
	case took <= overdueFactor*objective:
		return Late
	default:
		return Overdue
	}
}

// AccountKey names a property of jobs by which accounts are grouped.
type AccountKey string

// Keys by which accounts are grouped.
const (
	ByQueue       AccountKey = "queue"
	ByPunctuality AccountKey = "punctuality"
	ByWorkspace   AccountKey = "workspace"
	ByDataCentre  AccountKey = "data-centre"
	BySpan        AccountKey = "span" // of accountSpan, by arrival
)

// accountSpan is the length of the spans by which accounts are grouped.
const accountSpan = 2 * time.Second

// AccountKeys are the keys by which accounts can be grouped.
var AccountKeys = []AccountKey{ByQueue, ByPunctuality, ByWorkspace, ByDataCentre, BySpan}

// AccountRow is the mean account of the jobs that have the same values of some keys.
type AccountRow struct {
	Values []string // of the keys
	Jobs   int
	Total  time.Duration            // mean
	Stages map[string]time.Duration // means
}

// Unattributed returns the part of the mean time that no stage accounts for.
func (r *AccountRow) Unattributed() time.Duration {
	rest := r.Total
	for _, d := range r.Stages {
		rest -= d
	}
	return rest
}

// GroupAccounts returns the mean accounts by keys, ordered by the values of the keys.
func GroupAccounts(accounts []JobAccount, keys []AccountKey) []AccountRow {
	groups := make(map[string]*AccountRow)
	for i := range accounts {
		a := &accounts[i]
		values := make([]string, len(keys))
		for k, key := range keys {
			values[k] = a.value(key, accounts[0].Arrived)
		}
		id := strings.Join(values, "\x00")
		row := groups[id]
		if row == nil {
			row = &AccountRow{Values: values, Stages: make(map[string]time.Duration)}
			groups[id] = row
		}
		row.Jobs++
		row.Total += a.Total
		for stage, d := range a.Stages {
			row.Stages[stage] += d
		}
	}
	rows := make([]AccountRow, 0, len(groups))
	for _, row := range groups {
		row.Total /= time.Duration(row.Jobs)
		for stage := range row.Stages {
			row.Stages[stage] /= time.Duration(row.Jobs)
		}
		rows = append(rows, *row)
	}
	slices.SortFunc(rows, func(a, b AccountRow) int { return slices.Compare(a.Values, b.Values) })
	return rows
}

// value returns the job's value of a key. Spans are named by the time since the first arrival.
func (a *JobAccount) value(key AccountKey, first time.Time) string {
	switch key {
	case ByQueue:
		return a.Queue
	case ByPunctuality:
		return string(a.Punctuality)
	case ByWorkspace:
		return a.Workspace
	case ByDataCentre:
		return a.DataCentre
	default:
		return a.Arrived.Sub(first).Truncate(accountSpan).String()
	}
}
