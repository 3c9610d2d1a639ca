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
	Events *logrus.Entry
	logged map[string]Offset // by key, where
}

// Unreadable notes that a record can't be read. Malformed records whose keys
// aren't known are told apart by their places.
func (u *UnreadableLog) Unreadable(r Record, err error) {
	at, known := u.logged[r.Key]
	keyless := r.Err != nil && r.Key == ""
	if known && (!keyless || r.Offset <= at) {
		return
	}
	if u.logged == nil || len(u.logged) >= maxUnreadable {
		u.logged = make(map[string]Offset)
	}
	u.logged[r.Key] = r.Offset
	u.Events.WithError(err).WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset}).Error("unreadable record is skipped")
}

// Readable notes that the newest record of a key can be read, or is deleted.
func (u *UnreadableLog) Readable(key string) { delete(u.logged, key) }
