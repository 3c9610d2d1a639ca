/*
 * One job that is submitted to the leader, twice, while another machine's
 * append of the same submission may be done at any moment or never
 * (docs/design/platform.md, What is durable, and when).
 *
 * The leader plans the job before its submission is stored. Submissions that
 * wait behind an append are given up at any moment, and the store may refuse
 * the append of those that were taken, leave it unanswered, and apply it
 * without an answer. The leader's replica reads the store, and tells the
 * planner later. Another leader may take over at any moment.
 *
 * Checked: an order is recorded before it is sent, at most one run of the task
 * exists, no submission is answered as not stored while the leader knows that
 * it is, and at rest the task runs exactly if the job is stored.
 *
 * Each variant takes out one safeguard and has to fail:
 *   NO_CONFIRM    reading the submission of a job that is planned already changes nothing
 *   NO_ADD        reading the submission of a job that was withdrawn changes nothing
 *   NO_PROGRESS   the progress of a job that stays is dropped with the refused append
 *   NO_LOOKUP     submissions that are given up are answered without a look at what was read
 */

#define SUBMISSIONS 2

mtype = { Absent, Unconfirmed, Confirmed };

/* The store and the executor. */
bool stored = false;
bool recorded = false; /* a record says that the run may exist */
byte runs = 0;
byte epoch = 1; /* of the newest leader; store and executor refuse those before it */

byte submitted = 0;

proctype OtherMachine() {
	if
	:: stored = true
	:: skip
	fi
}

#define NOTHING_TAKEN (!taken[0] && !taken[1])

proctype Leader(byte l) {
	mtype job = Absent; /* in the planner */
	bool known = false; /* the replica has read the submission */
	bool told = false;  /* and has told the planner */
	bool waits[SUBMISSIONS];
	bool taken[SUBMISSIONS];
	bool added[SUBMISSIONS]; /* the submission added the job to the planner */
	bool planned = false;
	bool dirty = false; /* the planned start isn't recorded */
	bool ordered = false;
	bool appending = false;
	bool uncertain = false; /* an attempt of the append may have been applied */
	byte i;

	/* It reads all that is stored and asks the executor, which refuses older orders from then on. */
	atomic {
		epoch = l;
		known = stored;
		told = stored;
		if
		:: stored -> job = Confirmed
		:: else
		fi;
		ordered = recorded && runs > 0
	}
end:
	do
	:: atomic { epoch != l -> break }

	/* A machine passes the submission on. */
	:: atomic {
		epoch == l && submitted < SUBMISSIONS && !known ->
		waits[submitted] = true;
		if
		:: job == Absent -> job = Unconfirmed; added[submitted] = true
		:: else
		fi;
		submitted++
	   }

	/* The replica reads the store, then tells the planner. */
	:: atomic { epoch == l && stored && !known -> known = true }
	:: atomic {
		epoch == l && known && !told ->
		told = true;
		if
#ifndef NO_ADD
		:: job == Absent -> job = Confirmed
#endif
#ifndef NO_CONFIRM
		:: job == Unconfirmed -> job = Confirmed
#endif
		:: else
		fi
	   }

	/* Submissions that wait are given up. */
	:: atomic {
		epoch == l && (waits[0] || waits[1]) ->
		i = (waits[0] -> 0 : 1);
		waits[i] = false;
		if
		:: added[i] && job == Unconfirmed -> job = Absent; planned = false; dirty = false
		:: else
		fi;
#ifdef NO_LOOKUP
		assert(!known)
#endif
	   }

	/* A cycle takes the submissions, plans, and appends. */
	:: atomic {
		epoch == l && !appending && (waits[0] || waits[1] || (job != Absent && !ordered && !planned)) ->
		for (i : 0 .. SUBMISSIONS - 1) { taken[i] = waits[i]; waits[i] = false };
		if
		:: job != Absent && !ordered -> planned = true; dirty = true
		:: else
		fi;
		appending = true;
		uncertain = false
	   }
	/* done */
	:: atomic {
		epoch == l && appending ->
		stored = stored || !NOTHING_TAKEN;
		recorded = recorded || dirty;
		dirty = false;
		taken[0] = false;
		taken[1] = false;
		appending = false
	   }
	/* no answer: applied or not */
	:: atomic {
		epoch == l && appending && !uncertain ->
		uncertain = true;
		if
		:: stored = stored || !NOTHING_TAKEN; recorded = recorded || dirty
		:: skip
		fi
	   }
	/* refused */
	:: atomic {
		epoch == l && appending && !uncertain && !NOTHING_TAKEN ->
		for (i : 0 .. SUBMISSIONS - 1) {
			if
			:: taken[i] && added[i] && job == Unconfirmed -> job = Absent; planned = false; dirty = false
			:: else
			fi;
#ifdef NO_LOOKUP
			assert(!taken[i] || !known);
#endif
			taken[i] = false
		};
#ifdef NO_PROGRESS
		dirty = false;
#endif
		appending = dirty /* the progress of a job that stays is stored alone */
	   }

	/* The orders of the cycle are sent. */
	:: atomic {
		epoch == l && !appending && planned ->
		planned = false;
		assert(recorded);
		runs++;
		assert(runs <= 1);
		ordered = true
	   }
	od
}

proctype AtRest() {
	timeout -> assert(runs == (stored -> 1 : 0))
}

init {
	atomic {
		run AtRest();
		run OtherMachine();
		run Leader(1);
		if
		:: run Leader(2)
		:: skip
		fi
	}
}
