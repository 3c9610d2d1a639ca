/*
 * The hold of one shard: its holder A, a member B of the same data centre and
 * a joiner J, either of which may supersede A by a claim in the log. The
 * shard covers one endpoint with SLOTS slots. A acts fully while its hold is
 * confirmed, by a read of the log or by grants of every member that it knows;
 * otherwise it goes on with its floor share.
 *
 * Time goes on in ticks. A's clock may lose one tick (drift), and A may pause
 * between any two steps. Reads, grants and claims happen at any time or never,
 * which stands for a log or peer that can't be reached, one way or both, and
 * for processes that died. A request stays in flight at the endpoint as long
 * as it likes, also after its sender stopped.
 *
 * The model itself: the endpoint ignores epochs, and the time between check
 * and send is bounded by SEND ticks.
 *
 * Variants take one safeguard out each:
 *   NO_CLAIM_WAIT       a claimant acts as soon as it has read its claim back
 *   NO_SELF_STOP        A never stops by itself
 *   NO_DRIFT            the claimant's wait ignores the difference of clock rates
 *   NO_GRANT_REFUSAL    a member goes on granting after its own claim
 *   NO_ASK_TIME         a hold by grants counts from the last grant, not the first question
 *   NO_JOINER_ACK       a joiner claims before A knows of it
 *   NO_COMPARE_AND_SET  a second claim for the same epoch is accepted
 *   NO_FLOOR_SHARE      the claimant uses A's floor share as well
 *   NO_FIXED_FLOOR      the claimant works out A's floor from the members of now
 *   NO_BUSY_COUNT       the claimant doesn't count what A has in flight
 *   NO_LEAVE_COUNT      it takes A's floor share once A left, by its count from before
 *   NO_SEND_BOUND       a pause of any length between check and send, no fence
 *   NO_RELEASE_ORDER    A releases the shard in the log before it has stopped
 *
 * Other rules that have to pass as well:
 *   WITH_FENCE          the endpoint refuses epochs lower than it has seen; a
 *                       pause between check and send has no bound
 *   WITH_EARLY_CLAIM    a member claims without waiting out the grant it gave
 */

#define SLOTS     2             /* of the endpoint */
#define MEMBERS   2             /* of the roster when A claimed: A and B */
#define FLOOR     (SLOTS / MEMBERS)
#define HOLD      2             /* ticks */
#define SEND      1             /* ticks from check to send, where bounded */
#ifdef NO_DRIFT
#define DRIFT     0
#else
#define DRIFT     1             /* ticks that two clocks may differ over a hold */
#endif
#ifdef NO_CLAIM_WAIT
#define CLAIM_WAIT 0
#else
#define CLAIM_WAIT (HOLD + SEND + DRIFT)
#endif
#define QUIET_TICKS (2 * (CLAIM_WAIT + HOLD) + 2)

#define A 0
#define B 1
#define J 2
#define NODES 3

/* The log's state. */
byte holder = A;
bool joined;                    /* J is in the roster */
bool released;                  /* A gave the shard back */

/* A. */
byte hold = HOLD;               /* ticks left of its confirmed hold */
bool superseded;                /* it has read a claim */
bool releasing;                 /* it has stopped, to release the shard */
bool knowsJ;
bool asking;                    /* an exchange of grants is on */
byte askLeft;                   /* what that exchange would confirm */
bool granted[NODES];
bool skipped;                   /* A's clock has lost a tick */
bool dead;

/* Claimants. */
bool claiming[NODES];           /* its claim is in flight */
bool won[NODES];                /* its claim has landed */
bool claimed[NODES];            /* it has read its claim back */
byte wait[NODES];
byte others[NODES];             /* busy slots that aren't its own, by the endpoint */
bool probed[NODES];
bool freed[NODES];              /* its count was taken when A had left or released */
byte grantLeft[NODES];          /* it won't claim before */

/* The endpoint. */
byte inFlight[NODES];
byte checked[NODES];            /* sends decided on, not yet sent */
byte checkAge;                  /* ticks since A's oldest such check */
bool fenced;                    /* it has seen the claimant's epoch */

bool quiet;
byte quietTicks;

#ifdef NO_SELF_STOP
#define CONFIRMED (!superseded)
#else
#define CONFIRMED (hold > 0 && !superseded)
#endif
#define A_FULL    (CONFIRMED && !releasing && !dead)
#define FULL(n)   (claimed[n] && wait[n] == 0 && probed[n])
#define TOTAL     (inFlight[A] + inFlight[B] + inFlight[J])
#define BUSY(n)   (inFlight[n] + checked[n])

#define TWO_HOLDERS ((A_FULL && (FULL(B) || FULL(J))) || (FULL(B) && FULL(J)))

/* What a claimant leaves to A. */
#ifdef NO_FIXED_FLOOR
#define A_FLOOR   (SLOTS / (MEMBERS + joined))
#else
#define A_FLOOR   FLOOR
#endif
#ifdef NO_FLOOR_SHARE
#define RESERVED(n)  0
#else
#ifdef NO_LEAVE_COUNT
#define RESERVED(n)  ((released || dead) -> 0 : A_FLOOR)
#else
#define RESERVED(n)  (freed[n] -> 0 : A_FLOOR)
#endif
#endif
#ifdef NO_BUSY_COUNT
#define LEFT(n)   RESERVED(n)
#else
#define LEFT(n)   ((others[n] > RESERVED(n)) -> others[n] : RESERVED(n))
#endif
#ifdef NO_ASK_TIME
#define ASK_TIME  HOLD
#else
#define ASK_TIME  askLeft
#endif
#ifdef NO_RELEASE_ORDER
#define STOPPED   true
#else
#define STOPPED   (checked[A] == 0)
#endif
#ifdef NO_GRANT_REFUSAL
#define GRANTS(n) true
#else
#define GRANTS(n) (!claimed[n])
#endif
#ifdef NO_JOINER_ACK
#define MAY_CLAIM(n) (n == B || joined)
#else
#define MAY_CLAIM(n) (n == B || knowsJ)
#endif
#ifdef NO_COMPARE_AND_SET
#define WINS      true
#else
#define WINS      (holder == A)
#endif
#ifdef WITH_EARLY_CLAIM
#define GRANT_OVER(n) true
#else
#define GRANT_OVER(n) (grantLeft[n] == 0)
#endif
#ifdef WITH_FENCE
#define FENCED    fenced
#else
#define FENCED    false
#endif

/* The holder A. */
active proctype Holder() {
end:
	do
	/* A read that reaches the log's end. */
	:: atomic { !dead && !superseded && holder == A && !(quiet && hold == HOLD && knowsJ == joined) ->
		hold = HOLD; knowsJ = joined }
	:: atomic { !dead && !superseded && holder != A -> superseded = true; hold = 0; asking = false; askLeft = 0;
		granted[B] = false; granted[J] = false }

	/* Grants of every member that it knows. */
	:: atomic { !quiet && !dead && !superseded && !asking -> asking = true; askLeft = HOLD }
	:: atomic { asking && granted[B] && (granted[J] || !knowsJ) ->
		hold = (ASK_TIME > hold -> ASK_TIME : hold);
		asking = false; askLeft = 0; granted[B] = false; granted[J] = false }

	/* A planned release: stop first, then say so in the log. */
	:: atomic { !quiet && !dead && !superseded && !releasing && holder == A -> releasing = true }
	:: atomic { !dead && releasing && !released && STOPPED && holder == A -> released = true }

	/* Check, then send. */
	:: atomic { !quiet && A_FULL && BUSY(A) < SLOTS && checked[A] == 0 -> checked[A]++; checkAge = 0 }
	:: atomic { !quiet && !dead && !releasing && BUSY(A) < FLOOR && checked[A] == 0 -> checked[A]++; checkAge = 0 }
	:: atomic { checked[A] > 0 ->
		checked[A]--;
		if
		:: !FENCED -> inFlight[A]++; assert(TOTAL <= SLOTS)
		:: FENCED
		fi }
	:: atomic { !quiet && !dead -> dead = true; asking = false; askLeft = 0; granted[B] = false; granted[J] = false; hold = 0;
		checked[A] = 0 }
	od
}

/* A member or joiner. */
proctype Member(byte n) {
end:
	do
	:: atomic { asking && !granted[n] && GRANTS(n) && (n == B || knowsJ) -> granted[n] = true; grantLeft[n] = HOLD + DRIFT }

	/* Claim: appended, landed, read back. */
	:: atomic { holder == A && !claiming[n] && GRANT_OVER(n) && MAY_CLAIM(n) && (!quiet || n == B) && (!quiet || dead || released) ->
		claiming[n] = true }
	:: atomic { claiming[n] && WINS -> claiming[n] = false; holder = n; won[n] = true }
	:: atomic { claiming[n] && !WINS -> claiming[n] = false }
	:: atomic { won[n] && !claimed[n] -> claimed[n] = true; wait[n] = (released -> 0 : CLAIM_WAIT) }

	/* The endpoint's own count, taken once the wait is over. */
	:: atomic { claimed[n] && wait[n] == 0 && (!probed[n] || others[n] != TOTAL - inFlight[n] || freed[n] != (released || dead)) ->
		probed[n] = true; fenced = true; others[n] = TOTAL - inFlight[n]; freed[n] = (released || dead);
		assert(!TWO_HOLDERS) }
	:: atomic { !quiet && FULL(n) && BUSY(n) + LEFT(n) < SLOTS && checked[n] == 0 -> checked[n]++ }
	:: atomic { checked[n] > 0 -> checked[n]--; inFlight[n]++; assert(TOTAL <= SLOTS) }
	od
}

active proctype Endpoint() {
end:
	do
	:: atomic { inFlight[A] > 0 -> inFlight[A]-- }
	:: atomic { inFlight[B] > 0 -> inFlight[B]-- }
	:: atomic { inFlight[J] > 0 -> inFlight[J]-- }
	od
}

#define LESS(x) if :: x > 0 -> x-- :: else fi

inline tickA() {
	LESS(hold);
	LESS(askLeft)
}

inline tickOthers() {
	LESS(wait[B]);
	LESS(wait[J]);
	LESS(grantLeft[B]);
	LESS(grantLeft[J])
}

#if defined(NO_SEND_BOUND) || defined(WITH_FENCE)
#define SENT_IN_TIME true
#else
#define SENT_IN_TIME (checked[A] == 0 || checkAge < SEND)
#endif

/* Time. Progress: once faults have ended, somebody acts fully. */
active proctype Clock() {
	run Member(B);
	run Member(J);
end:
	do
	:: atomic { !quiet && SENT_IN_TIME ->
		if
		:: checked[A] > 0 && checkAge < SEND -> checkAge++
		:: checked[A] == 0 -> checkAge = 0
		:: checked[A] > 0 && checkAge >= SEND
		fi;
		if
		:: tickA()
		:: !skipped -> skipped = true
		fi;
		tickOthers();
		assert(!TWO_HOLDERS) }
	:: atomic { !quiet && !joined -> joined = true }
	:: atomic { !quiet -> quiet = true }
	:: atomic { quiet && quietTicks < QUIET_TICKS && timeout -> tickA(); tickOthers(); quietTicks++ }
	:: atomic { quiet && quietTicks == QUIET_TICKS && timeout -> assert(A_FULL || FULL(B) || FULL(J)); break }
	od
}
