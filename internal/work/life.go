package work

// Life names one life of an executor. One that starts again may have the id that it had,
// but knows nothing of before and counts anew.
type Life struct {
	ID   string
	Born int64 // when it began, by its own clock: Unix milliseconds; 0: not told
}

// Same reports whether two names may be of one life. One that doesn't tell when the life
// began may be of each under the id.
func (l Life) Same(o Life) bool {
	return l.ID == o.ID && (l.Born == o.Born || l.Born == 0 || o.Born == 0)
}
