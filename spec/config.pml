/*
 * One key of the config stream. Three publications race through two entry
 * VMs: two are based on revision 0, the third on revision 1, which may not
 * be there yet when it is sent.
 *
 * Faults in every run: appends whose answer is lost, that land late, in any
 * order or never; a log out of reach of an entry VM at any step. A pause is
 * any interleaving between two steps. And one of
 *   REPEATS  the publishers of the first and the third send theirs again under
 *            the same id through the other entry VM, without knowing the fate
 *            of the first attempt
 *   DOUBLED  an append lands twice; an entry VM is replaced, starts empty and
 *            takes its peer's state, while the log may come back meanwhile
 *   TRIMS    the same replacement; the log trims records, also the newest; one
 *            snapshot, of which only the first chunk may land
 *
 * Over a restart the model claims what the code gives, and no more. Ready by
 * the log: nothing older than before the restart. Ready by a peer's state: no
 * older than that state was when the peer gave it, which may be older than
 * what the replaced entry VM had (see NO_RESTART_ALLOWANCE).
 *
 * Not modelled: more than one key, deletions, the bounds of the memories of
 * ids and writers, damaged records, the choice among several peers.
 *
 * Variants take one safeguard out each:
 *   NO_BASED_ON        a record is accepted whatever it is based on
 *   NO_SEQUENCE        a second copy of an append is applied again
 *   NO_READ_BACK       accepted is said on the answer of the append
 *   NO_UNSETTLED       not written is said when that answer is lost
 *   NO_OLDER_STATE_CHECK  a peer's state is taken although it is older
 *   NO_SNAPSHOT_COMPLETE  a snapshot counts when its first chunk is there
 *   NO_TRIM_CHECK      reads on after records were trimmed, without a snapshot
 *   NO_PUBLISH_ID      a repeat isn't known as one
 *   NO_EARLIER_ATTEMPT the publisher forgets that an earlier attempt is unsettled
 *   NO_RESTART_ALLOWANCE  a restart counts like going on: a peer's state may be older
 */

#define PUBS     3              /* publications */
#define ATTEMPTS 5              /* 0 and 3 of publication 0, 1 of 1, 2 and 4 of 2 */
#define TRIES(p) (2 - ((p) & 1))
#define PUB(a)   ((a) < PUBS -> (a) : 2 * ((a) - PUBS))
#define DOUBLES  1              /* appends that are sent a second time, in all */
#define VMS      2
#define RESTARTS 1              /* of entry VM 1 */
#define ORIGINS  (VMS + RESTARTS)
#define LOG_SIZE (ATTEMPTS + DOUBLES)

/* How far the snapshot has come. */
#define NONE     0
#define HALF     1              /* memories of ids and writers are in the log */
#define COMPLETE 2              /* and the record in force with its revision */

/* What a publisher knows of its publication. */
#define PENDING     0
#define ACCEPTED    1
#define CONFLICT    2
#define NOT_WRITTEN 3

#define BASE(p)   ((p) / 2)     /* revisions 0, 0 and 1 */
#define BIT(p)    (1 << (p))
#define HAS(S, p) ((S.accepted & BIT(p)) != 0)

/* What an entry VM recalls of publication p. */
#ifdef NO_PUBLISH_ID
#define RECALLS(S, p) false
#else
#define RECALLS(S, p) HAS(S, p)
#endif

/* A reader's state after every record before pos. */
typedef View {
	byte pos;
	byte rev;                   /* revision in force */
	byte current;               /* publication in force, plus one */
	byte accepted;              /* ids of accepted publications, as bits */
	byte seen[ORIGINS]          /* highest sequence of each writer */
};

/* Which faults go together, see the heading. */
#define REPEATS  1
#define DOUBLED  2
#define TRIMS    3
byte scenario;

/* The log. */
byte record[LOG_SIZE];          /* numbers of attempts */
byte length;
byte first;                     /* oldest record kept */
byte inFlight[ATTEMPTS];        /* appends that have not landed */
byte doubles;
#ifdef NO_READ_BACK
bool acked[ATTEMPTS];
#endif

/* Attempts. */
byte origin[ATTEMPTS];
byte sequence[ATTEMPTS];
byte lastSequence[ORIGINS];
bool rejected[ATTEMPTS];        /* read back: its base was not there yet */

/* Entry VMs. */
View vm[VMS];
bool ready[VMS];
byte originOf[VMS];             /* node and incarnation */
byte restarts;

/* The snapshot, and a peer's answer on its way. */
View snapshot;
byte snapshotStage;
byte snapshotAt;                /* offset after which its first chunk stands */
View reply;
bool replied;

/* Observed by the properties only. */
View truth;                    /* after the whole log */
byte revAt[LOG_SIZE + 1];       /* at each position */
byte currentAt[LOG_SIZE + 1];
byte acceptedAt[LOG_SIZE + 1];
byte winners[PUBS];             /* by the revision that they are based on */
byte told[PUBS];
byte floor[VMS];                /* highest revision shown by a ready entry VM */
byte before;                    /* that of entry VM 1 before its restart */

inline copy(D, S) {
	D.pos = S.pos; D.rev = S.rev; D.current = S.current; D.accepted = S.accepted;
	D.seen[0] = S.seen[0]; D.seen[1] = S.seen[1]; D.seen[2] = S.seen[2]
}

inline clear(S) {
	S.pos = 0; S.rev = 0; S.current = 0; S.accepted = 0;
	S.seen[0] = 0; S.seen[1] = 0; S.seen[2] = 0
}

/* Apply attempt a to state S: repeats are dropped, the rest is compare and
 * set. */
inline apply(S, a, outcome) {
	outcome = PENDING;
	if
#ifndef NO_SEQUENCE
	:: sequence[a] <= S.seen[origin[a]] -> skip
#endif
	:: else ->
		S.seen[origin[a]] = sequence[a];
		if
		:: RECALLS(S, PUB(a)) -> skip
#ifndef NO_BASED_ON
		:: !RECALLS(S, PUB(a)) && S.rev != BASE(PUB(a)) -> outcome = CONFLICT
#endif
		:: else ->
			S.rev++;
			S.current = PUB(a) + 1;
			S.accepted = S.accepted | BIT(PUB(a));
			outcome = ACCEPTED
		fi
	fi
}

/* Record r takes the next place of the log, which decides for all readers. */
inline land(r, outcome) {
	record[length] = r;
	length++;
	apply(truth, r, outcome);
	if
	:: outcome == ACCEPTED ->
		winners[BASE(PUB(r))]++;
		assert(winners[BASE(PUB(r))] == 1);
		assert(told[PUB(r)] != CONFLICT && told[PUB(r)] != NOT_WRITTEN)
	:: else
	fi;
	outcome = PENDING;
	revAt[length] = truth.rev;
	currentAt[length] = truth.current;
	acceptedAt[length] = truth.accepted
}

/* A ready entry VM has in force what the log says up to its position, hence
 * every accepted record, and nothing older than it has shown. */
inline inForce(v) {
	if
	:: ready[v] ->
		assert(vm[v].rev >= floor[v]);
		assert(vm[v].rev == revAt[vm[v].pos]);
		assert(vm[v].current == currentAt[vm[v].pos]);
		assert(vm[v].accepted == acceptedAt[vm[v].pos]);
		floor[v] = vm[v].rev
	:: else
	fi
}

/* The publisher of p concludes. */
inline tell(p, what) {
	told[p] = what;
	assert(what != ACCEPTED || HAS(truth, p));
	assert((what != CONFLICT && what != NOT_WRITTEN) || !HAS(truth, p));
	assert(told[0] != told[1] || (told[0] != ACCEPTED && told[0] != CONFLICT))
}

/* Appends land late, twice or never (they stay in flight), and their answers
 * get lost. What comes before the snapshot's position, or before its chunks,
 * or everything, may be trimmed at any time. */
active proctype Log() {
	byte a;
	byte outcome;
end:
	do
	:: atomic {
		if
		:: inFlight[0] > 0 -> a = 0
		:: inFlight[1] > 0 -> a = 1
		:: inFlight[2] > 0 -> a = 2
		:: inFlight[3] > 0 -> a = 3
		:: inFlight[4] > 0 -> a = 4
		fi;
		inFlight[a]--;
		land(a, outcome);
#ifdef NO_READ_BACK
		if
		:: acked[a] = true
		:: skip
		fi;
#endif
		a = 0 }
	:: snapshotStage == HALF -> snapshotStage = COMPLETE
	:: atomic { snapshotStage != NONE && first < snapshot.pos -> first = snapshot.pos }
	:: atomic { snapshotStage != NONE && first < snapshotAt -> first = snapshotAt }
	:: atomic { scenario == TRIMS && first < length -> first = length }
	od
}

/* Entry VM v comes to the end of the stream. */
inline reachedEnd(v) {
	if
	:: vm[v].pos == length ->
		ready[v] = true;
		assert(v != 1 || vm[v].rev >= before)
	:: else
	fi
}

/* Entry VM v follows the stream. */
proctype Entry(byte v) {
	byte a;
	byte outcome;
end:
	do
	:: atomic { vm[v].pos >= first && vm[v].pos < length ->
		a = record[vm[v].pos];
		apply(vm[v], a, outcome);
		if
		:: outcome == CONFLICT && vm[v].rev < BASE(PUB(a)) && origin[a] == originOf[v] -> rejected[a] = true
		:: else
		fi;
		vm[v].pos++;
		a = 0; outcome = PENDING;
		reachedEnd(v);
		inForce(v) }
	:: atomic { vm[v].pos == length && !ready[v] ->
		reachedEnd(v);
		inForce(v) }
	:: atomic { vm[v].pos < first && ready[v] -> ready[v] = false }  /* trimmed */
#ifdef NO_TRIM_CHECK
	:: atomic { vm[v].pos < first -> vm[v].pos = first }
#endif

	/* Start over from the snapshot, when the log still has it. */
#ifdef NO_SNAPSHOT_COMPLETE
	:: atomic { vm[v].pos < first && snapshotStage == HALF &&
		snapshotAt >= first && snapshot.pos >= first ->
		snapshot.rev = 0; snapshot.current = 0;
		copy(vm[v], snapshot) }
#endif
	:: atomic { vm[v].pos < first && snapshotStage == COMPLETE &&
		snapshotAt >= first && snapshot.pos >= first ->
		copy(vm[v], snapshot) }
	:: atomic { scenario == TRIMS && ready[v] && snapshotStage == NONE ->
		copy(snapshot, vm[v]);
		snapshotStage = HALF;
		snapshotAt = length }

	/* A peer's state, asked for while not ready, may come in late. */
	:: atomic { v == 1 && !ready[1] && ready[0] && !replied ->
		copy(reply, vm[0]);
		replied = true }
	:: atomic { v == 1 && replied ->
		if
#ifndef NO_OLDER_STATE_CHECK
		:: reply.pos < vm[1].pos || (ready[1] && reply.pos == vm[1].pos) -> skip
#endif
		:: else ->
			copy(vm[1], reply);
			ready[1] = true;
			inForce(1)
		fi;
		replied = false;
		clear(reply) }

	/* Replaced: a new incarnation without any state. */
	:: atomic { v == 1 && scenario != REPEATS && restarts < RESTARTS ->
		restarts++;
		before = floor[1];
#ifndef NO_RESTART_ALLOWANCE
		floor[1] = 0;
#endif
		clear(vm[1]);
		ready[1] = false;
		originOf[1] = VMS;
		replied = false;
		clear(reply) }
	od
}

/* What entry VM v can say of publication p whatever the log still brings. */
#define IS_ACCEPTED(v, p) RECALLS(vm[v], p)
#define IS_CONFLICT(v, p) (!RECALLS(vm[v], p) && vm[v].rev > BASE(p))

#define MAY_REPEAT(p) (scenario == REPEATS && try + 1 < TRIES(p))

/* The publisher of p goes on with the next entry VM. */
inline repeat(p) {
	try++;
	told[p] = PENDING;
	a = PUBS + p / 2;
	v = (v + 1) % VMS
}

/* The publisher of p, with the entry VMs that it sends p through. On its last
 * try it may wait for ever, which stands for giving up as well. */
proctype Publisher(byte p) {
	byte try;
	byte a = p;
	byte v = p % VMS;
	bool open;      /* an earlier attempt may still come into force */

	/* Settled from the state, refused unsent, or appended. */
end_try:
	if
	:: atomic { IS_ACCEPTED(v, p) -> tell(p, ACCEPTED); goto end_told }
	:: atomic { IS_CONFLICT(v, p) -> tell(p, CONFLICT); goto end_told }
#ifdef NO_EARLIER_ATTEMPT
	:: atomic { tell(p, NOT_WRITTEN); goto end_refused }
#else
	:: atomic { !open -> tell(p, NOT_WRITTEN); goto end_refused }
#endif
	:: atomic { ready[v] && !IS_ACCEPTED(v, p) && !IS_CONFLICT(v, p) ->
		origin[a] = originOf[v];
		lastSequence[origin[a]]++;
		sequence[a] = lastSequence[origin[a]];
		inFlight[a] = 1;
		if
		:: scenario == DOUBLED && doubles < DOUBLES -> doubles++; inFlight[a]++
		:: skip
		fi }
	fi;

	/* Waits until the entry VM, still the same process, has read it back. */
end_wait:
	if
	:: atomic { origin[a] == originOf[v] && IS_ACCEPTED(v, p) -> tell(p, ACCEPTED); goto end_told }
	:: atomic { origin[a] == originOf[v] && IS_CONFLICT(v, p) -> tell(p, CONFLICT); goto end_told }
#ifdef NO_EARLIER_ATTEMPT
	:: atomic { origin[a] == originOf[v] && rejected[a] -> tell(p, CONFLICT); goto end_told }
#else
	:: atomic { origin[a] == originOf[v] && rejected[a] && !open -> tell(p, CONFLICT); goto end_told }
#endif
#ifdef NO_READ_BACK
	:: atomic { acked[a] -> tell(p, ACCEPTED); goto end_told }
#endif
#ifdef NO_UNSETTLED
	:: atomic { tell(p, NOT_WRITTEN); goto end_told }
#endif
	:: atomic { MAY_REPEAT(p) -> open = true; repeat(p); goto end_try }     /* unsettled */
	fi;

end_refused:
	if
	:: atomic { MAY_REPEAT(p) -> repeat(p); goto end_try }
	fi;

end_told:
	atomic { false -> skip }
}

init {
	atomic {
		if
		:: scenario = REPEATS
		:: scenario = DOUBLED
		:: scenario = TRIMS
		fi;
		originOf[1] = 1;
		run Entry(0); run Entry(1);
		run Publisher(0); run Publisher(1); run Publisher(2)
	}
}
