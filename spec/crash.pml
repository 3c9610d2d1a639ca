/*
 * One task that crashes each executor which starts it, under leaders that replace
 * each other at any moment, on two executors (docs/design/crashes.md).
 *
 * A leader counts a run that is lost with its executor. The count is part of the
 * task's record, which is written, fenced by the leader's epoch, before the next
 * start is ordered. A new leader takes the run that the record names for one that
 * may have begun, and counts it when its executor's life turns out to be over. An
 * executor that reports from the same life hasn't carried out the start: it would
 * be another life by then; what former leaders ordered is refused there from the
 * report on. An executor that can't be reached is waited for until the order is
 * certainly void, and counts, since it may have crashed.
 *
 * Checked: no more starts are carried out than losses are allowed, and no more
 * losses are counted with proof than executors have crashed.
 *
 * Each variant takes out one safeguard and has to fail:
 *   NO_RECORD     the count isn't part of the record
 *   NO_INHERITED  runs that a former leader ordered don't count
 *   NO_FENCE      the store takes records of former leaders
 *   NO_TOKEN      executors take orders of former leaders
 *   NO_ONCE       a loss counts each time that it is heard of
 */

#define LEADERS 2
#define EXECUTORS 2
#define MAX_EPOCH 3
#define MAX_RUN 4
#define ALLOWED 2
#define NOWHERE 2

/* The store: the task's record and the highest epoch that has written. */
byte storeEpoch = 0;
byte recRun = 0;
byte recAt = NOWHERE; /* where the newest run may exist */
byte recLife = 0;     /* of that executor when it was ordered */
byte recCount = 0;    /* losses */
byte recProved = 0;   /* those with proof */

/* The executors. */
byte token[EXECUTORS];
byte life[EXECUTORS];

byte started = 0; /* each of them has crashed an executor */
byte lastEpoch = 0;

/* One order under way to each executor from each leader; 0: none. */
typedef Order { byte nr; byte epoch; byte life }
Order order[4];
#define ORDER(l, x) order[(l) * EXECUTORS + (x)]

#ifdef NO_TOKEN
#define TOKEN_OK(l, x) true
#else
#define TOKEN_OK(l, x) (ORDER(l, x).epoch >= token[x])
#endif

/* carryOut has an executor take an order: it crashes, and its next life has seen
 * no token. Another life refuses the order. */
inline carryOut(l, x) {
	if
	:: ORDER(l, x).life == life[x] && TOKEN_OK(l, x) ->
		started++;
		assert(started <= ALLOWED);
		life[x]++;
		token[x] = 0
	:: else
	fi;
	ORDER(l, x).nr = 0
}

proctype Executor(byte x) {
end:
	do
	:: atomic { ORDER(0, x).nr != 0 -> carryOut(0, x) }
	:: atomic { ORDER(1, x).nr != 0 -> carryOut(1, x) }
	:: atomic { ORDER(0, x).nr != 0 -> ORDER(0, x).nr = 0 } /* lost */
	:: atomic { ORDER(1, x).nr != 0 -> ORDER(1, x).nr = 0 }
	od
}

proctype Leader(byte me) {
	byte epoch, nr, at, born, count, proved;
	bool inherited; /* the run was ordered by a former leader */
	bool open;      /* the newest run may exist */

end:
	do
	:: atomic { lastEpoch < MAX_EPOCH -> lastEpoch++; epoch = lastEpoch };
		atomic { /* fence, then read */
			if
			:: epoch > storeEpoch -> storeEpoch = epoch
			:: else -> goto lost
			fi;
			nr = recRun; at = recAt; born = recLife; count = recCount; proved = recProved;
			open = (recAt != NOWHERE); inherited = true
		};
		do
		/* another life answers there */
		:: atomic { open && life[at] > born ->
#ifndef NO_ONCE
			open = false;
#endif
#ifdef NO_INHERITED
			if
			:: inherited -> skip
			:: else -> count++; proved++
			fi
#else
			count++; proved++
#endif
			;
			if
			:: count > MAX_RUN -> goto lost
			:: else
			fi;
			assert(proved <= started)
		}
		/* the same life reports; an order of this leader's own is over */
		:: atomic { open && life[at] == born && epoch >= token[at] && ORDER(me, at).nr == 0 ->
			token[at] = epoch;
			open = false }
		/* it can't be reached, and all orders to that life are certainly void */
		:: atomic { open ->
			ORDER(0, at).nr = 0;
			ORDER(1, at).nr = 0;
			open = false;
#ifdef NO_INHERITED
			if
			:: inherited -> skip
			:: else -> count++
			fi
#else
			count++
#endif
		}
		:: atomic { !open && count < ALLOWED && nr < MAX_RUN && ORDER(me, 0).nr == 0 && ORDER(me, 1).nr == 0 ->
			nr++;
			inherited = false;
			open = true;
			if
			:: at = 0
			:: at = 1
			fi;
			born = life[at]
		};
			atomic {
				if
#ifdef NO_FENCE
				:: true ->
#else
				:: epoch == storeEpoch ->
#endif
					recRun = nr; recAt = at; recLife = born;
#ifndef NO_RECORD
					recCount = count; recProved = proved
#endif
				:: else -> goto lost
				fi
			};
			atomic {
				ORDER(me, at).nr = nr;
				ORDER(me, at).epoch = epoch;
				ORDER(me, at).life = born
			}
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
