/*
 * One non-idempotent request, sent by its caller several times through
 * several entry VMs. Each copy is served by one handler. A handler writes a
 * mark to the log, reads it back and sends only if its mark is the first of
 * the request id in log order.
 *
 * Faults: appends whose answer is lost, that land late, twice or never;
 * admission refusals and a log that is down; sends that are lost, delayed or
 * run with the answer lost; refusals by the endpoint; death of an entry VM
 * at any step, and a new incarnation under the same node id. A pause is any
 * interleaving between two steps.
 *
 * Variants take one safeguard out each:
 *   NO_FIRST_MARK      the second mark is accepted as well
 *   NO_READ_BACK       send on the answer of the append, before reading back
 *   NO_INCARNATION     a mark of the same node's former incarnation is one's own
 *   NO_MARK_FOR_NOT_RUN   a refusal before any mark says not-run
 *   NO_UNSETTLED       a mark neither read back nor ruled out says not-run
 *   NO_WRITER_GONE     the writer of the first mark is gone: says not-run
 *   NO_SEND_ONCE       the transport repeats a send by itself
 *   NO_CERTAINTY       a lost answer is retried
 *   NO_STOP_AFTER_GIVE_UP  a handler that gave up still sends once its mark is read
 */

#define FAULTY   2              /* copies sent while faults may happen */
#define COPIES   (FAULTY + 1)   /* the last copy is sent after faults ended */
#define APPENDS  2              /* times that one entry may be appended */
#define SENDS    2              /* attempts that one handler may make */
#define LOG_SIZE 8
#define NOBODY   COPIES

#define QUIET(h) ((h) == FAULTY)

/* Kinds of log entries. */
#define MARK     0
#define NOT_SENT 1              /* outcome of the mark's writer: not-run */

/* What a handler tells its caller, and peers that ask. */
#define PENDING  0
#define RAN      1
#define NOT_RUN  2
#define UNKNOWN  3
#define GAVE_UP  4              /* answered unknown; will never send */

/* State of one send. */
#define IDLE     0
#define WIRE     1              /* on its way, or waiting in a buffer */
#define REPLIED  2
#define REFUSED  3              /* by the endpoint: not run */
#define LOST     4              /* broken connection: may have run */

typedef Record { byte kind; byte writer };

Record entry[LOG_SIZE];
byte length;

byte inFlight[COPIES];          /* appended marks that have not landed */
bool outcomeInFlight[COPIES];
bool acked[COPIES];             /* an append was answered */
byte wire[COPIES];
bool alive[COPIES];
byte answer[COPIES];
bool ended[COPIES];
bool quiet;                     /* faults have ended */

/* Observed by the properties only. */
byte runs;
bool saidNotRun;
byte firstWriter = NOBODY;

/* The handler h answers its caller. */
inline reply(h, what) {
	answer[h] = what;
	if
	:: what == NOT_RUN -> saidNotRun = true; assert(runs == 0)
	:: what == RAN -> assert(runs == 1)
	:: else
	fi
}

/* Apply the next record of the log to the handler's view. A second copy of
 * the same mark, and any mark but the first, changes nothing. */
inline applyNext(h) {
	if
	:: entry[pos].kind == MARK ->
		if
#ifdef NO_FIRST_MARK
		:: entry[pos].writer == h -> owner = h
#else
		:: owner == NOBODY -> owner = entry[pos].writer
#endif
		:: else
		fi
	:: entry[pos].kind == NOT_SENT && entry[pos].writer == owner -> notSent = true
	:: else
	fi;
	pos++
}

/* The log: what is in flight lands, late or never. */
active proctype Log() {
	byte w;
end:
	do
	:: atomic { inFlight[0] + inFlight[1] + inFlight[2] > 0 ->
		if
		:: inFlight[0] > 0 -> w = 0
		:: inFlight[1] > 0 -> w = 1
		:: inFlight[2] > 0 -> w = 2
		fi;
		inFlight[w]--;
		if
		:: entry[length].kind = MARK;
			entry[length].writer = w;
			if
			:: firstWriter == NOBODY -> firstWriter = w
			:: else
			fi;
			length++;
			if
			:: acked[w] = true
			:: !QUIET(w) -> skip
			fi
		:: !QUIET(w) -> skip
		fi;
		w = 0 }
	:: atomic { outcomeInFlight[0] || outcomeInFlight[1] ->
		if
		:: outcomeInFlight[0] -> w = 0
		:: outcomeInFlight[1] -> w = 1
		fi;
		outcomeInFlight[w] = false;
		if
		:: entry[length].kind = NOT_SENT; entry[length].writer = w; length++
		:: skip
		fi;
		w = 0 }
	od
}

/* The endpoint runs whatever it receives, unless it refuses in-band. */
active proctype Endpoint() {
	byte w;
end:
	do
	:: atomic { wire[0] == WIRE || wire[1] == WIRE || wire[2] == WIRE ->
		if
		:: wire[0] == WIRE -> w = 0
		:: wire[1] == WIRE -> w = 1
		:: wire[2] == WIRE -> w = 2
		fi;
		if
		:: runs++;
			assert(runs <= 1);
			assert(!saidNotRun);
			if
			:: wire[w] = REPLIED
#ifdef NO_SEND_ONCE
			:: wire[w] = WIRE
#endif
			:: !QUIET(w) -> wire[w] = LOST
			fi
		:: !QUIET(w) -> wire[w] = REFUSED
		:: !QUIET(w) -> wire[w] = LOST
		fi;
		w = 0 }
	od
}

/* Entry VMs die at any moment, also after they have answered. */
active proctype Deaths() {
end:
	do
	:: atomic { !quiet && alive[0] -> alive[0] = false }
	:: atomic { !quiet && alive[1] -> alive[1] = false }
	od
}

/* Serves one copy of the request. */
proctype Handler(byte h) {
	byte pos;               /* records applied */
	byte owner = NOBODY;    /* writer of the first mark applied */
	bool notSent;           /* that writer journaled not-run */
	byte appends;
	byte sends;
	byte former = NOBODY;   /* the former incarnation of the same node */

	{
	/* A fresh incarnation, or an entry VM of its own. */
#ifdef NO_INCARNATION
	if
	:: h > 0 && !alive[0] -> former = 0
	:: skip
	fi;
#endif

	/* Refused before any mark: limit, queue, log down, backlog full. */
	if
	:: !QUIET(h) -> atomic {
#ifdef NO_MARK_FOR_NOT_RUN
		reply(h, NOT_RUN)
#else
		reply(h, UNKNOWN)
#endif
		}; goto done
	:: skip
	fi;

	/* Propose: append, repeat while unanswered, wait for the read-back. */
	do
	:: atomic { pos < length -> applyNext(h) }
	:: atomic { owner == NOBODY && appends < APPENDS && (!QUIET(h) || appends == 0) ->
		inFlight[h]++; appends++ }
	:: atomic { owner != NOBODY -> break }
#ifdef NO_READ_BACK
	:: atomic { acked[h] -> owner = h; break }
#endif
	:: !QUIET(h) && appends > 0 -> atomic {          /* timeout: unsettled */
#ifdef NO_UNSETTLED
		reply(h, NOT_RUN)
#else
		answer[h] = GAVE_UP
#endif
		}; goto gaveUp
	od;

	if
	:: atomic { owner == h || (former != NOBODY && owner == former) -> goto send }
	:: else
	fi;

	/* Another copy was first: ask its writer, read its journaled outcome. */
	do
	:: atomic { pos < length -> applyNext(h) }
	:: atomic { notSent -> reply(h, NOT_RUN); goto done }
	:: atomic { alive[owner] && answer[owner] == RAN -> reply(h, RAN); goto done }
	:: atomic { alive[owner] && (answer[owner] == NOT_RUN || answer[owner] == GAVE_UP) ->
		reply(h, NOT_RUN); goto done }
	:: atomic { alive[owner] && answer[owner] == UNKNOWN -> reply(h, UNKNOWN); goto done }
	:: !alive[owner] -> atomic {
#ifdef NO_WRITER_GONE
		reply(h, NOT_RUN)
#else
		reply(h, UNKNOWN)
#endif
		}; goto done
	:: !QUIET(h) -> atomic { reply(h, UNKNOWN); goto done }  /* still running, or no answer from it */
	od;

send:
	/* The first mark is ours: at most one send that may run. */
	do
	:: !QUIET(h) -> atomic { reply(h, NOT_RUN); outcomeInFlight[h] = true; goto done }  /* deadline; nothing sent may run */
	:: !QUIET(h) && sends < SENDS -> sends++            /* connection not opened: certainly not run */
	:: atomic { sends < SENDS -> wire[h] = WIRE; sends++ };
		if
		:: atomic { wire[h] == REPLIED -> reply(h, RAN); goto done }
		:: wire[h] == REFUSED -> wire[h] = IDLE           /* certainly not run: retry */
		:: wire[h] == LOST ->
#ifdef NO_CERTAINTY
			wire[h] = IDLE
#else
			atomic { reply(h, UNKNOWN); goto done }
#endif
		:: !QUIET(h) -> atomic { reply(h, UNKNOWN); goto done }  /* answer timeout */
		fi
	od;

gaveUp:
	/* Its mark may still land. It never sends, and says so when asked. */
#ifdef NO_STOP_AFTER_GIVE_UP
	do
	:: atomic { pos < length -> applyNext(h) }
	:: atomic { owner == h -> goto send }
	:: goto done
	od
#endif
done:
	skip
	} unless { !alive[h] };
	ended[h] = true
}

/* Two copies under faults, then one without. Progress: the last copy gets
 * the whole answer unless an earlier writer holds the first mark. */
init {
	atomic { alive[0] = true; alive[1] = true; run Handler(0); run Handler(1) };
	atomic { ended[0] && ended[1] -> quiet = true; alive[FAULTY] = true; run Handler(FAULTY) };
	ended[FAULTY];
	assert(answer[FAULTY] != PENDING);
	assert(firstWriter != FAULTY || answer[FAULTY] == RAN);
	assert(firstWriter == FAULTY || !alive[firstWriter] || answer[firstWriter] == GAVE_UP
		|| answer[FAULTY] == answer[firstWriter])
}
