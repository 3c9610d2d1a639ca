/*
 * Starts, leases and restarts under the first holder of a placement shard
 * and the one that supersedes it. One worker VM is modelled in full and has
 * room for one task. The task may also be started elsewhere, on a VM that is
 * always reached, and stays there. A second task, the filler, asks for the
 * worker's room and runs from the moment that the log gives it.
 *
 * Every exchange carries a lease expiry on the worker's own clock, taken from
 * a report of that worker. Clocks are kept as distances that each tick
 * changes: the time to live of a lease or message, the age of a report. The
 * worker's clock may lose one tick (drift).
 *
 * Faults: exchanges that are lost, late, doubled or reordered, lost reports; a
 * holder that pauses anywhere or never acts again; a worker that the new
 * holder can't reach; a worker that restarts; proposals that land late or
 * never. The worker checks no epochs: safety does not rest on that fence.
 *
 * Variants take one safeguard out each:
 *   NO_EPOCH_CHECK      entries of a superseded holder are applied
 *   NO_LEDGER_CHECK     a start is applied although the VM has no room
 *   NO_HOLDS_CHECK      a start is applied although the task holds a VM
 *   NO_READ_BACK        the worker is told before the start was read back
 *   NO_ABSOLUTE_EXPIRY  a renewal lasts for the lease time from its arrival
 *   NO_START_EXPIRY     a worker takes starts from a message that has expired
 *   NO_INCARNATION      a worker takes a message meant for its former incarnation
 *   NO_START_INCARNATION  a start is not bound to one incarnation of the worker
 *   NO_ATTEMPT_MEMORY   a worker forgets attempts that have ended
 *   NO_RESTART_WAIT     the holder restarts a silent worker's tasks at once
 *   NO_TAKEOVER_WAIT    the new holder restarts without waiting
 *   NO_HOLD_IN_WAIT     it waits for the lease, not for the old holder's hold
 *   NO_SELF_STOP        the old holder never stops by itself
 *   NO_DRIFT            waits ignore the difference of clock rates
 *   NO_SETTLED_START    a report without the task counts as "not running"
 *   NO_WITHDRAWAL       a start is told again after its release was proposed
 *
 * Another rule that has to pass as well:
 *   WITH_CAUSAL_RENEWAL  a renewal uses only reports that came before the
 *                        latest confirmation of the hold was asked for; the
 *                        old holder needs no clock, the new one waits for the
 *                        lease alone
 */

#define OLD      0              /* holders */
#define NEW      1
#define HOLDERS  2
#define SLOTS    2              /* messages on the way to the worker */
#define CAPACITY 1              /* tasks that fit on the worker */

/* Where the log says that the task is. */
#define NOWHERE   0
#define WORKER    1
#define ELSEWHERE 2

#define LEASE    2              /* ticks */
#define HOLD     1
#ifdef NO_DRIFT
#define DRIFT    0
#else
#define DRIFT    1              /* ticks that two clocks may differ over a lease */
#endif

#define RESTART_WAIT  (LEASE + DRIFT)
#define HOLD_LEFT     (HOLD + 1) /* of the old holder's hold, on a slow clock */
#ifdef NO_TAKEOVER_WAIT
#define TAKEOVER_WAIT 0
#else
#if defined(NO_HOLD_IN_WAIT) || defined(WITH_CAUSAL_RENEWAL)
#define TAKEOVER_WAIT (LEASE + DRIFT)
#else
#define TAKEOVER_WAIT (HOLD_LEFT + LEASE + DRIFT)
#endif
#endif

#define MAX_ATTEMPTS   2        /* starts of the task on the worker */
#define SYNCS          2        /* exchanges per tick: the second renews by the first one's report */
#define QUIET_TICKS    (TAKEOVER_WAIT + RESTART_WAIT + 2)

/* State of an attempt at the worker. */
#define UNSEEN  0
#define RUNNING 1
#define KILLED  2

/* Kinds of proposals. */
#define START   1               /* on the worker */
#define FILL    2               /* start the filler on the worker */
#define MOVE    3               /* start elsewhere */
#define FREE    4               /* the task holds no VM any more */

/* The log's state: the same for every reader at one place in the log. */
byte epoch = OLD;               /* NEW once the new holder's claim lands */
byte place;
byte attempt;
bit boundTo;                    /* incarnation of the worker that the start names */
bool filler;                    /* the filler holds the worker's room */

/* The old holder's proposal in flight and what it has read. The new holder,
 * whom nobody supersedes here, reads and lands its proposals at once. */
byte proposed;
bool lateMove;                  /* a MOVE that it gave up waiting for, still in flight */
byte readPlace;
byte readAttempt;
bit readBoundTo;
byte withdrawn;                 /* attempt whose release it has proposed: never told again */

/* What each holder knows of the worker. */
byte age[HOLDERS] = LEASE;      /* of the last report, on the worker's clock */
byte since[HOLDERS] = RESTART_WAIT; /* ticks since it came, on the holder's clock */
bit known[HOLDERS];             /* incarnation of the worker in it */
bool beforeClaim;               /* the old holder's came before the claim landed */
byte holdLeft;                  /* of the old holder, after the claim */
byte takeoverLeft;
bool claimRead;

/* Exchanges on the way. */
typedef Message { bool used; bit from; bit incarnation; byte ttl; byte start };
Message inbox[SLOTS];

/* The worker. */
byte leaseLeft;
bit incarnation;
bool skipped;                   /* its clock has lost a tick */
byte last;                      /* last attempt that it was told to start */
byte state;                     /* of that attempt */
bool elsewhere;                 /* the task runs elsewhere */

/* End of the faults. */
bool quiet;
bool cut;                       /* the new holder never reaches the worker */
byte quietTicks;
byte syncs;                     /* exchanges in this tick */

/* Observed by the properties only. */
byte begun;                     /* highest attempt that ever began */

/* The checks that every reader of the log makes of an entry of holder h. */
#ifdef NO_EPOCH_CHECK
#define STALE(h) false
#else
#define STALE(h) (h != epoch)
#endif
#ifdef NO_HOLDS_CHECK
#define HOLDS_VM false
#else
#define HOLDS_VM (place != NOWHERE)
#endif
#ifdef NO_LEDGER_CHECK
#define FITS true
#else
#define FITS ((place == WORKER) + filler < CAPACITY)
#endif
#define CURRENT(a) (place == WORKER && attempt == a)

/* The entry of kind k, by holder h about attempt a, is applied. */
inline land(h, k, a) {
	if
	:: STALE(h) -> skip
	:: !STALE(h) && k == START && !HOLDS_VM && FITS && attempt < MAX_ATTEMPTS -> place = WORKER; attempt++; boundTo = known[h]
	:: !STALE(h) && k == FILL && FITS -> filler = true; assert(state != RUNNING)
	:: !STALE(h) && k == MOVE && !HOLDS_VM -> place = ELSEWHERE
	:: !STALE(h) && k == FREE && CURRENT(a) -> place = NOWHERE
	:: else
	fi
}

#ifdef NO_START_INCARNATION
#define BOUND(h, i) true
#else
#define BOUND(h, i) (known[h] == i)
#endif

/* The attempt that a holder tells the worker to start, or none. */
#ifdef NO_READ_BACK
#define TOLD_AHEAD (proposed == START -> readAttempt + 1 : 0)
#else
#define TOLD_AHEAD 0
#endif
#ifdef NO_WITHDRAWAL
#define WITHDRAWN  false
#else
#define WITHDRAWN  (withdrawn == readAttempt)
#endif
#define OLD_TOLD   ((readPlace == WORKER && !WITHDRAWN && BOUND(OLD, readBoundTo)) -> readAttempt : TOLD_AHEAD)
#define NEW_TOLD   ((place == WORKER && BOUND(NEW, boundTo)) -> attempt : 0)

/* Whether the old holder may still act. */
#if defined(NO_SELF_STOP) || defined(WITH_CAUSAL_RENEWAL)
#define ACTS (!quiet)
#else
#define ACTS (!quiet && (epoch == OLD || holdLeft > 0))
#endif

/* Whether the old holder may renew: before the claim its hold is confirmed. */
#ifdef WITH_CAUSAL_RENEWAL
#define MAY_RENEW (ACTS && (epoch == OLD || beforeClaim))
#else
#define MAY_RENEW ACTS
#endif

/* A holder sends an exchange through the free slot s. Without a fresh report
 * it only asks for one. */
inline send(h, s) {
	inbox[s].used = true;
	inbox[s].from = h;
	if
	:: age[h] < LEASE ->
		inbox[s].incarnation = known[h];
		inbox[s].ttl = LEASE - age[h];
		if
		:: h == OLD -> inbox[s].start = OLD_TOLD
		:: h == NEW -> inbox[s].start = NEW_TOLD
		fi
	:: else
	fi
}

inline clearMessage(s) {
	inbox[s].used = false;
	inbox[s].from = 0;
	inbox[s].incarnation = 0;
	inbox[s].ttl = 0;
	inbox[s].start = 0
}

/* The worker starts what message s tells, unless it has seen it already. */
#ifdef NO_ATTEMPT_MEMORY
#define NEW_ATTEMPT(a) (a > last || (a > 0 && a == last && state != RUNNING))
#else
#define NEW_ATTEMPT(a) (a > last)
#endif

inline begin(s) {
	if
	:: NEW_ATTEMPT(inbox[s].start) ->
		assert(!elsewhere && state != RUNNING);
		assert(inbox[s].start > begun);
		begun = inbox[s].start;
		last = inbox[s].start;
		state = RUNNING
	:: else
	fi;
	assert((state == RUNNING) + filler <= CAPACITY)
}

/* Whether the message in slot s was meant for this run of the worker. */
#ifdef NO_INCARNATION
#define MEANT(s) true
#else
#define MEANT(s) (inbox[s].incarnation == incarnation)
#endif
#ifdef NO_ABSOLUTE_EXPIRY
#define EXPIRY(s) LEASE
#else
#define EXPIRY(s) inbox[s].ttl
#endif
#ifdef NO_START_EXPIRY
#define STARTS_VALID(s) (leaseLeft > 0)
#else
#define STARTS_VALID(s) (inbox[s].ttl > 0)
#endif

/* The worker takes the message in slot s. */
inline deliver(s) {
	if
	:: MEANT(s) ->
		if
		:: inbox[s].ttl > 0 && EXPIRY(s) > leaseLeft -> leaseLeft = EXPIRY(s)
		:: else
		fi;
		if
		:: STARTS_VALID(s) -> begin(s)
		:: else
		fi
	:: else
	fi
}

/* What the worker's report says about attempt a, placed on it and bound to
 * its incarnation i. An attempt that it does not list may still be on its way
 * to the worker. */
#ifdef NO_SETTLED_START
#define GONE(a, i)  (incarnation != i || last < a || (last == a && state == KILLED))
#else
#define GONE(a, i)  (incarnation != i || (last == a && state == KILLED))
#endif

inline heard(h) {
	since[h] = 0;
	age[h] = 0;
	known[h] = incarnation
}

/* Holder h gets the worker's report, or it is lost. */
inline receive(h) {
	if
	:: !quiet || (h == OLD && !ACTS)
	:: h == OLD && ACTS ->
		if
		:: !proposed && readPlace == WORKER && GONE(readAttempt, readBoundTo) -> proposed = FREE; withdrawn = readAttempt
		:: else
		fi;
		beforeClaim = (epoch == OLD);
		heard(h)
	:: h == NEW ->
		if
		:: place == WORKER && GONE(attempt, boundTo) -> land(NEW, FREE, attempt)
		:: else
		fi;
		heard(h)
	fi
}

/* Whether the worker's lease has certainly lapsed: nothing came from it for
 * so long that every renewal sent is based on older reports. */
#ifdef NO_RESTART_WAIT
#define LAPSED(h)  true
#else
#define LAPSED(h)  (since[h] >= RESTART_WAIT)
#endif

/* Whether the worker has reported to holder h of late. */
#define FRESH(h)  (since[h] < RESTART_WAIT)

#define LAGS  (readPlace != place || readAttempt != attempt)

/* The old holder is gone: forget what nobody reads any more. */
inline stopped() {
	readPlace = 0;
	withdrawn = 0;
	age[OLD] = LEASE;
	since[OLD] = RESTART_WAIT;
	known[OLD] = 0;
	beforeClaim = false
}

/* The old holder. Its every step is atomic; a pause is time between two
 * steps, and a pause between check and send is time spent by the message in
 * its slot. Once its hold ran out it forgets all but what is in flight. */
active proctype OldHolder() {
end:
	do
	:: atomic { epoch == OLD && LAGS -> readPlace = place; readAttempt = attempt; readBoundTo = boundTo }
	:: atomic { epoch == NEW && !ACTS -> break }

	:: atomic { ACTS && !proposed && readPlace == NOWHERE && age[OLD] < LEASE && readAttempt < MAX_ATTEMPTS -> proposed = START }
	:: atomic { ACTS && !proposed && !filler && FRESH(OLD) -> proposed = FILL }
	:: atomic { ACTS && !proposed && readPlace == NOWHERE && readAttempt > 0 -> proposed = MOVE }
	:: atomic { ACTS && !proposed && readPlace == WORKER && LAPSED(OLD) -> proposed = FREE; withdrawn = readAttempt }
	:: atomic { ACTS && readPlace == ELSEWHERE && !elsewhere -> elsewhere = true; assert(state != RUNNING) }

	:: atomic { MAY_RENEW && !inbox[0].used -> send(OLD, 0) }
	:: atomic { MAY_RENEW && inbox[0].start > 0 && !inbox[1].used -> send(OLD, 1) }
	od
}

/* The new holder, from the read-back of its claim on. */
proctype NewHolder() {
end:
	do
	:: atomic { !filler && FRESH(NEW) && FITS -> land(NEW, FILL, 0) }
	:: atomic { place == NOWHERE -> land(NEW, MOVE, 0) }
	:: atomic { place == WORKER && LAPSED(NEW) && takeoverLeft == 0 -> land(NEW, FREE, attempt) }
	:: atomic { place == ELSEWHERE && !elsewhere -> elsewhere = true; assert(state != RUNNING) }

	/* Exchange with the worker: SYNCS in a tick when faults have ended. */
	:: atomic { !inbox[0].used && !(quiet && (syncs == SYNCS || cut)) ->
		send(NEW, 0); syncs = syncs + quiet }
	:: atomic { !quiet && inbox[0].start > 0 && !inbox[1].used -> send(NEW, 1) }
	od
}

/* The log: the old holder's proposals land late or never, one of them even
 * after the next. */
active proctype Log() {
end:
	do
	:: atomic { proposed != 0 -> land(OLD, proposed, readAttempt); proposed = 0 }
	:: atomic { !quiet && proposed != 0 -> proposed = 0 }
	:: atomic { proposed == MOVE && !lateMove && ACTS -> proposed = 0; lateMove = true }
	:: atomic { lateMove -> land(OLD, MOVE, 0); lateMove = false }
	:: atomic { epoch == OLD -> epoch = NEW; holdLeft = HOLD_LEFT }
	:: atomic { epoch == NEW && !claimRead -> claimRead = true; takeoverLeft = TAKEOVER_WAIT; run NewHolder() }
	od
}

/* The first message is gone; the second takes its slot. */
inline removeFirst() {
	inbox[0].used = inbox[1].used;
	inbox[0].from = inbox[1].from;
	inbox[0].incarnation = inbox[1].incarnation;
	inbox[0].ttl = inbox[1].ttl;
	inbox[0].start = inbox[1].start;
	clearMessage(1)
}

/* The network: messages arrive once, twice, late, in any order or never. */
active proctype Network() {
end:
	do
	:: atomic { inbox[0].used -> deliver(0); receive(inbox[0].from); removeFirst() }
	:: atomic { inbox[1].used -> deliver(1); receive(inbox[1].from); clearMessage(1) }
	:: atomic { !quiet && inbox[0].used -> deliver(0) }
	:: atomic { !quiet && inbox[0].used -> removeFirst() }
	:: atomic { !quiet && inbox[1].used -> clearMessage(1) }
	od
}

/* The worker VM restarts once. */
active proctype Worker() {
end:
	do
	:: atomic { !quiet && incarnation == 0 ->
		incarnation = 1;
		leaseLeft = 0;
		last = 0;
		state = UNSEEN }
	od
}

#define OLDER(x)  if :: x < LEASE -> x++ :: else fi
#define LONGER(x) if :: x < RESTART_WAIT -> x++ :: else fi
#define LESS(x)   if :: x > 0 -> x-- :: else fi
/* What is never looked at again is cleared, which keeps the state space small. */
#if defined(NO_START_EXPIRY) || defined(NO_INCARNATION)
#define EXPIRE(s) skip
#else
#define EXPIRE(s) if :: inbox[s].ttl == 0 -> inbox[s].start = 0; inbox[s].incarnation = 0 :: else fi
#endif
#define FORGET(h) if :: age[h] == LEASE -> known[h] = 0 :: else fi
#define KILL(x)   if :: x == RUNNING -> x = KILLED :: else fi

/* The worker's clock goes on: the lease may lapse, and what ran is killed. */
inline tickWorker() {
	LESS(leaseLeft);
	LESS(inbox[0].ttl);
	LESS(inbox[1].ttl);
	EXPIRE(0);
	EXPIRE(1);
	OLDER(age[OLD]);
	OLDER(age[NEW]);
	FORGET(OLD);
	FORGET(NEW);
	if
	:: leaseLeft == 0 -> KILL(state)
	:: else
	fi
}

inline tickHolders() {
	LONGER(since[OLD]);
	LONGER(since[NEW]);
	LESS(holdLeft);
	if
	:: !ACTS -> stopped()
	:: else
	fi;
	LESS(takeoverLeft)
}

/* Time. When faults have ended, nothing that can be done waits for a tick.
 * Progress: the task then runs. */
active proctype Clock() {
end:
	do
	:: atomic { !quiet ->
		if
		:: tickWorker()
		:: !skipped -> skipped = true
		fi;
		tickHolders() }
	:: atomic { !quiet && claimRead && !inbox[0].used -> quiet = true; stopped();
		if
		:: cut = true
		:: skip
		fi }
	:: atomic { quiet && quietTicks < QUIET_TICKS && timeout ->
		tickWorker();
		tickHolders();
		syncs = 0;
		quietTicks++ }
	:: atomic { quiet && quietTicks == QUIET_TICKS && timeout ->
		assert(state == RUNNING || elsewhere);
		break }
	od
}
