/* Approvals of candidates, see section 5.10 of docs/design.md. Initially 0 and 1 are members, 2 and 3 are candidates.
 * Each edit of a candidate's text increments its version. The state machine decides by approvalRecorded; the assertions
 * use lastApproved, which holds the version that each member approved last.
 */
#define MAX_MEMBERS 4
#define MAX_VERSION 2
#define MAX_CHANGES 9

bool member[MAX_MEMBERS], pending[MAX_MEMBERS];
byte version[MAX_MEMBERS];
byte lastApproved[MAX_MEMBERS * MAX_MEMBERS];      /* by member and candidate: version approved last */
bool approvalRecorded[MAX_MEMBERS * MAX_MEMBERS];  /* by member and candidate: approval in the state machine */
byte approvalCount[MAX_MEMBERS];        /* approvals by candidate, with repeated ones; read by a broken variant only */
byte membersAtSubmission[MAX_MEMBERS];  /* members at submission by candidate, as bits; read by broken variants only */
byte changes;
byte m, c, i;  /* member, candidate, loop index */
byte missing;  /* approvals that the candidate lacks */

inline memberBits(result) { result = member[0] + 2 * member[1] + 4 * member[2] + 8 * member[3] }

/* discards the approvals of candidate c */
inline clearApprovals() {
  i = 0;
  do
  :: i < MAX_MEMBERS -> approvalRecorded[i * MAX_MEMBERS + c] = false; i++
  :: else -> break
  od;
  approvalCount[c] = 0; i = 0
}

/* the state machine accepts candidate c if no approval is missing; the assertions check the decision */
inline acceptIfApproved() {
  missing = 0; i = 0;
  do
  :: i < MAX_MEMBERS ->
#ifdef BROKEN_MEMBERS_AT_SUBMISSION
     missing = missing + (((membersAtSubmission[c] >> i) & 1) && member[i] && !approvalRecorded[i * MAX_MEMBERS + c]);
#else
#ifdef BROKEN_LEFT_STILL_REQUIRED
     missing = missing + (((membersAtSubmission[c] >> i) & 1 || member[i]) && !approvalRecorded[i * MAX_MEMBERS + c]);
#else
     missing = missing + (member[i] && !approvalRecorded[i * MAX_MEMBERS + c]);
#endif
#endif
     i++
  :: else -> break
  od;
#ifdef BROKEN_COUNT_REPEATED_APPROVALS
  missing = (approvalCount[c] < member[0] + member[1] + member[2] + member[3]);
#endif
  i = 0;
  if
  :: pending[c] && missing == 0 ->
     do
     :: i < MAX_MEMBERS ->
        /* no candidate joins without the approval of every member */
        assert(!member[i] || lastApproved[i * MAX_MEMBERS + c] == version[c]);
        i++
     :: else -> break
     od;
     member[c] = true; pending[c] = false
  :: pending[c] && missing > 0 ->
     missing = 0;
     do
     :: i < MAX_MEMBERS -> missing = missing + (member[i] && lastApproved[i * MAX_MEMBERS + c] != version[c]); i++
     :: else -> break
     od;
     assert(missing > 0) /* a candidate that all members approved does not stay pending */
  :: else
  fi;
  i = 0; missing = 0
}

inline acceptAllApproved() {
  c = 2; acceptIfApproved(); c = 3; acceptIfApproved(); c = 2; acceptIfApproved(); c = 0
}

active proctype system() {
  member[0] = true; member[1] = true;
  do
  /* submit or edit a candidate */
  :: changes < MAX_CHANGES -> atomic {
       changes++;
       if
       :: c = 2
       :: c = 3
       fi;
       if
       :: !member[c] && version[c] < MAX_VERSION ->
          d_step {
          if
          :: !pending[c] -> memberBits(membersAtSubmission[c])
          :: else
          fi;
          version[c] = version[c] + 1; pending[c] = true;
#ifndef BROKEN_EDIT_KEEPS_APPROVALS
          clearApprovals();
#endif
          acceptAllApproved() }
       :: else
       fi;
       c = 0 }
  /* a member approves the current version, possibly repeatedly */
  :: changes < MAX_CHANGES -> atomic {
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
          lastApproved[m * MAX_MEMBERS + c] = version[c];
          approvalRecorded[m * MAX_MEMBERS + c] = true; approvalCount[c] = approvalCount[c] + 1;
          acceptAllApproved()
       :: else
       fi;
       m = 0; c = 0 } }
  /* a member leaves; the last member cannot */
  :: changes < MAX_CHANGES -> atomic {
       changes++;
       if
       :: m = 0
       :: m = 1
       :: m = 2
       fi;
       d_step {
       if
       :: member[m] && member[0] + member[1] + member[2] + member[3] > 1 -> member[m] = false; acceptAllApproved()
       :: else
       fi;
       m = 0 } }
  od
}
