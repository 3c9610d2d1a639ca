package platform

import "github.com/sirupsen/logrus"

// maxUnreadable is the number of keys that an UnreadableLog remembers. A
// partition has some hundred keys of other writers at most; beyond that all are
// forgotten, and logged once more, rather than kept in memory for good.
const maxUnreadable = 1000

// UnreadableLog logs records that can't be read, each key once until a record
// of it can be: writers repeat their records, and pages of the newest records
// bring the same one again. It is for one partition and one goroutine.
type UnreadableLog struct {
	Partition Partition
	Events    *logrus.Entry
	logged    map[string]struct{}
}

// Unreadable notes that a record can't be read.
func (u *UnreadableLog) Unreadable(r Record, err error) {
	if _, known := u.logged[r.Key]; known {
		return
	}
	if u.logged == nil || len(u.logged) >= maxUnreadable {
		u.logged = make(map[string]struct{})
	}
	u.logged[r.Key] = struct{}{}
	u.Events.WithError(err).WithFields(logrus.Fields{
		"topic": u.Partition.Topic, "partition": u.Partition.Number, "key": r.Key, "offset": r.Offset,
	}).Error("unreadable record is skipped")
}

// Readable notes that the newest record of a key can be read, or is deleted.
func (u *UnreadableLog) Readable(key string) { delete(u.logged, key) }
