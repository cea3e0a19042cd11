/* Configuration lease of one gateway, see section 5.2 of docs/design.md. Replica 0 is the first leader and can be
 * replaced by replica 1 at any time; a paused leader is modelled by taking no step for a long time. Any message can be
 * delayed or lost. Only durations on the gateway's own clock matter, so time is modelled by ages. LEASE is also the
 * bound within which an accepted configuration must be in force.
 */
#define LEASE 3
#define MAX_NONCE 4
#define MAX_REVISION 2

byte committedRevision;
byte nonce;            /* of the newest renewal */
byte revision;         /* of the gateway's configuration */
byte highestRevision;  /* that the gateway has had since it started */
byte leaseLeft;        /* until the lease expires */
byte acceptedAge[MAX_REVISION + 1];  /* by revision: time since it was accepted, at most LEASE */
byte sentAge;          /* time since the newest renewal was sent, at most LEASE */
bool deposed;          /* replica 1 has replaced replica 0 */
/* by replica: nonce of the renewal in progress (0 for none), its read index, and the replica's commit index */
byte pendingNonce[2], readIndex[2], commitIndex[2];
bool roundStarted[2], roundConfirmed[2];  /* by replica: quorum round of the renewal in progress */
byte x, k;  /* scratch variables */
chan requests = [2] of { byte };       /* nonce */
chan answers = [2] of { byte, byte };  /* nonce, revision */

/* a gateway that serves has every revision that was accepted at least LEASE ago */
inline checkServing() {
  d_step {
    if
    :: leaseLeft > 0 ->
       k = 1;
       do
       :: k <= committedRevision -> assert(acceptedAge[k] < LEASE || revision >= k); k++
       :: else -> break
       od;
       k = 0
    :: else
    fi
  }
}

inline handleAnswer(n, rev) {
  d_step {
    if
#ifdef BROKEN_NO_NONCE
    :: true ->
#else
    :: n == nonce ->
#endif
#ifdef BROKEN_LEASE_FROM_ANSWER
       leaseLeft = LEASE;
#else
       leaseLeft = (LEASE - sentAge > leaseLeft -> LEASE - sentAge : leaseLeft);
#endif
       if
       :: rev > revision -> revision = rev
       :: else
       fi;
       assert(revision >= highestRevision); /* the configuration never reverts while the gateway runs */
       highestRevision = revision
#ifdef BROKEN_REVERT
    :: n != nonce -> revision = rev; assert(revision >= highestRevision) /* applies old answers without the lease */
#endif
    :: else
    fi
  }
}

active proctype system() {
  do
  :: d_step {
       leaseLeft = (leaseLeft > 0 -> leaseLeft - 1 : 0);
       sentAge = (sentAge < LEASE -> sentAge + 1 : LEASE);
       k = 1;
       do
       :: k <= committedRevision -> acceptedAge[k] = (acceptedAge[k] < LEASE -> acceptedAge[k] + 1 : LEASE); k++
       :: else -> break
       od;
       k = 0
     };
     checkServing()
  /* the group accepts a configuration */
  :: committedRevision < MAX_REVISION -> atomic {
       committedRevision++; acceptedAge[committedRevision] = 0;
       if
       :: deposed -> commitIndex[1] = committedRevision
       :: else -> commitIndex[0] = committedRevision
       fi;
       checkServing() }
  :: !deposed -> atomic { deposed = true; commitIndex[1] = committedRevision }
  /* the gateway sends a renewal, even while an earlier one is unanswered */
  :: nonce < MAX_NONCE && nfull(requests) -> atomic { nonce++; sentAge = 0; requests!nonce }
  :: nempty(requests) -> requests?_
  :: nempty(answers) -> answers?_,_
  :: nempty(requests) -> atomic {
       if
       :: x = 0
       :: x = 1
       fi;
       requests?pendingNonce[x]; roundStarted[x] = false;
#ifndef BROKEN_OLD_ROUND
       roundConfirmed[x] = false;
#endif
       x = 0 }
  /* the leader records its commit index as the read index and starts a round; followers forward this to the leader */
#ifdef BROKEN_OLD_ROUND
  :: !roundConfirmed[0] && !deposed -> roundConfirmed[0] = true
  :: pendingNonce[0] > 0 && !roundStarted[0] -> atomic { readIndex[0] = commitIndex[0]; roundStarted[0] = true }
#else
  :: pendingNonce[0] > 0 && !roundStarted[0] -> atomic { readIndex[0] = commitIndex[0]; roundStarted[0] = true }
#endif
  :: pendingNonce[1] > 0 && !roundStarted[1] && deposed ->
     atomic { readIndex[1] = commitIndex[1]; roundStarted[1] = true }
  /* a quorum confirms the round, only to the leader that it follows */
#ifdef BROKEN_NO_QUORUM
  :: roundStarted[0] && !roundConfirmed[0] -> roundConfirmed[0] = true
#else
  :: roundStarted[0] && !roundConfirmed[0] && !deposed -> roundConfirmed[0] = true
#endif
  :: roundStarted[1] && !roundConfirmed[1] -> roundConfirmed[1] = true
  :: roundStarted[0] && roundConfirmed[0] && nfull(answers) -> atomic {
       answers!pendingNonce[0],readIndex[0];
       pendingNonce[0] = 0; roundStarted[0] = false; roundConfirmed[0] = false; readIndex[0] = 0 }
  :: roundStarted[1] && roundConfirmed[1] && nfull(answers) -> atomic {
       answers!pendingNonce[1],readIndex[1];
       pendingNonce[1] = 0; roundStarted[1] = false; roundConfirmed[1] = false; readIndex[1] = 0 }
  :: nempty(answers) -> atomic { answers?x,k; handleAnswer(x, k); x = 0; k = 0; checkServing() }
  /* the gateway restarts without a configuration or a lease, so it does not serve; a nonce is never reused */
  :: nonce < MAX_NONCE && nonce > 0 -> atomic {
       nonce++; sentAge = LEASE; revision = 0; highestRevision = 0;
#ifndef BROKEN_RESTART_SERVES
       leaseLeft = 0;
#endif
       checkServing() }
  od
}
