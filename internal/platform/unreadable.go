package platform

import "github.com/sirupsen/logrus"

// maxUnreadableKeys is the maximum number of keys that an UnreadableLogger keeps. A
// partition has at most some hundred keys of other writers. At the maximum, all
// keys are dropped and may be logged again, so that memory use is bounded.
const maxUnreadableKeys = 1000

// UnreadableLogger logs records that can't be read. It logs each key once until a
// record of that key can be read, since writers repeat their records and pages of
// the newest records may contain the same record again. It serves one partition
// and must be used from one goroutine.
type UnreadableLogger struct {
	Logger        *logrus.Entry
	loggedOffsets map[string]Offset // offset of the record logged last, by key
}

// LogUnreadable logs that a record can't be read, unless its key has been logged.
// Malformed records without a readable key are distinguished by their offsets.
func (u *UnreadableLogger) LogUnreadable(r Record, err error) {
	offset, logged := u.loggedOffsets[r.Key]
	keyless := r.Err != nil && r.Key == ""
	if logged && (!keyless || r.Offset <= offset) {
		return
	}
	if u.loggedOffsets == nil || len(u.loggedOffsets) >= maxUnreadableKeys {
		u.loggedOffsets = make(map[string]Offset)
	}
	u.loggedOffsets[r.Key] = r.Offset
	u.Logger.WithError(err).WithFields(logrus.Fields{"key": r.Key, "offset": r.Offset}).Error("unreadable record is skipped")
}

// MarkReadable records that the newest record of a key can be read or that the key
// was deleted. The next unreadable record of the key is logged again.
func (u *UnreadableLogger) MarkReadable(key string) { delete(u.loggedOffsets, key) }
