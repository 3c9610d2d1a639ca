/*
 * Reading one stream: three entry VMs follow a log that is trimmed once, at
 * any time and to any place. One of them writes a snapshot in two chunks, one
 * restarts with nothing and reads the log or takes the state of its peers. A
 * log or peer that can't be reached is one that isn't read or doesn't answer
 * for a while.
 *
 * The revision is the number of accepted records, and stands for the state of
 * any machine fed by the stream. What every reader has to know at each offset
 * is worked out when the record lands, for the properties only.
 *
 * Variants take one safeguard out each:
 *   NO_WHOLE_SNAPSHOT   a snapshot is used although its second chunk is missing
 *   NO_SNAPSHOT_POSITION  reading goes on behind the snapshot, not at its state's place
 *   NO_GAP_CHECK        a snapshot is used although records behind its place are gone
 *   NO_CATCH_UP         a fresh entry VM is ready before it has read to the log's end
 *   NO_ALL_PEERS        a fresh entry VM takes the state of the first peer that answers
 *   NO_STOPPED_PEER     it takes no state from a peer that stopped at a gap
 */

#define READERS   3
#define FRESH     2             /* the entry VM that restarts */
#define RECORDS   3             /* accepted records of the stream */
#define CHUNKS    2             /* of the snapshot */
#define LOG_SIZE  (RECORDS + CHUNKS)

/* The log. */
bool counts[LOG_SIZE];          /* an accepted record, or a chunk */
byte length;
byte first;                     /* oldest offset still kept */

/* The snapshot. */
bool taken;
byte snapPos;                   /* place of the state that it holds */
byte snapRevision;
byte chunks;                    /* landed */
byte snapEnd;                   /* offset after the last one */

typedef Reader { byte pos; byte revision; bool ready; bool stopped };
Reader reader[READERS];
bool restarted;
bool asked[READERS];            /* peers that answered the fresh one */

/* Observed by the properties only. */
byte revisionAt[LOG_SIZE + 1];
byte floorRevision;             /* in force somewhere alive when the entry VM restarted */
bool quiet;

/* The log: records and chunks land in any order; one trim. */
active proctype Log() {
	byte records;
end:
	do
	:: atomic { records < RECORDS ->
		records++;
		counts[length] = true;
		revisionAt[length + 1] = revisionAt[length] + 1;
		length++ }
	:: atomic { taken && chunks < CHUNKS ->
		chunks++;
		revisionAt[length + 1] = revisionAt[length];
		length++;
		snapEnd = length }
	:: atomic { !quiet && first == 0 && length > 0 ->
		first = 1;
		do
		:: first < length -> first++
		:: break
		od }
	od
}

#ifdef NO_WHOLE_SNAPSHOT
#define WHOLE (chunks > 0)
#define SNAP_REVISION ((chunks == CHUNKS) -> snapRevision : 0)
#else
#define WHOLE (chunks == CHUNKS)
#define SNAP_REVISION snapRevision
#endif
#ifdef NO_GAP_CHECK
#define BRIDGES true
#define SNAP_NEXT ((snapPos < first) -> first : snapPos)
#else
#define BRIDGES (snapPos >= first)
#ifdef NO_SNAPSHOT_POSITION
#define SNAP_NEXT snapEnd
#else
#define SNAP_NEXT snapPos
#endif
#endif
/* Whether the snapshot, still in the log, brings reader n past the gap. A snapshot
 * that bridges is never older than the reader, whose place is gone. */
#define HELPS (WHOLE && BRIDGES && snapEnd > first)

/* Reader n is at the same state as every reader of that place. */
#define AGREES(n) (reader[n].revision == revisionAt[reader[n].pos])

inline load(n) {
	assert(SNAP_REVISION >= reader[n].revision);
	reader[n].pos = SNAP_NEXT;
	reader[n].revision = SNAP_REVISION;
	reader[n].stopped = false;
	assert(AGREES(n))
}

/* Reader n takes over the state of its peer p. */
inline take(n, p) {
	reader[n].pos = reader[p].pos;
	reader[n].revision = reader[p].revision;
	reader[n].stopped = false
}

#ifdef NO_ALL_PEERS
#define ENOUGH (asked[0] || asked[1])
#else
#define ENOUGH (asked[0] && asked[1])
#endif
#ifdef NO_CATCH_UP
#define CAUGHT_UP (reader[FRESH].pos > 0)
#else
#define CAUGHT_UP (reader[FRESH].pos == length)
#endif
#ifdef NO_STOPPED_PEER
#define GIVES(p) (!reader[p].stopped && reader[p].pos > reader[FRESH].pos)
#else
#define GIVES(p) (reader[p].pos > reader[FRESH].pos)
#endif

/* Ready: never older than what was in force at any entry VM alive. */
inline becomeReady() {
	reader[FRESH].ready = true;
	asked[0] = false;
	asked[1] = false;
	assert(reader[FRESH].revision >= floorRevision);
	floorRevision = 0
}

/* The fresh entry VM gets the answer of peer p. */
inline ask(p) {
	asked[p] = true;
	if
	:: GIVES(p) -> take(FRESH, p)
	:: else
	fi
}

#define HIGHER(p, q)  ((reader[p].revision > reader[q].revision) -> reader[p].revision : reader[q].revision)

proctype EntryVM(byte n) {
end:
	do
	:: atomic { reader[n].pos < length && reader[n].pos >= first ->
		reader[n].revision = reader[n].revision + counts[reader[n].pos];
		reader[n].pos++;
		assert(AGREES(n)) }

	/* The place is gone: the snapshot, a peer, or an error that stops. */
	:: atomic { reader[n].pos < first && HELPS -> load(n) }
	:: atomic { reader[n].pos < first && !HELPS && !reader[n].stopped -> reader[n].stopped = true }
	:: atomic { reader[n].stopped && n != 0 && reader[0].pos >= first && reader[0].pos > reader[n].pos -> take(n, 0) }
	:: atomic { reader[n].stopped && n != 1 && reader[1].pos >= first && reader[1].pos > reader[n].pos -> take(n, 1) }

	/* Restart; read to the log's end, or take the highest of all peers. */
	:: atomic { !quiet && n == FRESH && !restarted ->
		restarted = true;
		floorRevision = HIGHER(0, 1);
		reader[n].pos = 0;
		reader[n].revision = 0;
		reader[n].stopped = false;
		reader[n].ready = false }
	:: atomic { !reader[n].ready && !reader[n].stopped && CAUGHT_UP -> becomeReady() }
	:: atomic { !quiet && !reader[n].ready && !asked[0] -> ask(0) }
	:: atomic { !quiet && !reader[n].ready && !asked[1] -> ask(1) }
	:: atomic { !reader[n].ready && ENOUGH && reader[n].pos > 0 -> becomeReady() }

	:: atomic { !quiet && n == 0 && !taken && reader[n].pos > 0 ->
		taken = true; snapPos = reader[n].pos; snapRevision = reader[n].revision }
	od
}

/* Progress: once faults have ended, every reader is ready at the log's end,
 * or it says that it stopped at a gap that no snapshot and no peer bridges. */
#define AT_END(n) (reader[n].ready && reader[n].pos == length)
#define GAP(n)    (reader[n].stopped && !HELPS && !AT_END(0) && !AT_END(1))

init {
	atomic {
		reader[0].ready = true;
		reader[1].ready = true;
		reader[2].ready = true;
		run EntryVM(0);
		run EntryVM(1);
		run EntryVM(2)
	};
	quiet = true;
	timeout;
	assert(AT_END(0) || GAP(0));
	assert(AT_END(1) || GAP(1));
	assert(AT_END(2) || GAP(2))
}
