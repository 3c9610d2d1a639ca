/*
 * Ownership of one shard: one endpoint with SLOTS slots, entry VMs 0 and 1 in
 * the roster, 0 the holder at epoch 1, and entry VM 2 that may join.
 *
 * Every step is one indivisible change of one entry VM or of the log, and any
 * step may be put off for any time. That covers a pause between two steps, a
 * cut from the log or from a peer, and messages that arrive late or never. An
 * entry VM that has died takes no step, and may be expelled once it has.
 * Claims and releases are on their way to the log for any time, and may be
 * lost; a release may land twice. Joins, acknowledgements and expulsions land
 * at once.
 *
 * Time is a tick that lowers all timers. A confirmation lasts HOLD ticks, on
 * the slowest clock; a claimant waits WAIT ticks, on the fastest.
 *
 * What the model leaves out, though the rules have it, only restrains claims
 * and grants, so that the search covers more than the rules allow: challenges,
 * suspicion, promises that put off the grantor's own claim, the refusal of
 * grants while a claim is under way.
 *
 * Variants take one safeguard out each:
 *   NO_CLAIM_WAIT      a claimant uses the shard as soon as it reads its claim
 *   NO_DRIFT_SLACK     its wait is as long as a hold, on its own clock
 *   NO_SELF_STOP       a holder goes on when its confirmation has run out
 *   NO_VERSION_CHECK   a member grants though the shard was taken from the asker
 *   NO_JOIN_ACK        a joiner claims before all members have acknowledged it
 *   NO_RELEASE_WAIT    a holder releases before its own wait is over
 *   NO_RELEASE_EPOCH   a release is not compared with the epoch
 *   NO_RELEASE_ONCE    a second copy of a release ends what is in flight
 *   NO_FLOOR_RESERVE   a claimant uses the floor shares of former holders
 *   NO_ALL_FORMERS     it leaves the share of the latest former holder only
 *   NO_KNOWN_MEMBERS   it divides by the roster, not by what they have seen
 *   NO_FROZEN_SHARE    a former holder's share shrinks while it has it in use
 *   NO_INFLIGHT_COUNT  a release tells nothing of requests in flight
 *   NO_STOP_BEFORE_COUNT  they are counted while the router may start more
 *   NO_PROMPT_SEND     a pause between the check and the send, and an endpoint
 *                      that compares no epochs (the documented limit)
 *   NO_TAKEOVER        not a safeguard: says that a dead holder's shard is
 *                      never in full use again
 *
 * With these, a complete search has to pass as well:
 *   WITH_FENCE         as NO_PROMPT_SEND, requests of any length; the endpoint
 *                      refuses lower epochs and what is beyond its slots
 *   WITH_UNCOMPARED_CLAIM  a claim is not compared with the epoch
 */

#ifndef MAX_EPOCH
#define MAX_EPOCH 3             /* no claim goes beyond it */
#endif
#ifndef HOLD
#define HOLD 2
#endif
#ifdef NO_DRIFT_SLACK
#define WAIT (HOLD - 1)
#else
#define WAIT HOLD
#endif

#define VMS    3
#define MORTAL 0                /* the entry VM that may die */
#define JOINER 2
#define SLOTS  2

#define BIT(p) (1 << (p))
#define HAS(mask, p) (((mask) >> (p)) & 1)
#define FIRST_MEMBERS (BIT(0) | BIT(1))
#define ALL (FIRST_MEMBERS | BIT(JOINER))
#define MIN(a, b) ((a) < (b) -> (a) : (b))
#define MAX(a, b) ((a) > (b) -> (a) : (b))

/* How the shard stands. */
#define HELD     0
#define RELEASED 1
#define ENDED    2              /* the holder was expelled */

/* What the log says. Masks have one bit for each entry VM. */
byte roster = FIRST_MEMBERS;
byte acked;                     /* mask: have acknowledged the joiner */
byte sawThree;                  /* mask: known to have seen three members */
byte holder;
byte epoch = 1;
byte status;
bool wait;                      /* the holder took over without a release */
byte lost;                      /* mask: former holders that released nothing */
byte lostThree;                 /* mask: of those, sawThree when they lost it */
byte left[VMS];                 /* in flight, by the releases of former holders */

/* What each entry VM has read. */
byte knownRoster[VMS] = FIRST_MEMBERS;
byte knownEpoch[VMS] = 1;
bool holds[VMS];
bool former[VMS];               /* may still use slots that it left */
byte free[VMS];                 /* slots that former holders leave to it */
bool seenThree[VMS];            /* has ever seen three members */

/* The rest of its state. */
bool dead;                      /* MORTAL has died */
byte confirmed[VMS];            /* timer: by a read, or by grants */
byte waiting[VMS];              /* timer: after a takeover */
byte asked[VMS];                /* timer: of exchanges for grants under way */
byte granted[VMS];              /* mask: have granted in them */
bool closed[VMS];               /* local use was stopped */
byte running[VMS];              /* in flight since use was stopped or lost */
byte release[VMS];              /* epoch of a release on its way; 0: none */
byte releaseLeft[VMS];          /* requests in flight that it tells */
byte was;                       /* scratch */

#ifdef NO_STOP_BEFORE_COUNT
byte cached[VMS];               /* limit that the router still goes by */
#endif
#if defined(NO_PROMPT_SEND) || defined(WITH_FENCE)
byte checked[VMS];              /* epoch of a request checked, not yet sent */
#define PENDING(p) (checked[p] != 0)
#else
#define PENDING(p) 0
#endif
#ifdef WITH_FENCE
byte busy[VMS];                 /* slots of the endpoint in use */
byte highest;                   /* highest epoch of a request it has taken */
#endif

#define LIVES(p) (!(dead && (p) == MORTAL))
#define HOLDS(p) (holder == (p) && status == HELD)
#define IS_FORMER(p) (!HOLDS(p) && (HAS(lost, p) || left[p] > 0))

#ifdef NO_JOIN_ACK
#define ACKNOWLEDGED(p) true
#else
#define ACKNOWLEDGED(p) ((p) != JOINER || (roster & ~acked) == 0)
#endif

/* Floor shares: 1 among two members, 0 among three. */
#define FLOOR(threeMembers) (SLOTS / (2 + (threeMembers)))
#define SHARE_AT_LOSS(p) FLOOR(HAS(lostThree, p))
#ifdef NO_KNOWN_MEMBERS
#define SHARE(p) FLOOR(roster == ALL)
#else
#ifdef NO_FROZEN_SHARE
#define SHARE(p) FLOOR(HAS(sawThree, p))
#else
#define SHARE(p) SHARE_AT_LOSS(p)
#endif
#endif
#ifdef NO_FLOOR_RESERVE
#define LOST_SHARE(p) 0
#else
#define LOST_SHARE(p) (HAS(lost, p) * SHARE(p))
#endif
#define LEFT_TO(p) (HAS(roster, p) * (LOST_SHARE(p) + left[p]))
#define LEFT (LEFT_TO(0) + LEFT_TO(1) + LEFT_TO(2))

/* Authority of p, as it would find it now. */
#define OPEN(p) (LIVES(p) && holds[p] && !closed[p] && waiting[p] == 0)
#define OTHERS(p) (knownRoster[p] & ~BIT(p))
#ifdef NO_SELF_STOP
#define FULL(p) OPEN(p)
#else
#define FULL(p) (OPEN(p) && (confirmed[p] > 0 || OTHERS(p) == 0))
#endif
#define LIMIT(p) (!OPEN(p) -> 0 : (FULL(p) -> free[p] : MIN(free[p], FLOOR(seenThree[p]))))

/* Slots that p may have in use: all that it may fill, or what runs on. */
#define USES(p) MAX(LIMIT(p), running[p])

/* The properties. They are false in every state that is kept. */
bool twoHolders;
bool beyondSlots;
#ifdef NO_TAKEOVER
bool takenOver;                 /* 1 has the whole shard after the death of 0 */
#endif
#ifdef NO_PROMPT_SEND
bool lateSend;                  /* a late request finds no slot left */
#endif

inline check() {
	twoHolders = FULL(0) + FULL(1) + FULL(2) > 1;
	assert(!twoHolders);
	beyondSlots = USES(0) + USES(1) + USES(2) > SLOTS;
	assert(!beyondSlots)
#ifdef NO_TAKEOVER
	;
	takenOver = dead && LIMIT(1) == SLOTS;
	assert(!takenOver)
#endif
}

/* p reads the log to its end. What it has in use within its floor share runs
 * on when it finds the shard lost. Grants asked for before add nothing. */
inline readLog(p) {
	was = LIMIT(p);
	knownRoster[p] = roster;
	seenThree[p] = seenThree[p] || roster == ALL || HAS(sawThree, p);
	asked[p] = 0;
	granted[p] = 0;
	if
	:: HOLDS(p) ->
		confirmed[p] = HOLD;
		free[p] = (LEFT >= SLOTS -> 0 : SLOTS - LEFT);
		if
		:: !holds[p] || knownEpoch[p] != epoch ->
			closed[p] = false;
#ifdef WITH_UNCOMPARED_CLAIM
			/* Lost and taken again unseen: what was beyond the floor ends. */
			running[p] = (holds[p] -> MIN(running[p], FLOOR(seenThree[p])) : running[p]);
#endif
#ifndef NO_CLAIM_WAIT
			waiting[p] = (wait -> WAIT : 0)
#endif
		:: else
		fi
	:: else ->
		free[p] = 0;
		closed[p] = false;
		waiting[p] = 0;
		if
		:: HAS(lost, p) && running[p] < MIN(was, SHARE_AT_LOSS(p)) -> running[p] = MIN(was, SHARE_AT_LOSS(p))
		:: else
		fi;
		if
		:: running[p] == 0 -> confirmed[p] = 0
		:: else
		fi
	fi;
	holds[p] = HOLDS(p);
	former[p] = IS_FORMER(p);
	knownEpoch[p] = epoch;
	was = 0
}

/* g answers p's question for a grant; its answer arrives at once or never.
 * p names the epoch at which it holds the shard. */
#ifdef NO_VERSION_CHECK
#define KNOWS_ALL(p, g) true
#else
#define KNOWS_ALL(p, g) (knownEpoch[g] <= knownEpoch[p])
#endif
#define MAY_GRANT(g, p) (LIVES(g) && asked[p] > 0 && HAS(OTHERS(p), g) && !HAS(granted[p], g) && \
	HAS(knownRoster[g], p) && HAS(knownRoster[g], g) && KNOWS_ALL(p, g))
inline grant(g, p) {
	granted[p] = granted[p] | BIT(g);
	if
	:: (OTHERS(p) & ~granted[p]) == 0 -> confirmed[p] = asked[p]; asked[p] = 0; granted[p] = 0
	:: else
	fi
}

inline endRelease(p) {
	release[p] = 0;
	releaseLeft[p] = 0
}

/* What a former holder has in flight beyond its floor share has ended. */
#define BEYOND_ENDED(p) (!HAS(lost, p) || running[p] <= SHARE_AT_LOSS(p))

/* A claim lands only if nobody claimed since its writer read the log, so when
 * it was written makes no difference. */
#ifdef WITH_UNCOMPARED_CLAIM
#define CLAIM_IN_FORCE(p) true
#else
#define CLAIM_IN_FORCE(p) (knownEpoch[p] == epoch)
#endif
#define MAY_CLAIM(p) (HAS(roster, p) && !HOLDS(p) && CLAIM_IN_FORCE(p) && BEYOND_ENDED(p) && \
	(status == RELEASED || ACKNOWLEDGED(p)))
inline claim(p) {
	epoch++;
	if
	:: status == HELD ->
#ifdef NO_ALL_FORMERS
		lost = 0;
#endif
		lost = lost | BIT(holder);
		lostThree = (lostThree & ~BIT(holder)) | (sawThree & BIT(holder))
	:: else
	fi;
	lost = lost & ~BIT(p) & roster;
	lostThree = lostThree & lost;
	left[p] = 0;
	wait = (status != RELEASED);
	holder = p;
	status = HELD
#ifndef NO_RELEASE_EPOCH
	;
	endRelease(0);          /* none can be accepted any more */
	endRelease(1);
	endRelease(2)
#endif
}

/* The release of p lands: it gives the shard up, or ends what p left there. */
#ifdef NO_RELEASE_EPOCH
#define RELEASE_IN_FORCE(p) true
#else
#define RELEASE_IN_FORCE(p) (release[p] == epoch)
#endif
#ifdef NO_RELEASE_ONCE
#define ENDS_USE(p) true
#else
#define ENDS_USE(p) (releaseLeft[p] == 0)
#endif
inline landRelease(p) {
	if
	:: RELEASE_IN_FORCE(p) && HOLDS(p) ->
		status = RELEASED;
		left[p] = releaseLeft[p]
	:: RELEASE_IN_FORCE(p) && IS_FORMER(p) && ENDS_USE(p) ->
		lost = lost & ~BIT(p);
		lostThree = lostThree & lost;
		left[p] = 0
	:: else
	fi
}

/* The use of the shard stops, with n requests in flight. */
inline close(p, n) {
#ifdef NO_STOP_BEFORE_COUNT
	cached[p] = LIMIT(p);
#endif
	running[p] = MAX(n, PENDING(p));
	closed[p] = true;
	asked[p] = 0;
	granted[p] = 0
}

#ifdef NO_RELEASE_WAIT
#define WAITED(p) true
#else
#define WAITED(p) (waiting[p] == 0)
#endif
#define MAY_RELEASE(p) (LIVES(p) && release[p] == 0 && knownEpoch[p] == epoch && \
	((holds[p] && closed[p] && WAITED(p)) || (former[p] && running[p] == 0)))

inline propose(p) {
	release[p] = epoch;
#ifndef NO_INFLIGHT_COUNT
	releaseLeft[p] = running[p]
#endif
}

inline die() {
	dead = true;
	confirmed[MORTAL] = 0;
	waiting[MORTAL] = 0;
	asked[MORTAL] = 0;
	granted[MORTAL] = 0;
	running[MORTAL] = 0;
	closed[MORTAL] = 0;
	holds[MORTAL] = 0;
	free[MORTAL] = 0;
	former[MORTAL] = 0
}

/* The list of VMs lacks MORTAL, which is dead. */
inline expel() {
	roster = roster & ~BIT(MORTAL);
	lost = lost & roster;
	lostThree = lostThree & lost;
	left[MORTAL] = 0;
	if
	:: HOLDS(MORTAL) -> status = ENDED
	:: else
	fi
}

proctype EntryVM(byte me) {
end:
	do
	:: d_step { LIVES(me) -> readLog(me); check() }
	:: d_step { LIVES(me) && epoch < MAX_EPOCH && MAY_CLAIM(me) -> claim(me) }

	/* Ask for grants; be answered. */
	:: d_step { OPEN(me) && OTHERS(me) != 0 && confirmed[me] < HOLD && asked[me] < HOLD ->
		asked[me] = HOLD; granted[me] = 0 }
	:: d_step { MAY_GRANT(0, me) -> grant(0, me); check() }
	:: d_step { MAY_GRANT(1, me) -> grant(1, me); check() }
	:: d_step { MAY_GRANT(2, me) -> grant(2, me); check() }

	/* Hand over: stop, count, release; end later what was in flight. */
	:: d_step { LIVES(me) && holds[me] && !closed[me] -> close(me, running[me]) }
	:: d_step { LIMIT(me) >= 1 && running[me] < 1 -> close(me, 1) }
	:: d_step { LIMIT(me) >= 2 && running[me] < 2 -> close(me, 2) }
	:: d_step { MAY_RELEASE(me) -> propose(me) }
	:: d_step { release[me] != 0 -> landRelease(me); endRelease(me) }
	:: d_step { release[me] != 0 -> landRelease(me) }
	:: d_step { release[me] != 0 -> endRelease(me) }
	:: d_step { running[me] > PENDING(me) -> running[me]-- }
#ifdef NO_STOP_BEFORE_COUNT
	:: d_step { LIVES(me) && running[me] < cached[me] -> running[me]++; check() }
	:: d_step { cached[me] > 0 -> cached[me] = 0 }
#endif

	/* The joiner, and who acknowledges it. */
#ifdef WITH_FENCE
#define JOINS false             /* to keep the search small */
#else
#define JOINS true
#endif
	:: d_step { JOINS && me == JOINER && !HAS(roster, me) ->
		roster = roster | BIT(me);
		acked = acked | BIT(me);
		sawThree = (roster == ALL -> sawThree | BIT(me) : sawThree) }
	:: d_step { LIVES(me) && HAS(knownRoster[me], JOINER) && HAS(roster, me) && !HAS(acked, me) ->
		acked = acked | BIT(me);
		sawThree = (seenThree[me] -> sawThree | BIT(me) : sawThree) }

	/* Death, and what the list of VMs makes of it. */
	:: d_step { me == MORTAL && !dead -> die() }
	:: d_step { me != MORTAL && dead && HAS(roster, MORTAL) && HAS(roster, me) -> expel() }

#ifdef NO_PROMPT_SEND
	/* A request passes the check and is sent after any time. Whoever has
	 * authority then may have filled all that it is allowed. It counts as
	 * in flight at its sender, which is no help once the hold is lost. */
	:: d_step { checked[me] == 0 && LIMIT(me) > 0 -> checked[me] = knownEpoch[me] }
	:: d_step { LIVES(me) && checked[me] != 0 ->
		lateSend = LIMIT(me) == 0 && running[me] == 0 && USES(0) + USES(1) + USES(2) >= SLOTS;
		assert(!lateSend);
		checked[me] = 0 }
#endif
#ifdef WITH_FENCE
	:: d_step { checked[me] == 0 && busy[me] < LIMIT(me) -> checked[me] = knownEpoch[me] }
	:: d_step { LIVES(me) && checked[me] != 0 ->
		if
		:: checked[me] >= highest && busy[0] + busy[1] + busy[2] < SLOTS ->
			highest = checked[me];
			busy[me]++
		:: else         /* refused in-band: certainly not run */
		fi;
		checked[me] = 0;
		beyondSlots = busy[0] + busy[1] + busy[2] > SLOTS;
		assert(!beyondSlots) }
	:: d_step { busy[me] > 0 -> busy[me]-- }
#endif
	od
}

inline lower(timer) {
	if
	:: timer > 0 -> timer--
	:: else
	fi
}

/* Requests of a holder that lost the shard without a release are taken to end
 * by the time that its confirmation does, and before it claims again, but for
 * its floor share. */
inline pass(p) {
	lower(confirmed[p]);
	lower(waiting[p]);
	lower(asked[p]);
	if
	:: asked[p] == 0 -> granted[p] = 0
	:: else
	fi;
	if
	:: confirmed[p] == 0 && HAS(lost, p) -> running[p] = MIN(running[p], SHARE_AT_LOSS(p))
	:: confirmed[p] == 0 && HOLDS(p) && holds[p] && knownEpoch[p] != epoch -> running[p] = MIN(running[p], FLOOR(seenThree[p]))
	:: else
	fi
}

#define ANY(timer) (timer[0] + timer[1] + timer[2] > 0)

proctype Clock() {
end:
	do
	:: d_step { ANY(confirmed) || ANY(waiting) || ANY(asked) -> pass(0); pass(1); pass(2); check() }
	od
}

init {
	atomic {
		holds[0] = true;
		free[0] = SLOTS;
		run EntryVM(0);
		run EntryVM(1);
		run EntryVM(2);
		run Clock()
	}
}
