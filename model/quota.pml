/* Hand-over of a quota slot: the tokens of a workspace are given by one control replica at a time.
 *
 * The owner of the slot is in the log of the control group. An owner gives tokens only after it has recorded in the log that
 * it begins, and only for LEASE ticks after the start of its newest confirmed read. The next owner begins LEASE ticks after it
 * has applied the assignment, or at once if the slot was released by a planned stop. Replicas lag and freeze (they take no
 * step), and their entries may be late. Replica 0, the first owner, also restarts and stops; replica 1 takes over and may lose the
 * slot again.
 */
#ifndef LEASE
#define LEASE 2
#endif
#ifndef MAX_CHANGES
#define MAX_CHANGES 4
#endif
#define OTHER(r) (1 - (r))

/* The state after the committed entries. */
byte owner = 0;
bool isActive = true;
byte changed = 1;   /* number of the last change */
byte assigned = 1;  /* number of the last assignment */

/* What the process of each replica has applied, and its own state. */
byte knownOwner[2], knownAssigned[2], knownChanged[2];
bool knownActive[2], began[2], stopped[2];
byte leaseLeft[2], waitLeft[2];
/* A read: the time since its start, and the assignment that was the last when a quorum answered; 0 before that. */
bool reading[2];
byte readAge[2], readSees[2];

/* Entries on their way; an entry of an earlier process may still arrive. */
bool beginSent[2], beginOfThisProcess[2];
byte beginBase[2];
bool releaseSent[2];
byte releaseBase[2];

#ifdef BROKEN_GIVES_WITHOUT_BEGIN
#define GIVES(r) (!stopped[r] && knownOwner[r] == r && (began[r] || knownActive[r]) && knownAssigned[r] > 0 && leaseLeft[r] > 0)
#else
#define GIVES(r) (!stopped[r] && knownOwner[r] == r && began[r] && leaseLeft[r] > 0)
#endif

inline apply(r) {
	if
	:: knownAssigned[r] != assigned -> waitLeft[r] = LEASE; began[r] = false
	:: else
	fi;
	knownOwner[r] = owner; knownActive[r] = isActive; knownAssigned[r] = assigned; knownChanged[r] = changed
}

inline tick() {
	for (i : 0 .. 1) {
		if :: leaseLeft[i] > 0 -> leaseLeft[i]-- :: else fi;
		if :: waitLeft[i] > 0 -> waitLeft[i]-- :: else fi;
		if :: reading[i] && readAge[i] < LEASE -> readAge[i]++ :: else fi
	}
	i = 0 /* scratch variables are reset to keep the number of states low */
}

inline confirm(r) {
#ifdef BROKEN_LEASE_FROM_ANSWER
	leaseLeft[r] = LEASE;
#else
	if
	:: LEASE - readAge[r] > leaseLeft[r] -> leaseLeft[r] = LEASE - readAge[r]
	:: else
	fi;
#endif
	reading[r] = false; readAge[r] = 0; readSees[r] = 0
}

inline sendBegin(r) {
	beginSent[r] = true; beginOfThisProcess[r] = true; beginBase[r] = knownAssigned[r]
}

inline commitBegin(r) {
	beginSent[r] = false;
	if
	:: beginBase[r] == assigned && changed < MAX_CHANGES ->
		if :: owner == r -> isActive = true :: else fi;
		changed++;
		if
		:: beginOfThisProcess[r] && !stopped[r] ->
			apply(r);
			if :: owner == r -> began[r] = true :: else fi
		:: else
		fi
	:: else
	fi;
	beginBase[r] = 0; beginOfThisProcess[r] = false
}

inline reassign() {
	owner = OTHER(owner); isActive = false; changed++; assigned = changed
}

inline commitRelease(r) {
	releaseSent[r] = false;
	if
#ifdef BROKEN_LATE_RELEASE
	:: owner == r && changed < MAX_CHANGES ->
#else
	:: releaseBase[r] == changed && owner == r && changed < MAX_CHANGES ->
#endif
		owner = OTHER(r); changed++; assigned = changed
	:: else
	fi;
	releaseBase[r] = 0
}

inline restart(r) {
	stopped[r] = false; began[r] = false; knownOwner[r] = 2; knownAssigned[r] = 0; knownChanged[r] = 0; knownActive[r] = false;
	leaseLeft[r] = 0; waitLeft[r] = 0; reading[r] = false; readAge[r] = 0; readSees[r] = 0; beginOfThisProcess[r] = false
}

/* A planned stop: the process gives no more tokens and asks the log to give its slot away. */
inline stop(r) {
	releaseSent[r] = true; releaseBase[r] = knownChanged[r];
	restart(r);
	stopped[r] = true
}

active proctype system() {
	byte i;
	byte r;
	restart(0); restart(1);
	do
	:: atomic { tick() }
	:: atomic {
		if :: r = 0 :: r = 1 fi;
		if
		:: !stopped[r] -> apply(r)
		:: !stopped[r] && !reading[r] -> reading[r] = true; readAge[r] = 0
		:: !stopped[r] && reading[r] && readSees[r] == 0 -> readSees[r] = assigned
		:: !stopped[r] && reading[r] && readSees[r] > 0 && knownAssigned[r] >= readSees[r] -> confirm(r)
#ifdef BROKEN_NO_WAIT
		:: !stopped[r] && knownOwner[r] == r && !began[r] && !beginSent[r] -> sendBegin(r)
#else
		:: !stopped[r] && knownOwner[r] == r && !began[r] && !beginSent[r] && (knownActive[r] || waitLeft[r] == 0) -> sendBegin(r)
#endif
		:: beginSent[r] -> commitBegin(r)
		:: changed < MAX_CHANGES -> reassign()
		:: r == 0 && !stopped[r] && knownOwner[r] == r && !releaseSent[r] -> stop(r)
		:: releaseSent[r] -> commitRelease(r)
		:: r == 0 -> restart(r)
		fi;
		r = 0
	   }
	:: assert(!(GIVES(0) && GIVES(1)))
	od
}
