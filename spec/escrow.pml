/*
 * Escrow of one client account's rights between two data centres.
 *
 * Each data centre has a home with a share (its capacity), a level and at most
 * one loan to the other data centre. A loan lowers the lender's room until its
 * life is over; the borrower spends it, or puts it into its own level, only while
 * it is valid by its own clock. Shares move through a row of the table: the giver
 * lowers its own limit, then writes the row on condition that it has not changed;
 * the taker reads the row. The answer to the write may be lost, and the write may
 * take effect late. A home may crash, or be paused until it must have stopped
 * granting by its own clock; then another process of its data centre takes over:
 * it writes the row, so that moves left behind fail, starts empty, and keeps its
 * room blocked for the life of the former home's loan.
 *
 * Safety: what could be spent at any instant, and the limits in force, are never
 * above the whole. With refill bounded by the same limits this bounds what is
 * spent in any window of time.
 * Progress: operations and faults are bounded, so every run ends; at its end all
 * rights are there again.
 *
 * Time appears as an order of events: a borrower's validity ends before the
 * lender's loan does, because the borrower counts from before its call.
 */
/* pan-cc: -DSAFETY -DCOLLAPSE */
/* pan-run: -m1000000 -w22 */
/* mutations: CREDIT_BEFORE_DEBIT LOAN_NO_CAP SPEND_LATE TAKEOVER_FULL TAKEOVER_NO_WAIT TAKEOVER_EARLY MOVE_NO_FENCE SETTLE_NO_WRITE LOWER_AFTER_COMMIT LOAN_NO_END MOVE_NO_SETTLE */

#define HALF   1          /* units of burst in each data centre at the start */
#define WHOLE  2
#define OPS    4          /* operations in a run: spend, lend, move */
#define FAULTS 3          /* faults in a run */

byte ops = OPS;
byte faults = FAULTS;

/* The table's row. */
byte row_share[2] = HALF;
byte row_version = 1;

/* A write of a giver that may still take effect. */
bool late;
byte late_giver;
byte late_version;

/* The homes. */
bool up[2] = true;
byte share[2] = HALF;     /* limit in force */
byte level[2] = HALF;
byte version[2] = 1;      /* of the row that the share is from */
bool begun[2];            /* a move is prepared, the write not sent */
bool unknown[2];          /* a move has an unknown outcome */
byte block[2];            /* room kept free for a former home's loan */

/* A paused home that could still grant. */
bool paused[2];
byte p_level[2];

/* The loan of home i. */
bool l_out[2];            /* lowers the lender's room */
bool l_due[2];            /* mutation only: not yet taken from the level */
bool l_sent[2];           /* on its way */
bool l_valid[2];          /* the borrower may use it */
bool l_held[2];           /* with the borrower */
bool l_news[2];           /* borrower's message: spent */
bool l_back[2];           /* borrower's message: not spent */

#define used(i)  (level[i] + l_out[i] + block[i])
#define idle(i)  (!l_out[i] && !l_due[i] && !l_sent[i] && !l_valid[i] && !l_held[i] && !l_news[i] && !l_back[i])
#ifdef SPEND_LATE
#define usable(i) (l_sent[i] || l_held[i])
#else
#define usable(i) (l_valid[i] && (l_sent[i] || l_held[i]))
#endif
#define right(i) (level[i] + usable(i) + p_level[i])
#define RIGHTS   (right(0) + right(1))
#define SHARES   (share[0] + share[1])

inline apply(giver) {
	row_share[giver]--;
	row_share[1 - giver]++;
	row_version++
}

inline adopt(i) {
	share[i] = row_share[i];
	version[i] = row_version
}

proctype Home(byte i) {
	byte o = 1 - i;
end:	do
	/* The bucket. */
	:: d_step { up[i] && used(i) < share[i] -> level[i]++ }
	:: d_step { up[i] && ops > 0 && level[i] > 0 -> level[i]--; ops-- }

	/* Lending. */
	:: d_step { up[i] && ops > 0 && level[i] > 0 && idle(i) ->
		ops--;
		l_sent[i] = true;
		l_valid[i] = true;
#ifdef CREDIT_BEFORE_DEBIT
		l_due[i] = true
#else
		level[i]--;
#ifndef LOAN_NO_CAP
		l_out[i] = true
#endif
#endif
	}
	:: d_step { l_due[i] -> l_due[i] = false;
		if
		:: up[i] && level[i] > 0 -> level[i]--; l_out[i] = l_valid[i]
		:: else
		fi }
	:: d_step { l_sent[i] && l_valid[i] -> l_sent[i] = false; l_held[i] = true }
	:: d_step { l_sent[i] && faults > 0 -> l_sent[i] = false; faults-- }
	/* The borrower spends, adds to its own level, or gives back. */
	:: d_step { l_held[i] && usable(i) -> l_held[i] = false; l_news[i] = true }
	:: d_step { l_held[i] && usable(i) && up[o] && used(o) < share[o] ->
		l_held[i] = false; level[o]++; l_news[i] = true }
	:: d_step { l_held[i] && usable(i) -> l_held[i] = false; l_back[i] = true }
	:: d_step { l_news[i] -> l_news[i] = false; l_out[i] = false }
	:: d_step { l_news[i] && faults > 0 -> l_news[i] = false; faults-- }
	:: d_step { l_back[i] -> l_back[i] = false;
		if
		:: up[i] && l_out[i] -> l_out[i] = false; level[i]++
		:: else
		fi }
	:: d_step { l_back[i] && faults > 0 -> l_back[i] = false; faults-- }
	/* The life of the loan ends at the borrower, then at the lender. */
	:: d_step { l_valid[i] -> l_valid[i] = false;
#ifndef SPEND_LATE
		l_sent[i] = false;
		l_held[i] = false
#endif
	}
#ifndef LOAN_NO_END
	:: d_step { l_out[i] && !l_valid[i] -> l_out[i] = false }
#endif
#ifdef SPEND_LATE
	:: d_step { l_sent[i] && !l_valid[i] -> l_sent[i] = false; l_held[i] = true }
#endif

	/* Moving a unit of the share. Only room without tokens is moved. */
	:: d_step { up[i] && ops > 0 && !begun[i] && !unknown[i] && used(i) < share[i] ->
		ops--;
#ifndef LOWER_AFTER_COMMIT
		share[i]--;
#endif
		begun[i] = true }
	:: d_step { begun[i] -> begun[i] = false;
		if
		:: row_version == version[i] -> apply(i)
		:: else
		fi;
		adopt(i) }
	:: d_step { begun[i] && faults > 0 -> begun[i] = false; unknown[i] = true; faults--;
		if
		:: row_version == version[i] -> apply(i)
		:: else
		fi }
	:: d_step { begun[i] && faults > 0 && !late -> begun[i] = false; unknown[i] = true; faults--;
		late = true; late_giver = i; late_version = version[i] }
	:: d_step { late && late_giver == i -> late = false;
		if
		:: row_version == late_version -> apply(i)
		:: else
		fi }
#ifndef MOVE_NO_SETTLE
	:: d_step { up[i] && unknown[i] -> unknown[i] = false;
#ifndef SETTLE_NO_WRITE
		if
		:: row_version == version[i] -> row_version++
		:: else
		fi;
#endif
		adopt(i) }
#endif
	:: d_step { up[i] && !begun[i] && !unknown[i] && version[i] != row_version -> adopt(i) }

	/* Crash, pause, take-over. */
	:: d_step { up[i] && faults > 0 -> faults--;
		up[i] = false;
		if
		:: paused[i] = true; p_level[i] = level[i]
		:: share[i] = 0
		fi;
		level[i] = 0 }
	:: d_step { paused[i] && !up[i] -> paused[i] = false;       /* goes on in time */
		up[i] = true; level[i] = p_level[i]; p_level[i] = 0 }
	:: d_step { paused[i] -> paused[i] = false; p_level[i] = 0; /* stops granting */
		if
		:: up[i]
		:: !up[i] -> share[i] = 0
		fi }
#ifdef TAKEOVER_EARLY
	:: d_step { !up[i] ->
#else
	:: d_step { !up[i] && !paused[i] ->
#endif
		if
		:: begun[i] && !late -> late = true; late_giver = i; late_version = version[i]
		:: else
		fi;
		begun[i] = false;
		unknown[i] = false;
		l_out[i] = false;
		l_due[i] = false;
		up[i] = true;
#ifndef MOVE_NO_FENCE
		row_version++;
#endif
		adopt(i);
#ifdef TAKEOVER_FULL
		level[i] = share[i]
#else
		level[i] = 0;
#ifndef TAKEOVER_NO_WAIT
		block[i] = share[i]
#endif
#endif
	}
	:: d_step { up[i] && block[i] > 0 && !l_valid[i] -> block[i] = 0 }
	od
}

active proctype Monitor() {
	do
	:: atomic { RIGHTS > WHOLE || SHARES > WHOLE -> assert(RIGHTS <= WHOLE && SHARES <= WHOLE) }
	:: timeout ->
		assert(up[0] && up[1]);
		assert(SHARES == WHOLE && level[0] + level[1] == WHOLE);
		break
	od
}

init { atomic { run Home(0); run Home(1) } }
