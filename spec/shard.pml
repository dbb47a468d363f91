/*
 * Who may act as home of one shard (internal/member, internal/shard).
 *
 * Two places of one data centre, 0 and 1, run processes that may be home; a further
 * instance is a peer that place 0 can hear. Place 0 meets every fault; place 1 only
 * ends and restarts, and hears the table at all times. Time is counted in phases of about two seconds. For each process, silence is
 * the number of phases since it sent the last question that the table or a registered
 * peer answered:
 *
 *   silence 0      grants                          (below IsolateAfter)
 *   silence 1      isolated, an answer is enough    (below LapseAfter)
 *   silence >= 2   lapsed: only a renewal of the session row lets it grant again
 *
 * A judge records a death after Dead phases (DeadAfter) in which the list did not show
 * the process, its row did not change and no peer had heard it. Recording is a
 * conditional write on the row's version. Taking a shard needs the recorded death.
 *
 * Faults: crash, restart at the same address (which ends the former process first),
 * answers that wait in a socket, and a list that drops a process which still runs.
 * Every step of a process may come late or never, which covers pauses of any length and
 * the loss of the table or the peer: a process that does nothing is held to the
 * invariant as one that runs.
 *
 * At any moment the faults may end (Calm). Then a few phases give the shard a home.
 */
/* pan-cc: -DSAFETY -DMEMLIM=2048 */
/* pan-run: -m200000 */
/* mutations: NO_LAPSE NO_VERSION NO_PEERS NO_EVIDENCE NO_STEP NO_JUDGE */

#define N 2
#define Dead 3
#define Lapse 2
#define Incs 3           /* incarnations explored */
#define Epochs 3         /* shard epochs explored */

/* The process in each place: incarnation number, 0 if there is none. */
byte inc[N];
byte silence[N];         /* phases since the last answered question was sent */
bool lapsed[N];
bool asked[N];           /* a question to the peer is under way ... */
byte askedAge[N];        /* ... for so many phases ... */
bool answered[N];        /* ... and the peer has answered it */
byte heldEpoch[N];       /* shard epoch that the process holds in memory, 0 if none */

/* The table: a session row for each place, and the shard's row. */
byte rowInc[N];          /* incarnation on record, 0 if the row was deleted */
byte rowAge[N];          /* phases since the row changed */
byte home = N; byte homeInc; byte epoch;   /* home = N: the shard has none */
byte nextInc = 1;

bool listed[N];
byte absent[N];          /* phases for which the list has not shown the place */
byte peerAge[N];         /* phases since the peer heard the place's process */
bool calm = false;       /* the faults have ended */

/* A verdict that is being written for a place, begun with this knowledge. */
bool judging[N]; bool rowMoved[N];      /* and whether the row has changed since */

#define registered(i) (inc[i] != 0 && rowInc[i] == inc[i])
#define grants(i) (inc[i] != 0 && heldEpoch[i] != 0 && !lapsed[i] && silence[i] == 0)

/* Evidence of death is one fact in the table. */
#ifdef NO_EVIDENCE
#define dead(i, n) (absent[i] >= 1)
#else
#define dead(i, n) (rowInc[i] != n)
#endif

inline older(x, limit) { if :: x < limit -> x++ :: else fi }

inline lapse(i) {
	if
#ifndef NO_LAPSE
	:: silence[i] >= Lapse -> lapsed[i] = true
#endif
	:: else
	fi
}

inline start(i) {
	inc[i] = nextInc; nextInc++;
	rowInc[i] = inc[i]; rowAge[i] = 0; rowMoved[i] = judging[i];
	silence[i] = 0; lapsed[i] = false;
	asked[i] = false; answered[i] = false; heldEpoch[i] = 0;
	listed[i] = true; absent[i] = 0; peerAge[i] = 0
}

inline end(i) {
	inc[i] = 0; heldEpoch[i] = 0; lapsed[i] = false; silence[i] = 0;
	asked[i] = false; answered[i] = false; askedAge[i] = 0; listed[i] = false
}

inline age(i) {
	older(rowAge[i], Dead); older(peerAge[i], Dead);
	if :: !listed[i] -> older(absent[i], Dead) :: else -> absent[i] = 0 fi;
	if :: inc[i] != 0 && i == 0 -> older(silence[i], Lapse); lapse(i) :: else fi;
	if :: asked[i] -> older(askedAge[i], Lapse) :: else fi
}

/* Renews the session row; a process whose row is not its own is fenced. */
inline renew(i) {
	if
	:: rowInc[i] == inc[i] -> rowAge[i] = 0; rowMoved[i] = judging[i]; silence[i] = 0; lapsed[i] = false
	:: else -> end(i)
	fi
}

/* The shard may be taken: it has no home, or its home is proved to be dead. */
#define free() (home == N || dead(home, homeInc))

inline take(i) {
#ifndef NO_STEP
	epoch++;
#endif
	home = i; homeInc = inc[i]; heldEpoch[i] = epoch
}

#ifdef NO_PEERS
#define unheard(i) true
#else
#define unheard(i) (peerAge[i] >= Dead)
#endif
#ifdef NO_JUDGE
#define suspect(i) false
#else
#define suspect(i) (rowInc[i] != 0 && absent[i] >= Dead && rowAge[i] >= Dead && unheard(i))
#endif

inline record(i) {
	if
#ifndef NO_VERSION
	:: rowMoved[i]
#endif
	:: else -> rowInc[i] = 0; rowAge[i] = 0
	fi;
	judging[i] = false; rowMoved[i] = false
}

/* A phase ends. */
proctype Time() {
	do
	:: atomic { !calm -> age(0); age(1) }
	:: calm -> break
	od
}

/* One place: what its process does, and what befalls it. */
proctype Place(byte i) {
	do
	:: atomic { !calm && inc[i] != 0 -> renew(i) }
	/* Ask the peer, which notes that it heard us; the answer may wait for long. */
	:: atomic { !calm && i == 0 && inc[i] != 0 && !asked[i] -> asked[i] = true; askedAge[i] = 0 }
	:: atomic { !calm && asked[i] && !answered[i] -> answered[i] = true; peerAge[i] = 0 }
	:: atomic { !calm && answered[i] -> lapse(i);
		if :: askedAge[i] < silence[i] -> silence[i] = askedAge[i] :: else fi;
		asked[i] = false; answered[i] = false; askedAge[i] = 0 }
	:: atomic { !calm && registered(i) && !lapsed[i] && silence[i] == 0 &&
		    epoch < Epochs && free() -> take(i) }
	/* Hand the shard over: give it up in memory, then in the table. */
	:: atomic { !calm && heldEpoch[i] != 0 && registered(i) && home == i ->
		heldEpoch[i] = 0; home = N }
	/* Faults. */
	:: atomic { !calm && inc[i] != 0 -> end(i) }
	:: atomic { !calm && nextInc <= Incs -> end(i); start(i) }
	:: atomic { !calm && i == 0 && listed[i] -> listed[i] = false }
	:: calm -> break
	od
}

/* The judge looks, asks the peer and then writes; others act in between. */
proctype Judge() {
	do
	:: atomic { !calm && !judging[0] && suspect(0) -> judging[0] = true }
	:: atomic { !calm && !judging[1] && suspect(1) -> judging[1] = true }
	:: atomic { !calm && judging[0] -> record(0) }
	:: atomic { !calm && judging[1] -> record(1) }
	:: calm -> break
	od
}

/*
 * The faults end and place 1 runs. After the time
 * that evidence takes, the shard has a home that may act.
 */
proctype Calm() {
	byte n = 0;
	atomic {
		true -> calm = true;
		if :: inc[1] == 0 || !registered(1) -> end(1); start(1) :: else fi;
		do
		:: n <= Dead ->
			age(0); age(1);
			if :: inc[0] != 0 -> renew(0) :: else fi;
			renew(1);
			if :: suspect(0) -> rowMoved[0] = false; record(0) :: else fi;
			if :: registered(1) && free() -> take(1) :: else fi;
			n++
		:: else -> break
		od;
		assert(grants(0) || grants(1))
	}
}

/*
 * Two processes never act for the shard at once, and the one that acts is the home on
 * record, so that no epoch is ever used by two processes.
 */
proctype Invariant() {
	do
	:: calm -> break
	:: d_step { !calm ->
		assert(!(grants(0) && grants(1)));
		assert(!(heldEpoch[0] != 0 && heldEpoch[0] == heldEpoch[1]));
		assert(!grants(0) || home == 0 && homeInc == inc[0]);
		assert(!grants(1) || home == 1 && homeInc == inc[1]) }
	od
}

init {
	atomic {
		start(0); start(1);
		run Place(0); run Place(1); run Time(); run Judge(); run Calm(); run Invariant()
	}
}
