package platform

import "github.com/sirupsen/logrus"

// maxUnreadable is the number of keys that an UnreadableLog remembers. A
// partition has some hundred keys of other writers at most; beyond that all are
// forgotten, and logged once more, rather than kept in memory for good.
const maxUnreadable = 1000

// UnreadableLogger logs records that can't be read, each key once until a record
// of it can be: writers repeat their records, and pages of the newest records
// bring the same one again. It is for one partition and one goroutine.
type UnreadableLogger struct {
	Logger *logrus.Entry
	logged map[string]Offset // by key, where
}

// LogUnreadable notes that a record can't be read. Malformed records whose keys
// aren't known are told apart by their places.
func (u *UnreadableLogger) LogUnreadable(r Record, err error) {
	at, known := u.logged[r.Key]
	keyless := r.Err != nil && r.Key == ""
	if known && (!keyless || r.Offset <= at) {
		return
	}
	if u.logged == nil || len(u.logged) >= maxUnreadable {
		u.logged = make(map[string]Offset)
	}
	u.logged[r.Key] = r.Offset
	u.Logger.WithError(err).WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset}).Error("unreadable record is skipped")
}

// MarkReadable notes that the newest record of a key can be read, or is deleted.
func (u *UnreadableLogger) MarkReadable(key string) { delete(u.logged, key) }
