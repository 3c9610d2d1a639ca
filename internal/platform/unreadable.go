package platform

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Bounds of an UnreadableLogger's memory and lines. A partition has at most some hundred
// keys of other writers. At maxUnreadableKeys no further keys are logged until
// unreadableLogPeriod after the first of them. Then all are dropped and may be logged again.
const (
	maxUnreadableKeys   = 1000
	unreadableLogPeriod = 10 * time.Minute
)

// UnreadableLogger logs records that can't be read. It logs each key once until a
// record of that key can be read, since writers repeat their records and pages of
// the newest records may contain the same record again. It serves one partition
// and must be used from one goroutine.
type UnreadableLogger struct {
	Logger        *logrus.Entry
	loggedOffsets map[string]Offset // offset of the record logged last, by key
	fullSince     time.Time         // when a key was first not logged; zero if all were
}

// LogUnreadable logs that a record can't be read, unless its key has been logged.
// Malformed records without a readable key are distinguished by their offsets.
func (u *UnreadableLogger) LogUnreadable(r Record, err error) {
	offset, logged := u.loggedOffsets[r.Key]
	keyless := r.Err != nil && r.Key == ""
	if logged && (!keyless || r.Offset <= offset) {
		return
	}
	if !logged && !u.makeRoom() {
		return
	}
	u.loggedOffsets[r.Key] = r.Offset
	u.Logger.WithError(err).WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset}).Error("unreadable record is skipped")
}

// makeRoom makes room for a key. It returns false if there is none.
func (u *UnreadableLogger) makeRoom() bool {
	switch {
	case u.loggedOffsets == nil:
	case len(u.loggedOffsets) < maxUnreadableKeys:
		return true
	case u.fullSince.IsZero():
		u.fullSince = time.Now()
		u.Logger.WithField("keys", len(u.loggedOffsets)).Error("too many unreadable records; further ones are skipped without a line")
		return false
	case time.Since(u.fullSince) < unreadableLogPeriod:
		return false
	}
	u.loggedOffsets, u.fullSince = make(map[string]Offset), time.Time{}
	return true
}

// MarkReadable records that the newest record of a key can be read or that the key
// was deleted. The next unreadable record of the key is logged again.
func (u *UnreadableLogger) MarkReadable(key string) { delete(u.loggedOffsets, key) }
