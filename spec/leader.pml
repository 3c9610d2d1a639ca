/*
 * One task under leaders that replace each other at any moment, without
 * knowing of it, on two executors (docs/design/platform.md).
 *
 * A leader's epoch fences its records at the store and is its token at the
 * executors. It writes that a run may exist before it orders it. Orders are
 * carried out late, or never. A new leader reads the record; it starts the task
 * again only when the executor that the record names has answered it, so that
 * a former leader's order is refused there, or when that executor's lease is
 * certainly over. By then every order is void that was made from an earlier
 * report of that executor, also one that its leader has yet to send: an order
 * names its end on the executor's clock. Here an executor has a span, which
 * its reports tell and each certain end of its lease makes one larger.
 *
 * Checked: the task never runs twice at the same time, and never starts after
 * an end as done was recorded.
 *
 * Each variant takes out one safeguard and has to fail:
 *   NO_RECORD      the order is sent before its record is written
 *   NO_FENCE       the store takes records of former leaders
 *   NO_TOKEN       executors take orders of former leaders
 *   NO_EXPIRY      orders have no end of their own
 *   NO_LEASE_WAIT  an executor that gives no answer counts as free of the task
 */

#define LEADERS 2
#define EXECUTORS 2
#define MAX_EPOCH 3
#define MAX_RUN 2
#define MAX_SPAN 2
#define NOWHERE 2

/* The store: the task's record and the highest epoch that has written. */
byte storeEpoch = 0;
byte recRun = 0;      /* newest run */
byte recAt = NOWHERE; /* where it may exist */
bool recDone = false;

/* The executors. */
byte token[EXECUTORS];
byte runs[EXECUTORS];     /* run at work; 0: none */
byte doneRun[EXECUTORS];  /* newest run that ended as done; listed until recorded */
byte highest[EXECUTORS];  /* highest run ever seen there */
byte span[EXECUTORS];     /* how often a lease has certainly ended there */

/* One order under way to each executor from each leader; 0: none. */
typedef Order { byte nr; byte epoch; byte span }
Order order[4];
#define ORDER(l, x) order[(l) * EXECUTORS + (x)]

#ifdef NO_TOKEN
#define TOKEN_OK(l, x) true
#else
#define TOKEN_OK(l, x) (ORDER(l, x).epoch >= token[x])
#endif
#ifdef NO_EXPIRY
#define IN_TIME(l, x) true
#else
#define IN_TIME(l, x) (ORDER(l, x).span == span[x])
#endif

byte lastEpoch = 0;

#define ATONCE ((runs[0] != 0) + (runs[1] != 0))

/* start carries out an order at an executor. */
inline start(l, x) {
	if
	:: ORDER(l, x).nr > highest[x] && TOKEN_OK(l, x) && IN_TIME(l, x) ->
		token[x] = ORDER(l, x).epoch;
		assert(!recDone);
		highest[x] = ORDER(l, x).nr;
		runs[x] = ORDER(l, x).nr;
		assert(ATONCE <= 1)
	:: else
	fi;
	ORDER(l, x).nr = 0
}

proctype Executor(byte x) {
	byte l;
end:
	do
	:: atomic { ORDER(0, x).nr != 0 -> start(0, x) }
	:: atomic { ORDER(1, x).nr != 0 -> start(1, x) }
	:: atomic { ORDER(0, x).nr != 0 -> ORDER(0, x).nr = 0 } /* lost */
	:: atomic { ORDER(1, x).nr != 0 -> ORDER(1, x).nr = 0 }
	:: atomic { runs[x] != 0 -> doneRun[x] = runs[x]; runs[x] = 0 }
	:: atomic { runs[x] != 0 -> runs[x] = 0 } /* failed, stopped */
	od
}

proctype Leader(byte me) {
	byte epoch, nr, at, told;
	bool known; /* nothing of the task can run where the record says */

end:
	do
	:: atomic { lastEpoch < MAX_EPOCH -> lastEpoch++; epoch = lastEpoch };
		/* fence, then read */
		atomic {
			if
			:: epoch > storeEpoch -> storeEpoch = epoch
			:: else -> goto lost
			fi;
			nr = recRun; at = recAt; known = (recAt == NOWHERE)
		};
		do
		/* a report of the executor that the record names */
		:: atomic { at != NOWHERE && epoch >= token[at] && !recDone ->
			token[at] = epoch;
			if
			:: doneRun[at] == nr && nr != 0 ->
				/* the end is recorded, unless a later leader writes */
				if
#ifdef NO_FENCE
				:: true -> recDone = true
#else
				:: epoch == storeEpoch -> recDone = true
				:: else -> goto lost
#endif
				fi
			:: doneRun[at] != nr && runs[at] == 0 -> known = (ORDER(me, at).nr == 0)
			:: doneRun[at] != nr && runs[at] != 0 -> skip /* at work */
			fi }
		/* its lease is certainly over: nothing runs there, orders are void */
		:: atomic { at != NOWHERE && !known && span[at] < MAX_SPAN ->
#ifndef NO_LEASE_WAIT
			runs[at] = 0;
			span[at]++;
#endif
			known = true }
		/* start the task, at either executor */
		:: atomic { known && !recDone && nr < MAX_RUN && ORDER(me, 0).nr == 0 && ORDER(me, 1).nr == 0 ->
			nr++;
			known = false;
			if
			:: at = 0
			:: at = 1
			fi;
			told = span[at]
#ifdef NO_RECORD
			;
			ORDER(me, at).nr = nr;
			ORDER(me, at).epoch = epoch;
				ORDER(me, at).span = told
#endif
		};
			atomic {
				if
#ifdef NO_FENCE
				:: true ->
#else
				:: epoch == storeEpoch ->
#endif
					recRun = nr; recAt = at
				:: else -> goto lost
				fi
			};
#ifndef NO_RECORD
			atomic {
				ORDER(me, at).nr = nr;
				ORDER(me, at).epoch = epoch;
				ORDER(me, at).span = told
			}
#endif
		:: goto lost /* replaced, or the process ended, at any moment */
		od;
lost:
		skip
	od
}

init {
	atomic {
		run Executor(0);
		run Executor(1);
		run Leader(0);
		run Leader(1)
	}
}
