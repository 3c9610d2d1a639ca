/*
 * The tasks of one workspace under its cap, with leaders that replace each
 * other at any moment, without knowing of it, on one executor each task
 * (docs/design/workspaces.md).
 *
 * A leader counts every run that may exist: those that it has ordered, whether
 * they were answered or not, those that it has told to stop until they are
 * over, and those that its predecessors' records name, until the executor has
 * answered it. It orders a start only while fewer than CAP are counted. Orders
 * are carried out late, or never, also those of a former leader.
 *
 * Checked: no start brings more than CAP tasks at work at the same time.
 *
 * Each variant takes out one safeguard and has to fail:
 *   NO_RECORD    the order is sent before its record is written
 *   NO_FENCE     the store takes records of former leaders
 *   NO_TOKEN     executors take orders of former leaders
 *   NO_INHERIT   runs that the records name are not counted
 *   NO_UNSURE    an order without an answer is not counted
 *   NO_STOPPING  a run that was told to stop is not counted
 */

#define LEADERS 3
#define TASKS 2
#define CAP 1

/* The store: the tasks that may run, and the highest epoch that has written. */
byte storeEpoch = 0;
bool rec[TASKS];

/* The executors, one for each task. */
byte token[TASKS];
bool atWork[TASKS];
bool ended[TASKS]; /* a run has ended and is listed */

/* Orders under way, of each leader for each task. */
bool order[LEADERS * TASKS];
bool stopping[TASKS];
#define ORDER(l, t) order[(l) * TASKS + (t)]

byte lastEpoch = 0;

#define ATWORK (atWork[0] + atWork[1])

#ifdef NO_TOKEN
#define TOKEN_OK(l, t) true
#else
#define TOKEN_OK(l, t) ((l) + 1 >= token[t])
#endif

/* carryOut carries out an order that is under way, at any later time. */
inline carryOut(l, t) {
	if
	:: TOKEN_OK(l, t) && !atWork[t] ->
		token[t] = (token[t] > l + 1 -> token[t] : l + 1);
		atWork[t] = true;
		assert(ATWORK <= CAP)
	:: else
	fi;
	ORDER(l, t) = false
}

proctype Executor(byte t) {
	byte l;
end:
	do
	:: atomic { ORDER(0, t) -> l = 0; carryOut(l, t) }
	:: atomic { ORDER(1, t) -> l = 1; carryOut(l, t) }
	:: atomic { ORDER(2, t) -> l = 2; carryOut(l, t) }
	:: atomic { atWork[t] -> atWork[t] = false; ended[t] = true }
	:: atomic { stopping[t] && atWork[t] -> atWork[t] = false; ended[t] = true; stopping[t] = false }
	od
}

#ifdef NO_FENCE
#define MAY_WRITE(e) true
#else
#define MAY_WRITE(e) (storeEpoch == (e))
#endif

proctype Leader(byte l) {
	bool counted[TASKS];
	byte t;
	bool leads = true;

	/* It sets its epoch at the store and reads the records. */
	atomic {
		(lastEpoch == l) ->
		lastEpoch = l + 1;
		storeEpoch = l + 1;
#ifndef NO_INHERIT
		counted[0] = rec[0];
		counted[1] = rec[1]
#endif
	}
	do
	:: leads ->
		if
		:: t = 0
		:: t = 1
		fi;
		if
		:: !counted[t] && counted[0] + counted[1] < CAP ->
			/* A start: recorded first, then ordered. */
#ifdef NO_RECORD
			atomic { ORDER(l, t) = true; counted[t] = true };
			if
			:: MAY_WRITE(l + 1) -> rec[t] = true
			:: else -> leads = false
			fi
#else
			atomic {
				if
				:: MAY_WRITE(l + 1) -> rec[t] = true; counted[t] = true
				:: else -> leads = false
				fi
			};
			if
			:: leads -> ORDER(l, t) = true
			:: else
			fi
#endif
		:: counted[t] ->
			/* The executor answers a call with this leader's token: what it doesn't list
			 * any more is over, unless an order of this leader is still under way. */
			atomic {
				if
				:: l + 1 >= token[t] ->
					token[t] = l + 1;
					if
					:: !atWork[t] && !ORDER(l, t) && MAY_WRITE(l + 1) ->
						counted[t] = false;
						rec[t] = false;
						ended[t] = false
					:: else
					fi
				:: else -> leads = false
				fi
			}
#ifdef NO_UNSURE
		:: atomic { counted[t] && ORDER(l, t) -> counted[t] = false; rec[t] = false }
#endif
		:: atomic {
			counted[t] -> stopping[t] = true;
#ifdef NO_STOPPING
			counted[t] = false;
#endif
			skip
		   }
		:: else
		fi
	:: leads -> leads = false
	:: !leads -> break
	od
}

init {
	atomic {
		run Executor(0);
		run Executor(1);
		run Leader(0);
		run Leader(1);
		run Leader(2)
	}
}
