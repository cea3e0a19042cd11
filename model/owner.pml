/* Change of owner of one cold backend server (section 5.4). Gateways 0 and 1; messages can be late or lost. The right
 * of an owner lasts RIGHT units after it sent the newest grant that the server echoed; the server changes owner SWITCH
 * units after its last answer. Grant numbers are unique over both gateways.
 */
#define RIGHT 2
#define SWITCH 3
#define GRANTS 5

byte owner, grants, newest;
byte answerAge;            /* since the server's last answer, at most SWITCH */
byte sentAge[GRANTS + 1];  /* since the grant was sent, at most RIGHT */
byte rightLeft[2];         /* until the right ends */
byte g, e;
chan renewals[2] = [2] of { byte };        /* echoed grant; 0 for none */
chan grantsSent = [2] of { byte, byte };   /* gateway, grant */

inline checkOwners() { assert(rightLeft[0] == 0 || rightLeft[1] == 0) }

inline tick() {
  d_step {
    answerAge = (answerAge < SWITCH -> answerAge + 1 : SWITCH);
    rightLeft[0] = (rightLeft[0] > 0 -> rightLeft[0] - 1 : 0);
    rightLeft[1] = (rightLeft[1] > 0 -> rightLeft[1] - 1 : 0);
    e = 1;
    do
    :: e <= grants -> sentAge[e] = (sentAge[e] < RIGHT -> sentAge[e] + 1 : RIGHT); e++
    :: else -> break
    od;
    e = 0
  }
}

/* gateway x handles a renewal that echoes e, and answers with a new grant */
inline renewed(x) {
  d_step {
#ifdef BROKEN_RIGHT_FROM_ECHO
    if
    :: e > 0 -> rightLeft[x] = RIGHT
    :: else
    fi;
#else
    if
    :: e > 0 && RIGHT - sentAge[e] > rightLeft[x] -> rightLeft[x] = RIGHT - sentAge[e]
    :: else
    fi;
#endif
    if
    :: grants < GRANTS && nfull(grantsSent) ->
       grants++; sentAge[grants] = 0; grantsSent!x,grants;
#ifdef BROKEN_RIGHT_FROM_SENT
       rightLeft[x] = RIGHT
#endif
    :: else
    fi;
    e = 0
  };
  checkOwners()
}

active proctype system() {
  do
  :: tick()
  :: nfull(renewals[owner]) -> renewals[owner]!newest
  :: nempty(renewals[0]) -> renewals[0]?_
  :: nempty(renewals[1]) -> renewals[1]?_
  :: nempty(grantsSent) -> grantsSent?_,_
  :: nempty(renewals[0]) -> atomic { renewals[0]?e; renewed(0) }
  :: nempty(renewals[1]) -> atomic { renewals[1]?e; renewed(1) }
  /* the server takes answers of its present owner only */
  :: nempty(grantsSent) -> atomic {
       grantsSent?g,e;
       if
       :: g == owner -> answerAge = 0; newest = (e > newest -> e : newest)
       :: else
       fi;
       g = 0; e = 0 }
#ifdef BROKEN_SWITCH_EARLY
  :: answerAge >= 1 -> atomic { owner = 1 - owner; newest = 0; answerAge = 0 }
#else
  :: answerAge == SWITCH -> atomic { owner = 1 - owner; newest = 0; answerAge = 0 }
#endif
  od
}
