/* Election and log replication of package raft with the loss of a disk, the replacement of its replica by a new
 * identity, and a second failure right after that repair. A message is modelled as its direct effect on the
 * receiver. Acknowledgements and votes stay counted even after the sender loses its disk, which models delayed answers.
 *
 * If half of an even number of committed voters have lost their disks, the other half is a quorum. Every replica knows of a
 * loss at once.
 *
 * NO_REPAIR leaves out the loss of disks and identity 3. With TWO_CANDIDATES, replica 2 never starts an election.
 *
 * Identities 0 to 2 are the initial voters, 3 replaces 2. An entry is encoded as term * 4 + kind.
 */
#define IDENTITIES 4
#define NO_LEADER 4
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG_LENGTH
#define MAX_LOG_LENGTH 4
#endif
#define DATA 0
#define REMOVE 1
#define PROMOTE 2
#define TERM_OF(e) ((e) / 4)
#define KIND_OF(e) ((e) % 4)
#define ENTRY(r, i) logEntries[(r) * MAX_LOG_LENGTH + (i)]
#define MATCH(t, r) matchIndex[(t) * IDENTITIES + (r)]
#define VOTE(t, r) votedFor[(t) * IDENTITIES + (r)]

byte logEntries[MAX_LOG_LENGTH * IDENTITIES];
byte logLength[IDENTITIES], term[IDENTITIES], commitIndex[IDENTITIES];
bool alive[IDENTITIES];
bool candidate[IDENTITIES];  /* until the replica wins, accepts an append or sees a later term */
byte votedFor[(MAX_TERM + 1) * IDENTITIES];    /* by term and voter: candidate + 1, 0 for none */
byte matchIndex[(MAX_TERM + 1) * IDENTITIES];  /* by term and replica: synced log length known to the leader */
byte leader[MAX_TERM + 1];  /* by term */
byte committed[MAX_LOG_LENGTH];        /* every entry that any leader has committed */
byte committedInTerm[MAX_LOG_LENGTH];  /* term of the leader that committed the entry first */
byte committedLength;
byte diskLosses;

/* Scratch variables: set of voters as bits, number of voters, position in a log, candidate (or loop index), leader, receiving
 * replica, term, the result of a check, the length of the log up to the last membership change and its kind, and as bits the
 * replicas that have voted or acknowledged and those that have lost their disks.
 */
byte voters, voterCount, index, c, l, r, t, lastChange, lastKind, contained, lost;
bool ok;

#define BITS(v) (((v) & 1) + (((v) >> 1) & 1) + (((v) >> 2) & 1) + (((v) >> 3) & 1))

/* voters according to the log of x; a membership change takes effect when it is appended */
inline computeVoters(x) {
  voters = 7; index = 0; lastChange = 0; lastKind = DATA;
  do
  :: index < logLength[x] ->
     if
     :: KIND_OF(ENTRY(x, index)) == REMOVE -> voters = voters & 11; lastChange = index + 1; lastKind = REMOVE
     :: KIND_OF(ENTRY(x, index)) == PROMOTE -> voters = voters | 8; lastChange = index + 1; lastKind = PROMOTE
     :: else
     fi;
     index++
  :: else -> break
  od;
  voterCount = BITS(voters);
  index = 0
}

/* true if the contained replicas are a quorum of the set */
#ifdef BROKEN_HALF_ON_SILENCE
#define IS_QUORUM_OF(set, isCommitted) (BITS((set) & contained) * 2 >= BITS(set))
#else
#define IS_QUORUM_OF(set, isCommitted) \
  (BITS((set) & contained) * 2 > BITS(set) || \
   ((isCommitted) && BITS((set) & lost) * 2 == BITS(set) && ((set) & (15 - lost) & (15 - contained)) == 0))
#endif

/* sets ok if the contained replicas are a quorum according to the log of x. While a promotion is not known to be committed, the
 * quorum must meet each half of the two voters before it that may go on without the other half.
 */
inline checkQuorum(x) {
  computeVoters(x);
  lost = 15 - (alive[0] + 2 * alive[1] + 4 * alive[2] + 8 * alive[3]);
  ok = IS_QUORUM_OF(voters, lastChange <= commitIndex[x]);
#ifndef BROKEN_HALF_WITHOUT_PREVIOUS
  ok = ok && (lastKind != PROMOTE || lastChange <= commitIndex[x] || BITS(voters & 7 & (contained | lost)) * 2 > BITS(voters & 7));
#endif
  lost = 0
}

/* sets ok if the log of x is at least as up to date as that of y; if strict, it must be more up to date */
inline compareLogs(x, y, strict) {
  if
  :: logLength[x] == 0 -> ok = (logLength[y] == 0 && !strict)
  :: logLength[x] > 0 && logLength[y] == 0 -> ok = true
  :: else ->
     ok = TERM_OF(ENTRY(x, logLength[x] - 1)) > TERM_OF(ENTRY(y, logLength[y] - 1)) ||
          (TERM_OF(ENTRY(x, logLength[x] - 1)) == TERM_OF(ENTRY(y, logLength[y] - 1)) &&
           (logLength[x] > logLength[y] || (logLength[x] == logLength[y] && !strict)))
  fi
}

inline startElection() {
  d_step {
    computeVoters(c);
    if
    :: alive[c] && term[c] < MAX_TERM && ((voters >> c) & 1) ->
       term[c] = term[c] + 1; candidate[c] = true;
#ifdef BROKEN_VOTE_NOT_SYNCED
       VOTE(term[c], c) = c + 1
#else
       if
       :: VOTE(term[c], c) == 0 -> VOTE(term[c], c) = c + 1
       :: else
       fi
#endif
    :: else
    fi
  }
}

inline grantVote() {
  d_step {
    t = term[c];
    computeVoters(r);
    ok = ((voters >> r) & 1);
    compareLogs(c, r, !ok);
#ifdef BROKEN_VOTE_FOR_ANY_LOG
    ok = true;
#endif
    computeVoters(c);
    if
    :: ok && alive[r] && alive[c] && c != r && t > 0 && candidate[c] && ((voters >> r) & 1) &&
       (t > term[r] ||
#ifdef BROKEN_VOTE_NOT_SYNCED
        t == term[r]) ->
#else
        (t == term[r] && VOTE(t, r) == 0)) ->
#endif
       candidate[r] = false; term[r] = t; VOTE(t, r) = c + 1
    :: else
    fi
  }
}

inline becomeLeader() {
  d_step {
    t = term[c]; contained = 0; r = 0;
    do
    :: r < IDENTITIES -> contained = contained + ((VOTE(t, r) == c + 1) << r); r++
    :: else -> break
    od;
    checkQuorum(c);
    if
    :: alive[c] && candidate[c] && ok ->
       assert(leader[t] == NO_LEADER); /* election safety */
       leader[t] = c; candidate[c] = false;
#ifdef REACH_LEADER_AFTER_SECOND_DISK_LOSS
       assert(diskLosses < 2); /* violated, which shows that the bounds include an election after the second loss */
#endif
       index = 0;
       do
       :: index < committedLength ->
          /* leader completeness; a late winner of an earlier term may lack the entry */
          assert(committedInTerm[index] >= t || (index < logLength[c] && ENTRY(c, index) == committed[index]));
          index++
       :: else -> break
       od
    :: else
    fi;
    r = 0; index = 0; contained = 0
  }
}

/* sets ok if leader l may append the membership change k */
inline checkMembershipChange(k) {
  ok = commitIndex[l] > 0 && TERM_OF(ENTRY(l, commitIndex[l] - 1)) == term[l];
  index = 0;
  do
  :: index < logLength[l] ->
     if
     :: KIND_OF(ENTRY(l, index)) == k || (KIND_OF(ENTRY(l, index)) != DATA && index >= commitIndex[l]) -> ok = false
     :: else
     fi;
     index++
  :: else -> break
  od;
  index = 0
}

inline appendEntry(k) {
  d_step {
    ok = true;
    if
    :: k != DATA -> checkMembershipChange(k)
    :: else
    fi;
    computeVoters(l);
    if
    :: k == REMOVE -> ok = ok && !alive[2]
    :: k == PROMOTE -> ok = ok && ((voters & 4) == 0) && MATCH(term[l], 3) >= commitIndex[l]
    :: else
    fi;
    if
    :: ok && alive[l] && leader[term[l]] == l && logLength[l] < MAX_LOG_LENGTH ->
       ENTRY(l, logLength[l]) = term[l] * 4 + k; logLength[l] = logLength[l] + 1
    :: else
    fi
  }
}

inline replicate() {
  d_step {
    t = term[l]; computeVoters(l);
    if
    :: alive[l] && alive[r] && l != r && t > 0 && leader[t] == l && term[r] <= t &&
       (((voters >> r) & 1) || (r == 3 && (voters & 4) == 0)) ->
       term[r] = t; candidate[r] = false; index = 0;
       do
       :: index < logLength[l] && index < logLength[r] && ENTRY(l, index) == ENTRY(r, index) -> index++
       :: else -> break
       od;
       if
       :: index < logLength[l] -> ENTRY(r, index) = ENTRY(l, index); index++; logLength[r] = index
       :: else
       fi;
       c = index;
       do
       :: c < MAX_LOG_LENGTH && c >= logLength[r] -> ENTRY(r, c) = 0; c++
       :: else -> break
       od;
       MATCH(t, r) = index;
       if
       :: commitIndex[l] > commitIndex[r] && index > commitIndex[r] ->
          commitIndex[r] = (commitIndex[l] < index -> commitIndex[l] : index)
       :: else
       fi
    :: else
    fi;
    index = 0; c = 0
  }
}

inline advanceCommitIndex() {
  d_step {
    t = term[l]; c = logLength[l];
    do
    :: c > commitIndex[l] && c > 0 ->
       contained = 0; r = 0;
       do
       :: r < IDENTITIES -> contained = contained + (((r == l) || MATCH(t, r) >= c) << r); r++
       :: else -> break
       od;
       checkQuorum(l);
#ifdef BROKEN_COUNT_LEARNER
       ok = BITS(contained) * 2 > voterCount;
#endif
       if
       :: ok -> break
       :: else -> c--
       fi
    :: else -> c = 0; break
    od;
    index = c; c = 0;
    if
#ifdef BROKEN_COMMIT_OLD_TERM
    :: alive[l] && index > 0 && leader[t] == l ->
#else
    :: alive[l] && index > 0 && leader[t] == l && TERM_OF(ENTRY(l, index - 1)) == t ->
#endif
       commitIndex[l] = index; c = 0;
       do
       :: c < index ->
          assert(c >= committedLength || committed[c] == ENTRY(l, c)); /* committed entries never change */
          if
          :: c >= committedLength -> committed[c] = ENTRY(l, c); committedInTerm[c] = t
          :: else
          fi;
          c++
       :: else -> break
       od;
       committedLength = (committedLength > index -> committedLength : index)
    :: else
    fi;
    r = 0; index = 0; c = 0; contained = 0
  }
}

/* replica 2 loses its disk first; another replica may lose its disk once the removal of the first has been committed */
inline loseDisk() {
  d_step {
    ok = false; index = 0;
    do
    :: index < committedLength -> ok = ok || KIND_OF(committed[index]) == REMOVE; index++
    :: else -> break
    od;
    index = 0;
    if
    :: diskLosses == 0 ->
       diskLosses = 1;
#ifdef BROKEN_SAME_IDENTITY
       index = 0;
       do
       :: index < MAX_LOG_LENGTH -> ENTRY(2, index) = 0; index++
       :: else -> break
       od;
       index = 0;
       do
       :: index <= MAX_TERM -> VOTE(index, 2) = 0; index++
       :: else -> break
       od;
       candidate[2] = false; logLength[2] = 0; term[2] = 0; commitIndex[2] = 0; index = 0
#else
       alive[2] = false
#endif
    :: diskLosses == 1 && ok && r != 2 -> diskLosses = 2; alive[r] = false
    :: else
    fi
  }
}

inline chooseReplica(x) {
  if
  :: x = 0
  :: x = 1
  :: x = 2
  :: x = 3
  fi
}

#define IS_CANDIDATE(x) (alive[x] && candidate[x])
#define IS_LEADER(x) (alive[x] && term[x] > 0 && leader[term[x]] == x)
#define RESET_SCRATCH c = 0; l = 0; r = 0; t = 0; voters = 0; voterCount = 0; lastChange = 0; lastKind = 0; ok = false

#define REPLICA_STEPS(x) \
  :: atomic { alive[x] && term[x] < MAX_TERM -> c = x; startElection(); RESET_SCRATCH } \
  :: atomic { IS_CANDIDATE(x) -> c = x; chooseReplica(r); grantVote(); RESET_SCRATCH } \
  :: atomic { IS_CANDIDATE(x) -> c = x; becomeLeader(); RESET_SCRATCH } \
  :: atomic { IS_LEADER(x) && logLength[x] < MAX_LOG_LENGTH -> l = x; appendEntry(DATA); RESET_SCRATCH } \
  :: atomic { IS_LEADER(x) -> l = x; chooseReplica(r); replicate(); RESET_SCRATCH } \
  :: atomic { IS_LEADER(x) && commitIndex[x] < logLength[x] -> l = x; advanceCommitIndex(); RESET_SCRATCH }

#define REPAIR_STEPS(x) \
  :: atomic { IS_LEADER(x) && logLength[x] < MAX_LOG_LENGTH && diskLosses > 0 -> \
       l = x; appendEntry(REMOVE); RESET_SCRATCH } \
  :: atomic { IS_LEADER(x) && logLength[x] < MAX_LOG_LENGTH && diskLosses > 0 -> \
       l = x; appendEntry(PROMOTE); RESET_SCRATCH }

active proctype system() {
  alive[0] = true; alive[1] = true; alive[2] = true; alive[3] = true;
  d_step {
    do
    :: t <= MAX_TERM -> leader[t] = NO_LEADER; t++
    :: else -> break
    od;
    t = 0
  }
  do
  REPLICA_STEPS(0)
  REPLICA_STEPS(1)
#ifndef TWO_CANDIDATES
  REPLICA_STEPS(2)
#endif
#ifndef NO_REPAIR
  REPLICA_STEPS(3)
  REPAIR_STEPS(0)
  REPAIR_STEPS(1)
  REPAIR_STEPS(2)
  REPAIR_STEPS(3)
  :: atomic { diskLosses < 2 -> chooseReplica(r); loseDisk(); RESET_SCRATCH }
#endif
  od
}
