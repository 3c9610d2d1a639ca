/*
 * Publishing configuration: two operators race by compare and set, each
 * through an entry VM of its own, and each record may be appended again when
 * its answer was lost. spec/snapshot.pml has the readers' side.
 *
 * A revision is the number of records accepted so far. What every reader has
 * to know at each offset is worked out when the record lands, for the
 * properties only; each reader works out its own.
 *
 * Variants take one safeguard out each:
 *   NO_BASED_ON         a record is accepted whatever it was based on
 *   NO_DUPLICATE_DROP   the second copy of a record is judged like a new one
 *   NO_READ_BACK        "accepted" is said on the answer of the append
 *   NO_UNSETTLED        a record neither read back nor ruled out is called rejected
 */

#define OPERATORS 2
#define COPIES    2             /* times that one record may be appended */
#define LOG_SIZE  (OPERATORS * COPIES)

/* What an operator is told. */
#define NOTHING   0
#define ACCEPTED  1
#define REJECTED  2
#define UNSETTLED 3

/* The log. */
typedef Record { byte writer; byte basedOn; bool second };
Record record[LOG_SIZE];
byte length;

/* Operators. */
byte inFlight[OPERATORS];
byte basedOn[OPERATORS];
byte told[OPERATORS];
byte verdict[OPERATORS];        /* that entry VM w read for the record of operator w */
bool settled[OPERATORS];

/* Readers: entry VM n serves operator n. */
byte pos[OPERATORS];
byte revision[OPERATORS];

bool quiet;                     /* faults have ended */

/* Observed by the properties only. */
byte revisionAt[LOG_SIZE + 1];
bool landed[OPERATORS];
bool accepted[OPERATORS];

#ifdef NO_BASED_ON
#define FITS(b, r) true
#else
#define FITS(b, r) (b == r)
#endif
#ifdef NO_DUPLICATE_DROP
#define SECOND(i) false
#else
#define SECOND(i) record[i].second
#endif

/* The record of operator w lands: what every reader will make of it. Two
 * records that are based on the same revision can't both be accepted. */
inline land(w) {
	record[length].writer = w;
	record[length].basedOn = basedOn[w];
	record[length].second = landed[w];      /* each reader sees the first copy before */
	revisionAt[length + 1] = revisionAt[length];
	if
	:: !landed[w] && FITS(basedOn[w], revisionAt[length]) ->
		assert(!accepted[1 - w] || basedOn[1 - w] != basedOn[w]);
		assert(told[w] != REJECTED);
		accepted[w] = true;
		revisionAt[length + 1] = revisionAt[length] + 1
	:: else
	fi;
	landed[w] = true;
	length++
}

active proctype Log() {
end:
	do
	:: atomic { inFlight[0] > 0 -> inFlight[0]--; land(0) }
	:: atomic { inFlight[1] > 0 -> inFlight[1]--; land(1) }
	:: atomic { !quiet && inFlight[0] > 0 -> inFlight[0]-- }
	:: atomic { !quiet && inFlight[1] > 0 -> inFlight[1]-- }
	od
}

/* The operator of entry VM n learns what became of its record. */
inline judge(n, what) {
	if
	:: record[pos[n]].writer == n && told[n] == NOTHING -> verdict[n] = what
	:: else
	fi
}

/* Entry VM n applies the next record. The revision in force never reverts,
 * and is the same on every reader of that place. */
active [OPERATORS] proctype EntryVM() {
	byte n = _pid - 1;
end:
	do
	:: atomic { pos[n] < length ->
		if
		:: SECOND(pos[n]) -> skip
		:: !SECOND(pos[n]) && FITS(record[pos[n]].basedOn, revision[n]) -> revision[n]++; judge(n, ACCEPTED)
		:: !SECOND(pos[n]) && !FITS(record[pos[n]].basedOn, revision[n]) -> judge(n, REJECTED)
		fi;
		pos[n]++;
		assert(revision[n] == revisionAt[pos[n]]) }
	od
}

inline tell(w, what) {
	told[w] = what;
	assert(what != ACCEPTED || accepted[w]);
	assert(what != REJECTED || !accepted[w])
}

/* Publishes one record, based on the revision in force at its entry VM. */
active [OPERATORS] proctype Operator() {
	byte w = _pid - 1 - OPERATORS;
	byte appends;

	basedOn[w] = revision[w];
	do
	:: atomic { !quiet && appends < COPIES -> appends++; inFlight[w]++ }
	:: atomic { quiet && !landed[w] && inFlight[w] == 0 -> appends = COPIES; inFlight[w]++ }
	:: atomic { appends > 0 && verdict[w] != NOTHING -> tell(w, verdict[w]); break }
#ifdef NO_READ_BACK
	:: atomic { landed[w] -> tell(w, ACCEPTED); break }
#endif
	:: atomic { !quiet && appends > 0 ->
#ifdef NO_UNSETTLED
		tell(w, REJECTED);
#else
		told[w] = UNSETTLED;
#endif
		break }
	od;
	settled[w] = true
}

/* Progress: an operator whose record nothing happens to is told its fate, and
 * every reader has what was accepted. */
init {
	quiet = true;
	timeout;
	assert(settled[0] && settled[1]);
	assert(pos[0] == length && pos[1] == length);
	assert(revision[0] == accepted[0] + accepted[1]);
	assert(revision[1] == accepted[0] + accepted[1])
}
