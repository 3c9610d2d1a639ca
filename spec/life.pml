/*
 * One task, and an executor that starts again under its id (docs/design/lives.md).
 *
 * A leader knows the executor by id and life (`born` tells lives apart); beside it a
 * second executor is always within reach, on which the task may start instead. An order
 * is carried out at once, late, or never, by whichever life is there then; a ticket is
 * taken by one life only.
 * A hold is answered at once or not at all. It acknowledges ends by their numbers, which
 * each life counts anew, and goes by a connection, which ends with the life that it was
 * opened to. Leaders replace each other; what is known of ends is durable.
 *
 * Checked: the task never runs twice at the same time, and never starts after an end as
 * done was acknowledged, whether anybody had read that or not.
 *
 * Each variant takes out one safeguard and has to fail:
 *   NO_LIFE        a report of the next life is taken for one of the life before
 *   NO_FENCE       its first answer settles what became of the former life's order
 *   NO_TOKEN       calls to the next life carry the token of those to the former one
 *   NO_CONNECTION  acknowledgements may reach another life than they were meant for
 *   NO_HOLD_BACK   an order without a ticket is settled like one with a ticket
 *   NO_TICKET      tickets are good for each life, and orders settled as if they weren't
 *   NO_LATE_WAIT   what isn't heard of counts as over with the lease of the known life
 *
 * Other rules that have to pass as well:
 *   WITH_TICKETS   each order has a ticket; none is held back
 */

#define LIVES 3
#define RUNS 3
#define EPOCHS 2

/* The leader's view of the order for the newest run. */
#define NONE   0 /* the task waits for a start */
#define SENT   1 /* no answer yet */
#define UNSURE 2 /* no answer came */
#define ATWORK 3
#define FORMER 4 /* ordered to a life that is over, or by a former leader */
#define HELD   5 /* not at work, but the order may yet be carried out */
#define BESIDE 6 /* on the other executor */
#define OVER   7 /* done */

/* The executor. */
byte life = 1;
bool up = true;
byte token = 0;
byte running = 0;      /* run at work; 0: none */
byte barred = 0;       /* runs up to here aren't started in this life */
byte ended = 0;        /* run that ended as done and is listed; 0: none */
byte number = 0;       /* of that end, or of the newest before it */
bool excused = false;  /* the lease lapsed after that end */

/* The other executor. */
byte beside = 0;       /* run at work there */

/* The newest order that is under way. */
bool late = false;     /* it may still be carried out */
byte oRun, oToken, oTicket; /* life whose ticket it carries; 0: no ticket */

/* An earlier order that is under way. */
bool late2 = false;
byte oRun2, oToken2, oTicket2;

bool acked = false;    /* an end as done was acknowledged */

/* The leader. */
byte epoch = 1;
byte known = 0;        /* life that has answered; 0: none */
byte lives = 0;        /* lives that this leader knew before */
bool fenced = false;   /* that life has answered a call with the present token */
byte conn = 0;         /* life to which a connection is open; 0: none is */
byte taken = 0;        /* ends of the known life applied */
byte claim = NONE;
byte newest = 0;       /* run */
bool ticketed = false; /* the newest order has a ticket */

#ifdef NO_TOKEN
#define TOKEN (epoch * 8)
#else
#define TOKEN (epoch * 8 + lives)
#endif
#ifdef NO_TICKET
#define TICKET_OK(t) true
#else
#define TICKET_OK(t) ((t) == 0 || (t) == life)
#endif
#ifdef NO_HOLD_BACK
#define SETTLES true
#else
#define SETTLES (ticketed || !late)
#endif
#ifdef NO_LIFE
#define SAME_LIFE true
#else
#define SAME_LIFE (known == life)
#endif
#define MAYEND (claim != NONE && claim != BESIDE && claim != OVER)

/* begin has the executor carry out an order. */
inline begin(nr, tok, ticket) {
	if
	:: up && tok >= token && TICKET_OK(ticket) && nr > barred && running == 0 ->
		token = tok;
		assert(!acked);
		assert(beside == 0);
		running = nr;
		barred = nr
	:: else
	fi
}

/* settle takes in that the life which answered doesn't list the run. */
inline settle() {
	if
	:: SETTLES -> claim = NONE
	:: else -> claim = HELD
	fi
}

/* report takes in what the present life lists, on a call with the present token. */
inline report() {
	if
	:: ended != 0 && number > taken && ended == newest && claim != BESIDE -> claim = OVER; taken = number
	:: ended != 0 && number > taken && !(ended == newest && claim != BESIDE) -> taken = number
	:: ended == 0 || number <= taken ->
		if
		:: running != 0 && running == newest && MAYEND -> claim = ATWORK
		:: running == 0 && claim == ATWORK -> claim = NONE
		:: running == 0 && claim == UNSURE -> barred = newest; settle() /* it has taken a stop */
		:: running == 0 && claim == FORMER -> settle()
		:: running == 0 && claim == HELD && !late -> claim = NONE
		:: else
		fi
	fi
}

active proctype System() {
end:
	do
	/* The executor ends a run, crashes, starts again. */
	:: atomic { running != 0 -> ended = running; number++; running = 0; excused = false }
	:: atomic { up -> up = false; running = 0; ended = 0; barred = 0; number = 0; token = 0 }
	:: atomic { !up && life < LIVES -> up = true; life++ }
	/* The leader notices that its connection has broken, at once or later. */
	:: atomic { conn != 0 && (conn != life || !up) -> conn = 0 }
	/* The other executor ends its run. */
	:: atomic { beside != 0 -> beside = 0; claim = OVER; acked = true }

	/* Orders are carried out, or can't be any more. */
	:: atomic { late -> late = false; begin(oRun, oToken, oTicket) }
	:: atomic { late2 -> late2 = false; begin(oRun2, oToken2, oTicket2) }
	:: atomic { late -> late = false }
	:: atomic { late2 -> late2 = false }

	/* A start on the executor, if it has answered since the last error. The ticket is of the
	 * life that the leader knows, or of one that has begun since. */
	:: atomic { claim == NONE && newest < RUNS && known != 0 && fenced && conn != 0 && !(late && late2) ->
		if
		:: late -> late2 = true; oRun2 = oRun; oToken2 = oToken; oTicket2 = oTicket
		:: else
		fi;
		newest++;
		oRun = newest; oToken = TOKEN; oTicket = 0;
		ticketed = false;
#ifndef WITH_TICKETS
		if
		:: true
		:: true -> ticketed = true
		fi;
#else
		ticketed = true;
#endif
		if
		:: ticketed -> oTicket = known
		:: ticketed -> oTicket = life
		:: else
		fi;
		late = true;
		claim = SENT }
	/* or on the other one. */
	:: atomic { claim == NONE && newest < RUNS ->
		newest++;
		assert(!acked);
		assert(running == 0);
		beside = newest;
		claim = BESIDE }
	/* The answer to a start comes, or doesn't in time. */
	:: atomic { claim == SENT && !late && running == newest -> claim = ATWORK }
	:: atomic { claim == SENT -> claim = UNSURE }

	/* A hold opens a connection, and is answered by the life that is there. */
	:: atomic { up && TOKEN >= token && claim != OVER && conn != life ->
		token = TOKEN;
		conn = life;
		if
		:: known == 0 ->
			/* the first answer to this leader */
			known = life; fenced = true; taken = 0;
			report()
		:: known != 0 && SAME_LIFE -> fenced = true; report()
		:: else ->
			known = life; lives++; taken = 0; fenced = false;
			if
			:: claim == SENT || claim == UNSURE || claim == ATWORK -> claim = FORMER
			:: else
			fi;
#ifdef NO_FENCE
			fenced = true;
			report()
#endif
		fi }
	/* A further one goes by that connection; it may acknowledge what was applied. */
	:: atomic { up && conn == life && TOKEN >= token && known != 0 && claim != OVER ->
		token = TOKEN;
		fenced = true;
		report() }
#ifdef NO_CONNECTION
	:: atomic { up && ended != 0 && taken >= number && TOKEN >= token -> acked = (acked || !excused); ended = 0 }
#else
	:: atomic { up && ended != 0 && taken >= number && conn == life && known == life && TOKEN >= token -> acked = (acked || !excused); ended = 0 }
#endif

	/* Nothing answers, and the longest lease that the newest order can have got is over. */
	:: atomic { MAYEND && claim != SENT &&
#ifndef NO_LATE_WAIT
		!late && !late2 ->
		running = 0;
		excused = true;
#else
		true ->
		if
		:: known == life -> running = 0; excused = true
		:: else
		fi;
#endif
		claim = NONE }

	/* Another leader takes over. */
	:: atomic { epoch < EPOCHS && claim != BESIDE ->
		epoch++;
		known = 0; lives = 0; fenced = false; conn = 0; taken = 0;
		if
		:: claim == SENT || claim == UNSURE || claim == ATWORK || claim == HELD -> claim = FORMER
		:: else
		fi }
	:: atomic { claim == OVER && !late && !late2 && beside == 0 && running == 0 -> break }
	od
}
