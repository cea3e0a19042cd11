/* Approvals of candidates (section 5.10). Members 0 and 1 exist at first, 2 and 3 are candidates. Texts are numbered.
 * The machine decides by its own records; the assertions use given, which holds the text that each member approved last.
 */
#define N 4
#define TEXTS 2
#define CHANGES 9

bool member[N], pending[N];
byte text[N];
byte given[N * N];     /* by member and candidate: the approved text */
bool approved[N * N];  /* the machine's record */
byte votes[N];         /* used by a broken variant: approvals counted, not members */
byte required[N];      /* used by a broken variant: members at submission, as bits */
byte changes, m, c, i, missing;

inline bits(result) { result = member[0] + 2 * member[1] + 4 * member[2] + 8 * member[3] }

/* forgets approvals of candidate c */
inline cancel() {
  i = 0;
  do
  :: i < N -> approved[i * N + c] = false; i++
  :: else -> break
  od;
  votes[c] = 0; i = 0
}

/* the machine accepts candidate c if nothing is missing; then the assertions */
inline decide() {
  missing = 0; i = 0;
  do
  :: i < N ->
#ifdef BROKEN_MEMBERS_AT_SUBMISSION
     missing = missing + (((required[c] >> i) & 1) && member[i] && !approved[i * N + c]);
#else
#ifdef BROKEN_LEFT_STILL_REQUIRED
     missing = missing + (((required[c] >> i) & 1 || member[i]) && !approved[i * N + c]);
#else
     missing = missing + (member[i] && !approved[i * N + c]);
#endif
#endif
     i++
  :: else -> break
  od;
#ifdef BROKEN_COUNT_REPEATS
  missing = (votes[c] < member[0] + member[1] + member[2] + member[3]);
#endif
  i = 0;
  if
  :: pending[c] && missing == 0 ->
     do
     :: i < N -> assert(!member[i] || given[i * N + c] == text[c]); i++ /* nobody joins without every member's consent */
     :: else -> break
     od;
     member[c] = true; pending[c] = false
  :: pending[c] && missing > 0 ->
     missing = 0;
     do
     :: i < N -> missing = missing + (member[i] && given[i * N + c] != text[c]); i++
     :: else -> break
     od;
     assert(missing > 0) /* a candidate with all consents is not kept waiting */
  :: else
  fi;
  i = 0; missing = 0
}

inline decideAll() {
  c = 2; decide(); c = 3; decide(); c = 2; decide(); c = 0
}

active proctype system() {
  member[0] = true; member[1] = true;
  do
  /* submit or edit a candidate */
  :: changes < CHANGES -> atomic {
       changes++;
       if
       :: c = 2
       :: c = 3
       fi;
       if
       :: !member[c] && text[c] < TEXTS ->
          d_step {
          if
          :: !pending[c] -> bits(required[c])
          :: else
          fi;
          text[c] = text[c] + 1; pending[c] = true;
#ifndef BROKEN_EDIT_KEEPS_APPROVALS
          cancel();
#endif
          decideAll() }
       :: else
       fi;
       c = 0 }
  /* a member approves the text as it is now; also again */
  :: changes < CHANGES -> atomic {
       changes++;
       if
       :: m = 0
       :: m = 1
       :: m = 2
       :: m = 3
       fi;
       if
       :: c = 2
       :: c = 3
       fi;
       d_step {
       if
       :: member[m] && pending[c] && m != c ->
          given[m * N + c] = text[c]; approved[m * N + c] = true; votes[c] = votes[c] + 1;
          decideAll()
       :: else
       fi;
       m = 0; c = 0 } }
  /* a member leaves; the last one cannot */
  :: changes < CHANGES -> atomic {
       changes++;
       if
       :: m = 0
       :: m = 1
       :: m = 2
       fi;
       d_step {
       if
       :: member[m] && member[0] + member[1] + member[2] + member[3] > 1 -> member[m] = false; decideAll()
       :: else
       fi;
       m = 0 } }
  od
}
