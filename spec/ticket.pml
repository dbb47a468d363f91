/*
 * Acceptance and application of tickets.
 *
 * Two operators submit drafts. Both first change the same object (0), then each an
 * object of its own (1 and 2). The table commits a transaction if its conditions
 * hold; the answer, or the transaction itself, may be lost, and a transaction may
 * take effect after its author has given up on it. An operator settles an unknown
 * outcome by reading: first the head, then the submission's row and the touched
 * object's row. It may crash at any point and start the same draft over.
 *
 * Two instances apply tickets. Each reads the next ticket and may pause before it
 * applies what it read; meanwhile an announcement may bring the same or another
 * ticket. It may restart, from the snapshot or from the other instance's state.
 *
 * The conditions on the submission's row and the object's row follow from the one
 * on the head together with the order of the reads; the transaction carries them
 * all the same. The mutations remove them with the reads that they repeat.
 *
 * Invariants: a number is given to one ticket; a submission is accepted at most
 * once; an accepted ticket stays; a draft is accepted only if its object is as its
 * author read it; a refused submission has no effect, before or later; an instance
 * never goes back and skips no ticket.
 */
/* pan-cc: -DSAFETY -DCOLLAPSE */
/* pan-run: -m200000 -w24 */
/* mutations: NO_HEAD_CHECK BLIND_RETRY NO_BASE_CHECK NO_SECOND_READ APPLY_ANY */

#define OPERATORS 2
#define DRAFTS    4 /* two for each operator */
#define MAX       4 /* tickets: each draft at most once */

/* The object that draft d touches: 0 for the first of each operator. */
#define OBJECT(d) ((d) % 2 == 0 -> 0 : 1 + (d) / 2)

/* The table. */
byte head;
byte owner[MAX + 2];      /* draft + 1 that became ticket n; 0: none */
byte submission[DRAFTS];  /* ticket that the draft became; 0: none */
byte object[3];           /* newest ticket that touched the object */

/* Transactions on their way that no one waits for; number 0: none. */
byte late_number[OPERATORS];
byte late_draft[OPERATORS];
byte late_base[OPERATORS];

/* What the operators were told, as ghost state. */
bool refused[DRAFTS];

bool committed; /* result of the newest COMMIT */

/* One transaction: draft d as ticket n, on object version b. */
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
			assert(owner[n] == 0);              /* one ticket a number, and it stays */
			assert(submission[d] == 0);         /* accepted at most once */
			assert(!refused[d]);                /* a refusal has no effect */
			assert(object[OBJECT(d)] == b);     /* no change is overwritten unseen */
			owner[n] = d + 1;
			submission[d] = n;
			object[OBJECT(d)] = n;
			head = n
		:: else
		fi
	}
}

proctype Operator(byte id) {
	byte d = id * 2;  /* draft in hand */
	byte base;        /* object version that the author built on */
	bool based;       /* base has been read */
	byte h;           /* head as read */
	byte s;           /* submission's row as read */
	byte v;           /* object's row as read */

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
	:: !based -> base = v; based = true
#ifndef NO_BASE_CHECK
	:: based && v != base -> goto lost
#endif
	:: else
	fi;
	if
	:: true -> /* answered */
		atomic {
			COMMIT(d, h + 1, base);
			if
			:: committed -> s = h + 1; goto accepted
			:: else
			fi
		}
	:: true -> /* answer lost */
		COMMIT(d, h + 1, base)
	:: true -> /* transaction lost */
		skip
	:: late_number[id] == 0 -> /* takes effect later, or never */
		d_step {
			late_number[id] = h + 1;
			late_draft[id] = d;
			late_base[id] = base
		}
	:: true -> /* crash before the answer is read; the draft is started over */
		d_step { based = false; base = 0; h = 0; s = 0; v = 0 }
	:: true -> /* crash for good */
		goto done
	fi;
	goto attempt;

lost:
	skip;
#ifndef NO_SECOND_READ
	s = submission[d]; /* the change may be the submission's own */
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
	d_step { based = false; base = 0; h = 0; s = 0; v = 0 }
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
	:: late_number[0] != 0 ->
		atomic { COMMIT(late_draft[0], late_number[0], late_base[0]); late_number[0] = 0; late_draft[0] = 0; late_base[0] = 0 }
	:: late_number[1] != 0 ->
		atomic { COMMIT(late_draft[1], late_number[1], late_base[1]); late_number[1] = 0; late_draft[1] = 0; late_base[1] = 0 }
	od
}

byte applied[2];   /* newest ticket in force on the instance */
byte announced[2]; /* ticket on its way to the instance from the other; 0: none */
byte snapshot;     /* newest ticket that the snapshot holds */

/* The instance applies ticket k if it is the next. */
inline APPLY(k) {
	d_step {
#ifdef APPLY_ANY
		if
		:: k > 0 ->
#else
		if
		:: k == applied[id] + 1 ->
#endif
			assert(k == applied[id] + 1); /* never back, none skipped */
			assert(owner[k] != 0);        /* only accepted tickets */
			applied[id] = k
		:: else
		fi;
		k = 0
	}
}

proctype Instance(byte id) {
	byte fetched; /* ticket read from the table and not applied yet; 0: none */
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

/* Stands for the operators where instances are checked. */
proctype Accept() {
	do
	:: head < MAX -> d_step { owner[head + 1] = 1; head++ }
	:: head == MAX -> break
	od
}

/*
 * Instances only read head and owner, which only operators and the network write;
 * so the two halves are checked one at a time, each in full.
 */
init {
	if
	:: atomic { run Operator(0); run Operator(1); run Network() }
	:: atomic { run Accept(); run Instance(0); run Instance(1) }
	fi
}
