/*
 * One non-idempotent request, sent by its caller several times through
 * several entry VMs. Each copy is served by one handler. A handler writes a
 * mark to the log, reads it back and sends only if its mark is the first of
 * the request id in log order. A writer that sent nothing may release its mark
 * instead of sending; the id is then free for the next mark.
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
 *   NO_STOP_AFTER_RELEASE  a writer that released its mark still sends
 *   NO_RELEASE_OF_ONE      a release frees the id whoever's mark stands
 *   NO_DEAD_ID             a writer that said not-run releases its mark
 */

#define FAULTY   2              /* copies sent while faults may happen */
#define COPIES   (FAULTY + 1)   /* the last copy is sent after faults ended */
#define APPENDS  2              /* times that one entry may be appended */
#define SENDS    2              /* attempts that one handler may make */
#define TRIES    2              /* marks that one handler may write, one after the other */
#define MARKS    (COPIES * TRIES)
#define LOG_SIZE 14
#define NOBODY   MARKS

#define QUIET(h) ((h) == FAULTY)
#define WRITER(m) ((m) % COPIES)  /* handler that writes mark m */

/* Kinds of log entries. */
#define MARK     0
#define NOT_SENT 1              /* outcome of the mark's writer: not-run */
#define RELEASE  2              /* the mark is withdrawn */

/* What a handler tells its caller, and peers that ask. */
#define PENDING  0
#define RAN      1
#define NOT_RUN  2
#define UNKNOWN  3
#define GAVE_UP  4              /* answered unknown; nothing sent, nor ever will be */

/* State of one send. */
#define IDLE     0
#define WIRE     1              /* on its way, or waiting in a buffer */
#define REPLIED  2
#define REFUSED  3              /* by the endpoint: not run */
#define LOST     4              /* broken connection: may have run */

typedef Record { byte kind; byte mark };

Record entry[LOG_SIZE];
byte length;

byte inFlight[MARKS];           /* appended marks that have not landed */
bool landed[MARKS];
bool outcomeInFlight[MARKS];
bool releaseInFlight[MARKS];
bool acked[MARKS];              /* an append was answered */
byte standing = NOBODY;         /* mark that stands at the end of the log */
bool closed;                    /* its outcome is in the log */
byte wire[COPIES];
bool alive[COPIES];
byte answer[COPIES];
bool ended[COPIES];
bool quiet;                     /* faults have ended */

/* Observed by the properties only. */
byte runs;
bool saidNotRun;

/* The handler h answers its caller. */
inline reply(h, what) {
	answer[h] = what;
	if
	:: what == NOT_RUN -> saidNotRun = true; assert(runs == 0)
	:: what == RAN -> assert(runs == 1)
	:: else
	fi
}

/* Apply the next record of the log to the handler's view. Any mark but the
 * first changes nothing. */
inline applyNext(h) {
	if
	:: entry[pos].kind == MARK ->
		if
		:: entry[pos].mark == own -> readBack = true
		:: else
		fi;
		if
#ifdef NO_FIRST_MARK
		:: entry[pos].mark == own -> owner = own
#else
		:: owner == NOBODY -> owner = entry[pos].mark
#endif
		:: else
		fi
	:: entry[pos].kind == NOT_SENT && entry[pos].mark == owner -> notSent = true
#ifdef NO_RELEASE_OF_ONE
	:: entry[pos].kind == RELEASE -> owner = NOBODY
#else
	:: entry[pos].kind == RELEASE && entry[pos].mark == owner -> owner = NOBODY
#endif
	:: else
	fi;
	pos++
}

/* Write a record at the end of the log. */
inline write(what, m) {
	entry[length].kind = what;
	entry[length].mark = m;
	length++
}

/* The log: what is in flight lands, late or never. A second copy of a mark is
 * dropped by all readers, as is an outcome or a release that changes nothing;
 * so they are not written. */
active proctype Log() {
	byte m;
end:
	do
	:: atomic {
		if
		:: inFlight[0] > 0 -> m = 0
		:: inFlight[1] > 0 -> m = 1
		:: inFlight[2] > 0 -> m = 2
		:: inFlight[3] > 0 -> m = 3
		:: inFlight[4] > 0 -> m = 4
		:: inFlight[5] > 0 -> m = 5
		fi;
		inFlight[m]--;
		if
		:: if
			:: landed[m]
			:: else ->
				landed[m] = true;
				write(MARK, m);
				if
				:: standing == NOBODY -> standing = m
				:: else
				fi
			fi;
			if
			:: acked[m] = true
			:: !QUIET(WRITER(m)) -> skip
			fi
		:: !QUIET(WRITER(m)) -> skip
		fi;
		m = 0 }
	:: atomic { standing != NOBODY && outcomeInFlight[standing] ->
		outcomeInFlight[standing] = false;
		if
		:: write(NOT_SENT, standing); closed = true
		:: skip
		fi }
	:: atomic { standing != NOBODY && !closed && releaseInFlight[standing] ->
		if
		:: releaseInFlight[standing] = false; write(RELEASE, standing); standing = NOBODY
		:: !quiet -> write(RELEASE, standing); standing = NOBODY   /* and will land again */
		:: !quiet -> releaseInFlight[standing] = false
		fi }
#ifdef NO_RELEASE_OF_ONE
	:: atomic { standing != NOBODY && !closed && (releaseInFlight[0] || releaseInFlight[1]) ->
		if
		:: releaseInFlight[0] -> m = 0
		:: releaseInFlight[1] -> m = 1
		fi;
		releaseInFlight[m] = false;
		write(RELEASE, m);
		standing = NOBODY;
		m = 0 }
#endif
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
	byte own = h;           /* mark that it writes */
	byte owner = NOBODY;    /* mark that stands, as applied */
	bool readBack;          /* own was applied */
	bool notSent;           /* the owner's writer journaled not-run */
	byte appends;           /* of own */
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

propose:
	/* Append, repeat while unanswered, wait for the read-back. */
	do
	:: atomic { pos < length -> applyNext(h) }
	:: atomic { owner == NOBODY && !readBack && appends < APPENDS && (!QUIET(h) || appends == 0) ->
		inFlight[own]++; appends++ }
	:: atomic { readBack || (owner != NOBODY && appends == 0) -> break }
#ifdef NO_READ_BACK
	:: atomic { acked[own] -> owner = own; break }
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
	:: atomic { owner == own || (former != NOBODY && owner != NOBODY && WRITER(owner) == former) -> goto send }
	:: else
	fi;

	/* Another copy was first: ask its writer, read its journaled outcome. One
	 * that sent nothing and never will releases its mark when asked. */
	do
	:: atomic { pos < length -> applyNext(h) }
	:: atomic { owner == NOBODY && pos == length && (own < MARKS - COPIES || appends == 0) ->
		if
		:: appends > 0 -> own = own + COPIES; appends = 0; readBack = false
		:: else
		fi }; goto propose
	:: atomic { owner == NOBODY && own >= MARKS - COPIES && appends > 0 -> reply(h, UNKNOWN); goto done }
	:: atomic { notSent -> reply(h, NOT_RUN); goto done }
	:: atomic { owner != NOBODY && alive[WRITER(owner)] && answer[WRITER(owner)] == RAN -> reply(h, RAN); goto done }
	:: atomic { owner != NOBODY && alive[WRITER(owner)] && answer[WRITER(owner)] == NOT_RUN -> reply(h, NOT_RUN); goto done }
	:: atomic { (owner != NOBODY && alive[WRITER(owner)] && answer[WRITER(owner)] == GAVE_UP &&
		owner == standing && !releaseInFlight[owner]) -> releaseInFlight[owner] = true }
	:: atomic { owner != NOBODY && alive[WRITER(owner)] && answer[WRITER(owner)] == UNKNOWN -> reply(h, UNKNOWN); goto done }
	:: owner != NOBODY && !alive[WRITER(owner)] -> atomic {
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
	:: !QUIET(h) -> atomic { reply(h, NOT_RUN);      /* deadline; nothing sent may run */
#ifdef NO_DEAD_ID
		releaseInFlight[own] = true
#else
		outcomeInFlight[own] = true
#endif
		}; goto done
	:: !QUIET(h) -> atomic { releaseInFlight[own] = true;  /* no slot: told unknown, ask again */
#ifdef NO_STOP_AFTER_RELEASE
		skip
#else
		answer[h] = GAVE_UP; goto done
#endif
		}
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
	:: atomic { owner == own -> goto send }
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
	assert(standing == NOBODY || WRITER(standing) != FAULTY || answer[FAULTY] == RAN);
	assert(standing == NOBODY || WRITER(standing) == FAULTY || answer[FAULTY] == UNKNOWN ||
		answer[FAULTY] == answer[WRITER(standing)]);
	/* Without a death, unknown comes from another's unknown, or from too many tries. */
	assert(answer[FAULTY] != UNKNOWN || !alive[0] || !alive[1] || answer[0] == UNKNOWN ||
		answer[1] == UNKNOWN || landed[FAULTY + COPIES])
}
