/* Election and replication of package raft with a lost disk, its repair by a new identity, and a second failure right
 * after the repair. Messages are direct effects on the receiver; acknowledgements and votes that have been given stay
 * counted, also after the sender's disk is lost, which stands for delayed answers.
 *
 * NO_REPAIR leaves out the loss of disks and identity 3; TWO_CANDIDATES lets replica 2 only vote and follow.
 *
 * Identities 0 to 2 are the first voters, 3 replaces 2. Entries are term * 4 + kind.
 */
#define N 4
#define NOBODY 4
#ifndef TERMS
#define TERMS 3
#endif
#ifndef LENGTH
#define LENGTH 4
#endif
#define DATA 0
#define REMOVE 1
#define PROMOTE 2
#define TERM_OF(e) ((e) / 4)
#define KIND_OF(e) ((e) % 4)
#define LOG(r, i) log[(r) * LENGTH + (i)]
#define MATCH(t, r) match[(t) * N + (r)]
#define VOTE(t, r) vote[(t) * N + (r)]

byte log[LENGTH * N];
byte logLen[N], term[N], commit[N];
bool alive[N];
bool candidate[N];  /* still; an append or a later term ends it */
byte vote[(TERMS + 1) * N];   /* by term and voter: candidate + 1 */
byte match[(TERMS + 1) * N];  /* by term and replica: what its leader knows to be synced */
byte leader[TERMS + 1];  /* by term */
byte committed[LENGTH];
byte committedIn[LENGTH];  /* term of the leader that committed it first */
byte committedLen;
byte losses;

/* results of the computations below */
byte voters, count, size, at, c, l, r, t;
bool ok;

/* voters in the log of x: membership takes effect when appended */
inline computeVoters(x) {
  voters = 7; at = 0;
  do
  :: at < logLen[x] ->
     if
     :: KIND_OF(LOG(x, at)) == REMOVE -> voters = voters & 11
     :: KIND_OF(LOG(x, at)) == PROMOTE -> voters = voters | 8
     :: else
     fi;
     at++
  :: else -> break
  od;
  size = (voters & 1) + ((voters >> 1) & 1) + ((voters >> 2) & 1) + ((voters >> 3) & 1);
  at = 0
}

/* ok: the log of x is at least as new as that of y, and newer if strict */
inline compareLogs(x, y, strict) {
  if
  :: logLen[x] == 0 -> ok = (logLen[y] == 0 && !strict)
  :: logLen[x] > 0 && logLen[y] == 0 -> ok = true
  :: else ->
     ok = TERM_OF(LOG(x, logLen[x] - 1)) > TERM_OF(LOG(y, logLen[y] - 1)) ||
          (TERM_OF(LOG(x, logLen[x] - 1)) == TERM_OF(LOG(y, logLen[y] - 1)) &&
           (logLen[x] > logLen[y] || (logLen[x] == logLen[y] && !strict)))
  fi
}

inline campaign() {
  d_step {
    computeVoters(c);
    if
    :: alive[c] && term[c] < TERMS && ((voters >> c) & 1) ->
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

inline giveVote() {
  d_step {
    t = term[c];
    computeVoters(r);
    ok = ((voters >> r) & 1);
    compareLogs(c, r, !ok);
#ifdef BROKEN_ANY_LOG
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

inline win() {
  d_step {
    t = term[c]; computeVoters(c); count = 0; r = 0;
    do
    :: r < N -> count = count + (((voters >> r) & 1) && VOTE(t, r) == c + 1); r++
    :: else -> break
    od;
    if
    :: alive[c] && candidate[c] && count * 2 > size ->
       assert(leader[t] == NOBODY); /* election safety */
       leader[t] = c; candidate[c] = false;
#ifdef REACH_LEADER_AFTER_SECOND_LOSS
       assert(losses < 2); /* fails, which shows that the bounds include an election after the second loss */
#endif
       at = 0;
       do
       :: at < committedLen ->
          /* leader completeness; a late winner of an earlier term need not know */
          assert(committedIn[at] >= t || (at < logLen[c] && LOG(c, at) == committed[at]));
          at++
       :: else -> break
       od
    :: else
    fi;
    r = 0; at = 0; count = 0
  }
}

/* ok: the membership change k may be appended by leader l */
inline mayChange(k) {
  ok = commit[l] > 0 && TERM_OF(LOG(l, commit[l] - 1)) == term[l];
  at = 0;
  do
  :: at < logLen[l] ->
     if
     :: KIND_OF(LOG(l, at)) == k || (KIND_OF(LOG(l, at)) != DATA && at >= commit[l]) -> ok = false
     :: else
     fi;
     at++
  :: else -> break
  od;
  at = 0
}

inline appendEntry(k) {
  d_step {
    ok = true;
    if
    :: k != DATA -> mayChange(k)
    :: else
    fi;
    computeVoters(l);
    if
    :: k == REMOVE -> ok = ok && !alive[2]
    :: k == PROMOTE -> ok = ok && ((voters & 4) == 0) && MATCH(term[l], 3) >= commit[l]
    :: else
    fi;
    if
    :: ok && alive[l] && leader[term[l]] == l && logLen[l] < LENGTH ->
       LOG(l, logLen[l]) = term[l] * 4 + k; logLen[l] = logLen[l] + 1
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
       term[r] = t; candidate[r] = false; at = 0;
       do
       :: at < logLen[l] && at < logLen[r] && LOG(l, at) == LOG(r, at) -> at++
       :: else -> break
       od;
       if
       :: at < logLen[l] -> LOG(r, at) = LOG(l, at); at++; logLen[r] = at
       :: else
       fi;
       c = at;
       do
       :: c < LENGTH && c >= logLen[r] -> LOG(r, c) = 0; c++
       :: else -> break
       od;
       MATCH(t, r) = at;
       if
       :: commit[l] > commit[r] && at > commit[r] -> commit[r] = (commit[l] < at -> commit[l] : at)
       :: else
       fi
    :: else
    fi;
    at = 0; c = 0
  }
}

inline commitNext() {
  d_step {
    t = term[l]; computeVoters(l); at = logLen[l]; count = 0;
    do
    :: at > commit[l] && at > 0 ->
       count = 0; r = 0;
       do
       :: r < N ->
#ifdef BROKEN_COUNT_LEARNER
          count = count + (((r == l) || MATCH(t, r) >= at));
#else
          count = count + (((voters >> r) & 1) && ((r == l) || MATCH(t, r) >= at));
#endif
          r++
       :: else -> break
       od;
       if
       :: count * 2 > size -> break
       :: else -> at--
       fi
    :: else -> at = 0; break
    od;
    if
#ifdef BROKEN_COMMIT_OLD_TERM
    :: alive[l] && at > 0 && leader[t] == l ->
#else
    :: alive[l] && at > 0 && leader[t] == l && TERM_OF(LOG(l, at - 1)) == t ->
#endif
       commit[l] = at; c = 0;
       do
       :: c < at ->
          assert(c >= committedLen || committed[c] == LOG(l, c)); /* committed entries never change */
          if
          :: c >= committedLen -> committed[c] = LOG(l, c); committedIn[c] = t
          :: else
          fi;
          c++
       :: else -> break
       od;
       committedLen = (committedLen > at -> committedLen : at)
    :: else
    fi;
    r = 0; at = 0; c = 0; count = 0
  }
}

/* the first loss takes 2; the second follows when the repair has been committed */
inline loseDisk() {
  d_step {
    ok = false; at = 0;
    do
    :: at < committedLen -> ok = ok || KIND_OF(committed[at]) == PROMOTE; at++
    :: else -> break
    od;
    at = 0;
    if
    :: losses == 0 ->
       losses = 1;
#ifdef BROKEN_SAME_IDENTITY
       at = 0;
       do
       :: at < LENGTH -> LOG(2, at) = 0; at++
       :: else -> break
       od;
       at = 0;
       do
       :: at <= TERMS -> VOTE(at, 2) = 0; at++
       :: else -> break
       od;
       candidate[2] = false; logLen[2] = 0; term[2] = 0; commit[2] = 0; at = 0
#else
       alive[2] = false
#endif
    :: losses == 1 && ok && r != 2 -> losses = 2; alive[r] = false
    :: else
    fi
  }
}

inline choose(x) {
  if
  :: x = 0
  :: x = 1
  :: x = 2
  :: x = 3
  fi
}

#define CAMPAIGNS(x) (alive[x] && candidate[x])
#define LEADS(x) (alive[x] && term[x] > 0 && leader[term[x]] == x)
#define RESET c = 0; l = 0; r = 0; t = 0; voters = 0; size = 0; ok = false

#define STEPS_OF(x) \
  :: atomic { alive[x] && term[x] < TERMS -> c = x; campaign(); RESET } \
  :: atomic { CAMPAIGNS(x) -> c = x; choose(r); giveVote(); RESET } \
  :: atomic { CAMPAIGNS(x) -> c = x; win(); RESET } \
  :: atomic { LEADS(x) && logLen[x] < LENGTH -> l = x; appendEntry(DATA); RESET } \
  :: atomic { LEADS(x) -> l = x; choose(r); replicate(); RESET } \
  :: atomic { LEADS(x) && commit[x] < logLen[x] -> l = x; commitNext(); RESET }

#define REPAIRS_OF(x) \
  :: atomic { LEADS(x) && logLen[x] < LENGTH && losses > 0 -> l = x; appendEntry(REMOVE); RESET } \
  :: atomic { LEADS(x) && logLen[x] < LENGTH && losses > 0 -> l = x; appendEntry(PROMOTE); RESET }

active proctype system() {
  alive[0] = true; alive[1] = true; alive[2] = true; alive[3] = true;
  d_step {
    do
    :: t <= TERMS -> leader[t] = NOBODY; t++
    :: else -> break
    od;
    t = 0
  }
  do
  STEPS_OF(0)
  STEPS_OF(1)
#ifndef TWO_CANDIDATES
  STEPS_OF(2)
#endif
#ifndef NO_REPAIR
  STEPS_OF(3)
  REPAIRS_OF(0)
  REPAIRS_OF(1)
  REPAIRS_OF(2)
  REPAIRS_OF(3)
  :: atomic { losses < 2 -> choose(r); loseDisk(); RESET }
#endif
  od
}
