/*
 * Escrow of one client account's rate limit between two data centres.
 *
 * Each data centre has a home with a share (its capacity), a level and at most one
 * loan to the other data centre. A loan reduces the lender's headroom until it
 * expires; the borrower spends it, or adds it to its own level, only while the loan is
 * valid by the borrower's clock. Shares move through a table row: the giver lowers its
 * own limit, then writes the row on condition that it has not changed; the taker reads
 * the row. The response to the write may be lost, and the write may take effect late. A
 * home may crash, or be paused until it must have stopped granting by its own clock.
 * Another process of its data centre then takes over: it writes the row, so that
 * pending moves fail, starts with an empty level, and keeps its headroom blocked for
 * the lifetime of the former home's loan.
 *
 * Safety: the tokens that can be spent at any instant, and the sum of the limits in
 * force, never exceed the account's total. With refill bounded by the same limits, this
 * bounds what is spent in any time window.
 * Progress: operations and faults are bounded, so every run ends; at its end all
 * tokens are available again.
 *
 * Time is modelled as an order of events: a loan expires at the borrower before it
 * expires at the lender, because the borrower counts from before its call.
 */
/* pan-cc: -DSAFETY -DCOLLAPSE */
/* pan-run: -m1000000 -w22 */
/* mutations: CREDIT_BEFORE_DEBIT LOAN_NO_CAP SPEND_LATE TAKEOVER_FULL TAKEOVER_NO_WAIT TAKEOVER_EARLY MOVE_NO_FENCE SETTLE_NO_WRITE LOWER_AFTER_COMMIT LOAN_NO_END MOVE_NO_SETTLE */

#define HALF   1        /* initial units of burst in each data centre */
#define WHOLE  2
#define OPS    4        /* operations per run: spend, lend, move */
#define FAULTS 3        /* faults per run */

byte ops = OPS;
byte faults = FAULTS;

/* The table row. */
byte row_share[2] = HALF;
byte row_version = 1;

/* A giver's write that may still take effect. */
bool pending_write;
byte pending_giver;
byte pending_version;

/* The homes. */
bool up[2] = true;
byte share[2] = HALF;   /* limit in force */
byte level[2] = HALF;
byte version[2] = 1;    /* version of the row that the share was read from */
bool move_prepared[2];  /* a move is prepared but its write is not sent */
bool move_unknown[2];   /* the outcome of a move is unknown */
byte blocked[2];        /* headroom reserved for a former home's loan */

/* A paused home that can still grant tokens. */
bool paused[2];
byte paused_level[2];

/* The loan granted by home i. */
bool loan_reserved[2];   /* reduces the lender's headroom */
bool loan_debit_due[2];  /* mutation only: not yet subtracted from the level */
bool loan_sent[2];       /* in transit to the borrower */
bool loan_valid[2];      /* the borrower may use it */
bool loan_held[2];       /* received by the borrower */
bool loan_spent_msg[2];  /* message from the borrower: spent */
bool loan_return_msg[2]; /* message from the borrower: returned unspent */

#define used(i)  (level[i] + loan_reserved[i] + blocked[i])
#define idle(i)  (!loan_reserved[i] && !loan_debit_due[i] && !loan_sent[i] && !loan_valid[i] && !loan_held[i] && !loan_spent_msg[i] && !loan_return_msg[i])
#ifdef SPEND_LATE
#define usable(i) (loan_sent[i] || loan_held[i])
#else
#define usable(i) (loan_valid[i] && (loan_sent[i] || loan_held[i]))
#endif
#define available(i) (level[i] + usable(i) + paused_level[i])
#define AVAILABLE   (available(0) + available(1))
#define SHARES   (share[0] + share[1])

inline apply_move(giver) {
	row_share[giver]--;
	row_share[1 - giver]++;
	row_version++
}

inline adopt_row(i) {
	share[i] = row_share[i];
	version[i] = row_version
}

proctype Home(byte i) {
	byte o = 1 - i;
end:	do
	/* The token bucket: refill and spending. */
	:: d_step { up[i] && used(i) < share[i] -> level[i]++ }
	:: d_step { up[i] && ops > 0 && level[i] > 0 -> level[i]--; ops-- }

	/* Lending. */
	:: d_step { up[i] && ops > 0 && level[i] > 0 && idle(i) ->
		ops--;
		loan_sent[i] = true;
		loan_valid[i] = true;
#ifdef CREDIT_BEFORE_DEBIT
		loan_debit_due[i] = true
#else
		level[i]--;
#ifndef LOAN_NO_CAP
		loan_reserved[i] = true
#endif
#endif
	}
	:: d_step { loan_debit_due[i] -> loan_debit_due[i] = false;
		if
		:: up[i] && level[i] > 0 -> level[i]--; loan_reserved[i] = loan_valid[i]
		:: else
		fi }
	:: d_step { loan_sent[i] && loan_valid[i] -> loan_sent[i] = false; loan_held[i] = true }
	:: d_step { loan_sent[i] && faults > 0 -> loan_sent[i] = false; faults-- }
	/* The borrower spends the loan, adds it to its own level, or returns it. */
	:: d_step { loan_held[i] && usable(i) -> loan_held[i] = false; loan_spent_msg[i] = true }
	:: d_step { loan_held[i] && usable(i) && up[o] && used(o) < share[o] ->
		loan_held[i] = false; level[o]++; loan_spent_msg[i] = true }
	:: d_step { loan_held[i] && usable(i) -> loan_held[i] = false; loan_return_msg[i] = true }
	:: d_step { loan_spent_msg[i] -> loan_spent_msg[i] = false; loan_reserved[i] = false }
	:: d_step { loan_spent_msg[i] && faults > 0 -> loan_spent_msg[i] = false; faults-- }
	:: d_step { loan_return_msg[i] -> loan_return_msg[i] = false;
		if
		:: up[i] && loan_reserved[i] -> loan_reserved[i] = false; level[i]++
		:: else
		fi }
	:: d_step { loan_return_msg[i] && faults > 0 -> loan_return_msg[i] = false; faults-- }
	/* The loan expires at the borrower, then at the lender. */
	:: d_step { loan_valid[i] -> loan_valid[i] = false;
#ifndef SPEND_LATE
		loan_sent[i] = false;
		loan_held[i] = false
#endif
	}
#ifndef LOAN_NO_END
	:: d_step { loan_reserved[i] && !loan_valid[i] -> loan_reserved[i] = false }
#endif
#ifdef SPEND_LATE
	:: d_step { loan_sent[i] && !loan_valid[i] -> loan_sent[i] = false; loan_held[i] = true }
#endif

	/* Moving one unit of the share. Only headroom without tokens is moved. */
	:: d_step { up[i] && ops > 0 && !move_prepared[i] && !move_unknown[i] && used(i) < share[i] ->
		ops--;
#ifndef LOWER_AFTER_COMMIT
		share[i]--;
#endif
		move_prepared[i] = true }
	:: d_step { move_prepared[i] -> move_prepared[i] = false;
		if
		:: row_version == version[i] -> apply_move(i)
		:: else
		fi;
		adopt_row(i) }
	:: d_step { move_prepared[i] && faults > 0 -> move_prepared[i] = false; move_unknown[i] = true; faults--;
		if
		:: row_version == version[i] -> apply_move(i)
		:: else
		fi }
	:: d_step { move_prepared[i] && faults > 0 && !pending_write -> move_prepared[i] = false; move_unknown[i] = true; faults--;
		pending_write = true; pending_giver = i; pending_version = version[i] }
	:: d_step { pending_write && pending_giver == i -> pending_write = false;
		if
		:: row_version == pending_version -> apply_move(i)
		:: else
		fi }
#ifndef MOVE_NO_SETTLE
	:: d_step { up[i] && move_unknown[i] -> move_unknown[i] = false;
#ifndef SETTLE_NO_WRITE
		if
		:: row_version == version[i] -> row_version++
		:: else
		fi;
#endif
		adopt_row(i) }
#endif
	:: d_step { up[i] && !move_prepared[i] && !move_unknown[i] && version[i] != row_version -> adopt_row(i) }

	/* Crash, pause, takeover. */
	:: d_step { up[i] && faults > 0 -> faults--;
		up[i] = false;
		if
		:: paused[i] = true; paused_level[i] = level[i]
		:: share[i] = 0
		fi;
		level[i] = 0 }
	:: d_step { paused[i] && !up[i] -> paused[i] = false; /* resumes before it must stop granting */
		up[i] = true; level[i] = paused_level[i]; paused_level[i] = 0 }
	:: d_step { paused[i] -> paused[i] = false; paused_level[i] = 0; /* has stopped granting */
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
		:: move_prepared[i] && !pending_write -> pending_write = true; pending_giver = i; pending_version = version[i]
		:: else
		fi;
		move_prepared[i] = false;
		move_unknown[i] = false;
		loan_reserved[i] = false;
		loan_debit_due[i] = false;
		up[i] = true;
#ifndef MOVE_NO_FENCE
		row_version++;
#endif
		adopt_row(i);
#ifdef TAKEOVER_FULL
		level[i] = share[i]
#else
		level[i] = 0;
#ifndef TAKEOVER_NO_WAIT
		blocked[i] = share[i]
#endif
#endif
	}
	:: d_step { up[i] && blocked[i] > 0 && !loan_valid[i] -> blocked[i] = 0 }
	od
}

active proctype Monitor() {
	do
	:: atomic { AVAILABLE > WHOLE || SHARES > WHOLE -> assert(AVAILABLE <= WHOLE && SHARES <= WHOLE) }
	:: timeout ->
		assert(up[0] && up[1]);
		assert(SHARES == WHOLE && level[0] + level[1] == WHOLE);
		break
	od
}

init { atomic { run Home(0); run Home(1) } }
