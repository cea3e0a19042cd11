/* Configuration lease at one gateway (section 5.2). Replica 0 leads first and can be replaced by 1 at any moment; a
 * frozen leader is one that takes no step for long. Any message can be late or lost. Only durations
 * on the gateway's own clock matter, so time is held in ages; LEASE is also the bound for a configuration to be in force.
 */
#define LEASE 3
#define RENEWALS 4
#define REVISIONS 2

byte committed, nonce, revision, highest;
byte leaseLeft;                   /* until the lease ends */
byte acceptedAge[REVISIONS + 1];  /* since the revision was accepted, at most LEASE */
byte sentAge;                     /* since the newest renewal was sent, at most LEASE */
bool deposed;
/* at each replica: the renewal it works on, its read index, and whether the round has been confirmed */
byte renewal[2], index[2], known[2];
bool started[2], confirmed[2];
byte x, k;
chan requests = [2] of { byte };       /* nonce */
chan answers = [2] of { byte, byte };  /* nonce, revision */

/* the gateway serves, so it must have every revision that was accepted at least LEASE ago, and the highest so far */
inline checkServing() {
  d_step {
    if
    :: leaseLeft > 0 ->
       k = 1;
       do
       :: k <= committed -> assert(acceptedAge[k] < LEASE || revision >= k); k++
       :: else -> break
       od;
       k = 0
    :: else
    fi
  }
}

inline take(n, rev) {
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
       assert(revision >= highest); /* never reverts while the gateway runs */
       highest = revision
#ifdef BROKEN_REVERT
    :: n != nonce -> revision = rev; assert(revision >= highest) /* old answers are taken without the lease */
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
       :: k <= committed -> acceptedAge[k] = (acceptedAge[k] < LEASE -> acceptedAge[k] + 1 : LEASE); k++
       :: else -> break
       od;
       k = 0
     };
     checkServing()
  /* the group accepts a configuration */
  :: committed < REVISIONS -> atomic {
       committed++; acceptedAge[committed] = 0;
       if
       :: deposed -> known[1] = committed
       :: else -> known[0] = committed
       fi;
       checkServing() }
  :: !deposed -> atomic { deposed = true; known[1] = committed }
  /* the gateway renews, also while an earlier renewal is unanswered */
  :: nonce < RENEWALS && nfull(requests) -> atomic { nonce++; sentAge = 0; requests!nonce }
  :: nempty(requests) -> requests?_
  :: nempty(answers) -> answers?_,_
  :: nempty(requests) -> atomic {
       if
       :: x = 0
       :: x = 1
       fi;
       requests?renewal[x]; started[x] = false;
#ifndef BROKEN_OLD_ROUND
       confirmed[x] = false;
#endif
       x = 0 }
  /* the leader notes its commit index and starts a round; other replicas have the leader do it */
#ifdef BROKEN_OLD_ROUND
  :: !confirmed[0] && !deposed -> confirmed[0] = true
  :: renewal[0] > 0 && !started[0] -> atomic { index[0] = known[0]; started[0] = true }
#else
  :: renewal[0] > 0 && !started[0] -> atomic { index[0] = known[0]; started[0] = true }
#endif
  :: renewal[1] > 0 && !started[1] && deposed -> atomic { index[1] = known[1]; started[1] = true }
  /* a quorum answers the round: only to the leader that it follows */
#ifdef BROKEN_NO_QUORUM
  :: started[0] && !confirmed[0] -> confirmed[0] = true
#else
  :: started[0] && !confirmed[0] && !deposed -> confirmed[0] = true
#endif
  :: started[1] && !confirmed[1] -> confirmed[1] = true
  :: started[0] && confirmed[0] && nfull(answers) -> atomic {
       answers!renewal[0],index[0]; renewal[0] = 0; started[0] = false; confirmed[0] = false; index[0] = 0 }
  :: started[1] && confirmed[1] && nfull(answers) -> atomic {
       answers!renewal[1],index[1]; renewal[1] = 0; started[1] = false; confirmed[1] = false; index[1] = 0 }
  :: nempty(answers) -> atomic { answers?x,k; take(x, k); x = 0; k = 0; checkServing() }
  /* the gateway restarts: it knows nothing and serves nothing; only the nonce is never used again */
  :: nonce < RENEWALS && nonce > 0 -> atomic {
       nonce++; sentAge = LEASE; revision = 0; highest = 0;
#ifndef BROKEN_RESTART_SERVES
       leaseLeft = 0;
#endif
       checkServing() }
  od
}
