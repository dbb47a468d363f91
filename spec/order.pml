/*
 * Orders to one endpoint (internal/order).
 *
 * Homes succeed each other by epoch. A home sends the desired state; the message may be
 * delayed. Life is the number of phases after which a sent order no longer takes
 * effect. A former home may be paused and resume where it stopped long after its epoch
 * has passed: immediately before sending, it checks that it is still home and how long
 * ago it prepared the order.
 *
 * The endpoint either rejects tokens lower than one it has seen, or ignores tokens. If
 * it ignores them, a new home waits for Wait phases before its first order, and a home
 * whose own order may still arrive waits before it sends a different state.
 */
/* pan-cc: -DSAFETY -DMEMLIM=2048 */
/* pan-run: -m100000 */
/* mutations: NO_FENCING NO_WAIT NO_CHECK NO_TICKET NO_LIFE NO_CONFLICT_CHECK */

#define Life 2
#define Wait 3          /* Life plus a margin */
#define Homes 3         /* epochs 1 to Homes */
#define Tickets 2       /* states requested by operators */

bool fencing;                    /* the endpoint rejects stale tokens */
byte epoch = 1;                  /* epoch of the recorded home */
byte phasesSinceTakeover = Wait; /* phases since that home took over; the first has no predecessor */
byte ticket = 1;                 /* desired state */

/* Per home: an order being prepared or in transit. */
bool prepared[4];       /* checked, but not sent yet */
byte preparedTicket[4];
bool sent[4];           /* in transit */
byte sentTicket[4];
byte sentAge[4];

/* The endpoint: the newest token seen and the applied state. */
byte seenEpoch; byte seenTicket;
byte appliedEpoch; byte appliedTicket;
bool regressed = false;

#define token(e, t) ((e) * 4 + (t))

#ifdef NO_TICKET
#define stale(e, t) (e < seenEpoch)
#else
#define stale(e, t) (token(e, t) < token(seenEpoch, seenTicket))
#endif

inline deliver(e, t) {
	if
#ifndef NO_FENCING
	:: fencing && stale(e, t) -> skip
#endif
	:: else ->
		regressed = token(e, t) < token(appliedEpoch, appliedTicket);
		appliedEpoch = e; appliedTicket = t;
		if :: !stale(e, t) -> seenEpoch = e; seenTicket = t :: else fi
	fi
}

/* The next home takes over, or a ticket changes the desired state. */
proctype Environment() {
	do
	:: atomic { epoch < Homes -> epoch++; phasesSinceTakeover = 0 }
	:: atomic { ticket < Tickets -> ticket++ }
	:: else -> break
	od
}

/* A phase ends: orders in transit age, and those older than Life are dropped. */
proctype Time() {
	byte i;
	do
	:: atomic {
		if :: phasesSinceTakeover < Wait -> phasesSinceTakeover++ :: else fi;
		i = 1;
		do
		:: i <= Homes ->
			if
			:: sent[i] && sentAge[i] < Life -> sentAge[i]++
#ifndef NO_LIFE
			:: sent[i] && sentAge[i] >= Life && !fencing -> sent[i] = false; sentAge[i] = 0; sentTicket[i] = 0
#endif
			:: else
			fi;
			/* A pause of a full phase invalidates a prepared order. */
#ifndef NO_CHECK
			prepared[i] = false; preparedTicket[i] = 0;
#endif
			i++
		:: else -> break
		od;
		i = 0 }
	od
}

#ifdef NO_WAIT
#define mayOrder true
#else
#define mayOrder (fencing || phasesSinceTakeover >= Wait)
#endif
#ifdef NO_CONFLICT_CHECK
#define noConflictingOrder(e, t) true
#else
#define noConflictingOrder(e, t) (fencing || !sent[e] || sentTicket[e] == (t))
#endif

proctype Home(byte e) {
	do
	/* Prepare: the process is home and no order of its own can overtake this one. */
	:: atomic { epoch == e && mayOrder && !prepared[e] && noConflictingOrder(e, ticket) ->
		prepared[e] = true; preparedTicket[e] = ticket }
	/* Send within the same phase. The message arrives immediately or is delayed. */
	:: atomic { prepared[e] ->
		if
#ifndef NO_CHECK
		:: epoch != e -> skip
#endif
		:: else ->
			if
			:: true -> deliver(e, preparedTicket[e])
			:: !sent[e] -> sent[e] = true; sentTicket[e] = preparedTicket[e]; sentAge[e] = 0
			fi
		fi;
		prepared[e] = false; preparedTicket[e] = 0 }
	/* A delayed order arrives. */
	:: atomic { sent[e] -> deliver(e, sentTicket[e]); sent[e] = false; sentTicket[e] = 0; sentAge[e] = 0 }
	od
}

proctype Invariant() {
	do
	:: d_step { assert(!regressed) }
	od
}

init {
	atomic {
		if :: fencing = true :: fencing = false fi;
		run Home(1); run Home(2); run Home(3); run Environment(); run Time(); run Invariant()
	}
}
