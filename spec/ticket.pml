/*
 * Acceptance and application of tickets.
 *
 * Two operators submit drafts. Each operator's first draft changes a shared object (0),
 * its second an object of its own (1 and 2). The table commits a transaction if its
 * conditions hold. The response, or the transaction itself, may be lost, and a
 * transaction may take effect after its author has given up on it. An operator resolves
 * an unknown outcome by reading: first the head, then the submission's row and the
 * object's row. It may crash at any point and restart with the same draft.
 *
 * Two instances apply tickets. Each reads the next ticket and may pause before it
 * applies it; meanwhile an announcement may deliver the same or another ticket. An
 * instance may restart from the snapshot or from the other instance's state.
 *
 * The conditions on the submission's row and the object's row follow from the
 * condition on the head together with the order of the reads; the transaction includes
 * them nevertheless. The mutations remove each together with the reads it duplicates.
 *
 * Invariants: each number belongs to one ticket; a submission is accepted at most
 * once; an accepted ticket is permanent; a draft is accepted only if its object is as
 * its author read it; a refused submission has no effect, before or after the refusal;
 * an instance never goes back to an older ticket and never skips one.
 */
/* pan-cc: -DSAFETY -DCOLLAPSE */
/* pan-run: -m200000 -w24 */
/* mutations: NO_HEAD_CHECK BLIND_RETRY NO_BASE_CHECK NO_SECOND_READ APPLY_ANY */

#define OPERATORS 2
#define DRAFTS    4     /* two per operator */
#define MAX       4     /* maximum number of tickets: each draft at most once */

/* The object that draft d changes: 0 for each operator's first draft. */
#define OBJECT(d) ((d) % 2 == 0 -> 0 : 1 + (d) / 2)

/* The table. */
byte head;
byte owner[MAX + 2];     /* draft that became ticket n, plus 1; 0: none */
byte submission[DRAFTS]; /* ticket that the draft became; 0: none */
byte object[3];          /* newest ticket that changed the object */

/* Abandoned transactions that may still take effect; number 0: none. */
byte pending_number[OPERATORS];
byte pending_draft[OPERATORS];
byte pending_base[OPERATORS];

/* Refusals reported to the operators (ghost state). */
bool refused[DRAFTS];

bool committed; /* result of the latest COMMIT */

/* One transaction: draft d as ticket n, based on object version b. */
inline COMMIT(d, n, b) {
	d_step {
		committed = true;
#ifndef NO_HEAD_CHECK
		if :: head != n - 1 -> committed = false :: else fi;
#endif
#ifndef BLIND_RETRY
		if :: submission[d] != 0 -> committed = false :: else fi;
#endif
#ifndef NO_BASE_CHECK
		if :: object[OBJECT(d)] != b -> committed = false :: else fi;
#endif
		if
		:: committed ->
			assert(owner[n] == 0);          /* one permanent ticket per number */
			assert(submission[d] == 0);     /* accepted at most once */
			assert(!refused[d]);            /* a refusal has no effect */
			assert(object[OBJECT(d)] == b); /* no lost update */
			owner[n] = d + 1;
			submission[d] = n;
			object[OBJECT(d)] = n;
			head = n
		:: else
		fi
	}
}

proctype Operator(byte id) {
	byte d = id * 2;       /* current draft */
	byte base;             /* object version that the draft is based on */
	bool base_read;        /* base has been read */
	byte h;                /* head as read */
	byte s;                /* submission's row as read */
	byte v;                /* object's row as read */

attempt:
	h = head;
	s = submission[d];
	v = object[OBJECT(d)];
#ifndef BLIND_RETRY
	if
	:: s != 0 -> goto accepted
	:: else
	fi;
#endif
	if
	:: !base_read -> base = v; base_read = true
#ifndef NO_BASE_CHECK
	:: base_read && v != base -> goto conflict
#endif
	:: else
	fi;
	if
	:: true -> /* response received */
		atomic {
			COMMIT(d, h + 1, base);
			if
			:: committed -> s = h + 1; goto accepted
			:: else
			fi
		}
	:: true -> /* response lost */
		COMMIT(d, h + 1, base)
	:: true -> /* transaction lost */
		skip
	:: pending_number[id] == 0 -> /* takes effect later, or never */
		d_step {
			pending_number[id] = h + 1;
			pending_draft[id] = d;
			pending_base[id] = base
		}
	:: true -> /* crash before the response is read, then restart with the same draft */
		d_step { base_read = false; base = 0; h = 0; s = 0; v = 0 }
	:: true -> /* permanent crash */
		goto done
	fi;
	goto attempt;

conflict:
	skip;
#ifndef NO_SECOND_READ
	s = submission[d]; /* the conflicting change may be this submission */
	if
	:: s != 0 -> goto accepted
	:: else
	fi;
#endif
	d_step {
		assert(submission[d] == 0);
		refused[d] = true
	}
	goto next;

accepted:
	assert(owner[s] == d + 1 && submission[d] == s);

next:
	skip;
	d_step { base_read = false; base = 0; h = 0; s = 0; v = 0 }
	if
	:: d == id * 2 -> d++; goto attempt
	:: else
	fi;
done:
	skip
}

/* Lets abandoned transactions take effect at any moment. */
proctype Network() {
end:
	do
	:: pending_number[0] != 0 ->
		atomic { COMMIT(pending_draft[0], pending_number[0], pending_base[0]); pending_number[0] = 0; pending_draft[0] = 0; pending_base[0] = 0 }
	:: pending_number[1] != 0 ->
		atomic { COMMIT(pending_draft[1], pending_number[1], pending_base[1]); pending_number[1] = 0; pending_draft[1] = 0; pending_base[1] = 0 }
	od
}

byte applied[2];        /* newest ticket in force on the instance */
byte announced[2];      /* ticket announced by the other instance and in transit; 0: none */
byte snapshot;          /* newest ticket in the snapshot */

/* Applies ticket k if it is the next one. */
inline APPLY(k) {
	d_step {
#ifdef APPLY_ANY
		if
		:: k > 0 ->
#else
		if
		:: k == applied[id] + 1 ->
#endif
			assert(k == applied[id] + 1); /* no ticket is repeated or skipped */
			assert(owner[k] != 0);        /* only accepted tickets */
			applied[id] = k
		:: else
		fi;
		k = 0
	}
}

proctype Instance(byte id) {
	byte fetched; /* ticket read from the table but not applied yet; 0: none */
end:
	do
	:: fetched == 0 && applied[id] < head -> fetched = applied[id] + 1
	:: fetched != 0 -> APPLY(fetched)
	:: announced[id] != 0 -> APPLY(announced[id])
	:: announced[1 - id] == 0 && applied[id] > 0 -> announced[1 - id] = applied[id]
	:: applied[id] > snapshot -> snapshot = applied[id]
	:: applied[id] > 0 -> /* restart from the snapshot */
		d_step { fetched = 0; announced[id] = 0; applied[id] = snapshot }
	:: applied[id] > 0 -> /* restart with the store down, from the other instance */
		d_step { fetched = 0; announced[id] = 0; applied[id] = applied[1 - id] }
	od
}

/* Replaces the operators in the run that checks the instances. */
proctype Accept() {
	do
	:: head < MAX -> d_step { owner[head + 1] = 1; head++ }
	:: head == MAX -> break
	od
}

/*
 * Instances only read head and owner, which only operators and the network write, so
 * the two halves are checked separately, each exhaustively.
 */
init {
	if
	:: atomic { run Operator(0); run Operator(1); run Network() }
	:: atomic { run Accept(); run Instance(0); run Instance(1) }
	fi
}
