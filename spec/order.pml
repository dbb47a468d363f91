/*
 * Orders to one endpoint (internal/order).
 *
 * Homes follow each other by epochs. A home sends the state that it wants; the message
 * may wait on its way. Life is the number of phases after which an order that was sent
 * no longer takes effect. A former home may be paused, and go on where it stopped when
 * its epoch has long passed: it checks that it is home, and how long ago it prepared
 * the order, right before it sends.
 *
 * The endpoint either refuses tokens lower than one it has seen, or ignores them; then
 * a new home waits for Wait phases before its first order, and a home whose own order
 * may still arrive waits before it sends another state.
 */
/* pan-cc: -DSAFETY -DMEMLIM=2048 */
/* pan-run: -m100000 */
/* mutations: NO_FENCING NO_WAIT NO_CHECK NO_TICKET NO_LIFE NO_DOUBT */

#define Life 2
#define Wait 3           /* Life and a margin */
#define Homes 3          /* epochs 1 to Homes */
#define Tickets 2        /* states that operators ask for */

bool fencing;            /* the endpoint refuses stale tokens */
byte epoch = 1;          /* of the home on record */
byte waited = Wait;      /* phases since that home took over; the first follows nobody */
byte ticket = 1;         /* state that is wanted */

/* Per home: an order under preparation or way. */
bool prepared[4];        /* checked and about to be sent */
byte preparedTicket[4];
bool sent[4];            /* under way */
byte sentTicket[4];
byte sentAge[4];

/* The endpoint: the newest token seen and the state taken. */
byte seenEpoch; byte seenTicket;
byte hasEpoch; byte hasTicket;
bool wentBack = false;

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
		wentBack = token(e, t) < token(hasEpoch, hasTicket);
		hasEpoch = e; hasTicket = t;
		if :: !stale(e, t) -> seenEpoch = e; seenTicket = t :: else fi
	fi
}

/* The next home takes over; a ticket changes the state. */
proctype Changes() {
	do
	:: atomic { epoch < Homes -> epoch++; waited = 0 }
	:: atomic { ticket < Tickets -> ticket++ }
	:: else -> break
	od
}

/* A phase ends: orders under way grow old, and those past their life are gone. */
proctype Time() {
	byte i;
	do
	:: atomic {
		if :: waited < Wait -> waited++ :: else fi;
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
			/* A pause of a whole phase makes what was prepared too old. */
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
#define mayStart true
#else
#define mayStart (fencing || waited >= Wait)
#endif
#ifdef NO_DOUBT
#define noDoubt(e, t) true
#else
#define noDoubt(e, t) (fencing || !sent[e] || sentTicket[e] == (t))
#endif

proctype Home(byte e) {
	do
	/* Prepare: this process is home and no order of its own may cross this one. */
	:: atomic { epoch == e && mayStart && !prepared[e] && noDoubt(e, ticket) ->
		prepared[e] = true; preparedTicket[e] = ticket }
	/* Send, within the same phase. The message may arrive at once or late. */
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
	/* An order that was under way arrives. */
	:: atomic { sent[e] -> deliver(e, sentTicket[e]); sent[e] = false; sentTicket[e] = 0; sentAge[e] = 0 }
	od
}

proctype Invariant() {
	do
	:: d_step { assert(!wentBack) }
	od
}

init {
	atomic {
		if :: fencing = true :: fencing = false fi;
		run Home(1); run Home(2); run Home(3); run Changes(); run Time(); run Invariant()
	}
}
