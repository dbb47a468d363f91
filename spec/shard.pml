/*
 * Which process may act as home of one shard (internal/member, internal/shard).
 *
 * Two nodes of one data centre, 0 and 1, each run a process that may be home; a further
 * instance is a peer that node 0 can contact. Node 0 is subject to every fault; node 1
 * only stops and restarts, and always reaches the table. Time is counted in phases of
 * about two seconds. A process's silence is the number of phases since it sent the last
 * request that the table or a registered peer answered:
 *
 *   silence 0      grants                          (below IsolateAfter)
 *   silence 1      isolated; any response suffices (below LapseAfter)
 *   silence >= 2   lapsed; only a renewal of the session row lets it grant again
 *
 * A failure detector records a death after Dead phases (DeadAfter) in which the
 * instance list did not show the process, its row did not change and no peer heard from
 * it. The record is a conditional write on the row's version. A shard can be taken over
 * only after the death of its home is recorded.
 *
 * Faults: crash, restart at the same address (which first ends the former process),
 * responses delayed in a socket, and a list that omits a process that is still running.
 * Every step of a process may be delayed or never happen, which covers pauses of any
 * length and the loss of the table or the peer: the invariant applies to a paused
 * process as it does to a running one.
 *
 * The faults may end at any time (Recovery). After that, the shard gets a home within a
 * few phases.
 */
/* pan-cc: -DSAFETY -DMEMLIM=2048 */
/* pan-run: -m200000 */
/* mutations: NO_LAPSE NO_VERSION NO_PEERS NO_EVIDENCE NO_EPOCH_STEP NO_DETECTOR */

#define N 2
#define Dead 3
#define Lapse 2
#define Incarnations 3  /* number of incarnations explored */
#define Epochs 3        /* number of shard epochs explored */

/* The process on each node: incarnation number, 0 if there is none. */
byte incarnation[N];
byte silence[N];        /* phases since the last answered request was sent */
bool lapsed[N];
bool asked[N];          /* a request to the peer is outstanding ... */
byte askedAge[N];       /* ... for this many phases ... */
bool answered[N];       /* ... and the peer has answered it */
byte heldEpoch[N];      /* shard epoch held in process memory, 0 if none */

/* The table: one session row per node, and the shard's row. */
byte rowIncarnation[N];                          /* recorded incarnation, 0 if the row was deleted */
byte rowAge[N];                                  /* phases since the row changed */
byte home = N; byte homeIncarnation; byte epoch; /* home = N: the shard has no home */
byte nextIncarnation = 1;

bool listed[N];
byte unlistedAge[N];      /* phases since the list last showed the node */
byte peerAge[N];          /* phases since the peer heard from the node's process */
bool faultsEnded = false; /* the faults have ended */

/* A death record is being written for a node, ... */
bool recording[N]; bool rowChanged[N]; /* ... and its row has changed since it was read */

#define registered(i) (incarnation[i] != 0 && rowIncarnation[i] == incarnation[i])
#define grants(i) (incarnation[i] != 0 && heldEpoch[i] != 0 && !lapsed[i] && silence[i] == 0)

/* A process is dead if its session row is gone or belongs to another incarnation. */
#ifdef NO_EVIDENCE
#define dead(i, n) (unlistedAge[i] >= 1)
#else
#define dead(i, n) (rowIncarnation[i] != n)
#endif

inline saturatingIncrement(x, limit) { if :: x < limit -> x++ :: else fi }

inline lapse(i) {
	if
#ifndef NO_LAPSE
	:: silence[i] >= Lapse -> lapsed[i] = true
#endif
	:: else
	fi
}

inline startProcess(i) {
	incarnation[i] = nextIncarnation; nextIncarnation++;
	rowIncarnation[i] = incarnation[i]; rowAge[i] = 0; rowChanged[i] = recording[i];
	silence[i] = 0; lapsed[i] = false;
	asked[i] = false; answered[i] = false; heldEpoch[i] = 0;
	listed[i] = true; unlistedAge[i] = 0; peerAge[i] = 0
}

inline stopProcess(i) {
	incarnation[i] = 0; heldEpoch[i] = 0; lapsed[i] = false; silence[i] = 0;
	asked[i] = false; answered[i] = false; askedAge[i] = 0; listed[i] = false
}

inline advanceAges(i) {
	saturatingIncrement(rowAge[i], Dead); saturatingIncrement(peerAge[i], Dead);
	if :: !listed[i] -> saturatingIncrement(unlistedAge[i], Dead) :: else -> unlistedAge[i] = 0 fi;
	if :: incarnation[i] != 0 && i == 0 -> saturatingIncrement(silence[i], Lapse); lapse(i) :: else fi;
	if :: asked[i] -> saturatingIncrement(askedAge[i], Lapse) :: else fi
}

/* Renews the session row; a process that no longer owns its row is fenced. */
inline renewSession(i) {
	if
	:: rowIncarnation[i] == incarnation[i] -> rowAge[i] = 0; rowChanged[i] = recording[i]; silence[i] = 0; lapsed[i] = false
	:: else -> stopProcess(i)
	fi
}

/* The shard can be taken: it has no home, or the death of its home is recorded. */
#define takeable() (home == N || dead(home, homeIncarnation))

inline takeShard(i) {
#ifndef NO_EPOCH_STEP
	epoch++;
#endif
	home = i; homeIncarnation = incarnation[i]; heldEpoch[i] = epoch
}

#ifdef NO_PEERS
#define peerSilent(i) true
#else
#define peerSilent(i) (peerAge[i] >= Dead)
#endif
#ifdef NO_DETECTOR
#define suspect(i) false
#else
#define suspect(i) (rowIncarnation[i] != 0 && unlistedAge[i] >= Dead && rowAge[i] >= Dead && peerSilent(i))
#endif

inline recordDeath(i) {
	if
#ifndef NO_VERSION
	:: rowChanged[i]
#endif
	:: else -> rowIncarnation[i] = 0; rowAge[i] = 0
	fi;
	recording[i] = false; rowChanged[i] = false
}

/* A phase ends. */
proctype Time() {
	do
	:: atomic { !faultsEnded -> advanceAges(0); advanceAges(1) }
	:: faultsEnded -> break
	od
}

/* One node: the steps and faults of its process. */
proctype Node(byte i) {
	do
	:: atomic { !faultsEnded && incarnation[i] != 0 -> renewSession(i) }
	/* Send a request to the peer, which records the contact; its response may be delayed. */
	:: atomic { !faultsEnded && i == 0 && incarnation[i] != 0 && !asked[i] -> asked[i] = true; askedAge[i] = 0 }
	:: atomic { !faultsEnded && asked[i] && !answered[i] -> answered[i] = true; peerAge[i] = 0 }
	:: atomic { !faultsEnded && answered[i] -> lapse(i);
		if :: askedAge[i] < silence[i] -> silence[i] = askedAge[i] :: else fi;
		asked[i] = false; answered[i] = false; askedAge[i] = 0 }
	:: atomic { !faultsEnded && registered(i) && !lapsed[i] && silence[i] == 0 &&
		    epoch < Epochs && takeable() -> takeShard(i) }
	/* Hand the shard over: release it in memory, then in the table. */
	:: atomic { !faultsEnded && heldEpoch[i] != 0 && registered(i) && home == i ->
		heldEpoch[i] = 0; home = N }
	/* Faults. */
	:: atomic { !faultsEnded && incarnation[i] != 0 -> stopProcess(i) }
	:: atomic { !faultsEnded && nextIncarnation <= Incarnations -> stopProcess(i); startProcess(i) }
	:: atomic { !faultsEnded && i == 0 && listed[i] -> listed[i] = false }
	:: faultsEnded -> break
	od
}

/* The failure detector reads, asks the peer and then writes; other steps may interleave. */
proctype FailureDetector() {
	do
	:: atomic { !faultsEnded && !recording[0] && suspect(0) -> recording[0] = true }
	:: atomic { !faultsEnded && !recording[1] && suspect(1) -> recording[1] = true }
	:: atomic { !faultsEnded && recording[0] -> recordDeath(0) }
	:: atomic { !faultsEnded && recording[1] -> recordDeath(1) }
	:: faultsEnded -> break
	od
}

/*
 * The faults end and node 1 is running. Once enough time for a death record has passed,
 * the shard has a home that grants.
 */
proctype Recovery() {
	byte n = 0;
	atomic {
		true -> faultsEnded = true;
		if :: incarnation[1] == 0 || !registered(1) -> stopProcess(1); startProcess(1) :: else fi;
		do
		:: n <= Dead ->
			advanceAges(0); advanceAges(1);
			if :: incarnation[0] != 0 -> renewSession(0) :: else fi;
			renewSession(1);
			if :: suspect(0) -> rowChanged[0] = false; recordDeath(0) :: else fi;
			if :: registered(1) && takeable() -> takeShard(1) :: else fi;
			n++
		:: else -> break
		od;
		assert(grants(0) || grants(1))
	}
}

/*
 * Two processes never act for the shard at the same time, and the acting one is the
 * recorded home, so that no epoch is ever used by two processes.
 */
proctype Invariant() {
	do
	:: faultsEnded -> break
	:: d_step { !faultsEnded ->
		assert(!(grants(0) && grants(1)));
		assert(!(heldEpoch[0] != 0 && heldEpoch[0] == heldEpoch[1]));
		assert(!grants(0) || home == 0 && homeIncarnation == incarnation[0]);
		assert(!grants(1) || home == 1 && homeIncarnation == incarnation[1]) }
	od
}

init {
	atomic {
		startProcess(0); startProcess(1);
		run Node(0); run Node(1); run Time(); run FailureDetector(); run Recovery(); run Invariant()
	}
}
