/* Change of owner of one cold backend server between gateways 0 and 1, see section 5.4 of docs/design.md. Messages can
 * be delayed or lost. The owner's right to send expires SEND_RIGHT_LIFETIME units after it sent the newest grant that
 * the server echoed; the server changes owner SWITCH_AFTER units after the last answer that it received. Grant numbers
 * are unique across both gateways.
 */
#define SEND_RIGHT_LIFETIME 2
#define SWITCH_AFTER 3
#define MAX_GRANTS 5

byte owner;
byte lastGrant;                /* number of the last grant that a gateway issued */
byte receivedGrant;            /* newest grant that the server received from its owner; 0 for none */
byte answerAge;                /* time since the server last received an answer, at most SWITCH_AFTER */
byte sentAge[MAX_GRANTS + 1];  /* by grant: time since it was sent, at most SEND_RIGHT_LIFETIME */
byte sendRightLeft[2];         /* by gateway: time until the right to send expires */
byte gateway, grant;           /* scratch variables */
chan renewals[2] = [2] of { byte };        /* by gateway: echoed grant, 0 for none */
chan grantsSent = [2] of { byte, byte };   /* gateway, grant */

/* at most one gateway has the right to send to the cold server */
inline checkSingleSender() { assert(sendRightLeft[0] == 0 || sendRightLeft[1] == 0) }

inline tick() {
  d_step {
    answerAge = (answerAge < SWITCH_AFTER -> answerAge + 1 : SWITCH_AFTER);
    sendRightLeft[0] = (sendRightLeft[0] > 0 -> sendRightLeft[0] - 1 : 0);
    sendRightLeft[1] = (sendRightLeft[1] > 0 -> sendRightLeft[1] - 1 : 0);
    grant = 1;
    do
    :: grant <= lastGrant ->
       sentAge[grant] = (sentAge[grant] < SEND_RIGHT_LIFETIME -> sentAge[grant] + 1 : SEND_RIGHT_LIFETIME); grant++
    :: else -> break
    od;
    grant = 0
  }
}

/* gateway x handles a renewal that echoes the grant, and answers with a new grant */
inline handleRenewal(x) {
  d_step {
#ifdef BROKEN_SEND_RIGHT_FROM_ECHO
    if
    :: grant > 0 -> sendRightLeft[x] = SEND_RIGHT_LIFETIME
    :: else
    fi;
#else
    if
    :: grant > 0 && SEND_RIGHT_LIFETIME - sentAge[grant] > sendRightLeft[x] ->
       sendRightLeft[x] = SEND_RIGHT_LIFETIME - sentAge[grant]
    :: else
    fi;
#endif
    if
    :: lastGrant < MAX_GRANTS && nfull(grantsSent) ->
       lastGrant++; sentAge[lastGrant] = 0; grantsSent!x,lastGrant;
#ifdef BROKEN_SEND_RIGHT_FROM_GRANT
       sendRightLeft[x] = SEND_RIGHT_LIFETIME
#endif
    :: else
    fi;
    grant = 0
  };
  checkSingleSender()
}

active proctype system() {
  do
  :: tick()
  :: nfull(renewals[owner]) -> renewals[owner]!receivedGrant
  :: nempty(renewals[0]) -> renewals[0]?_
  :: nempty(renewals[1]) -> renewals[1]?_
  :: nempty(grantsSent) -> grantsSent?_,_
  :: nempty(renewals[0]) -> atomic { renewals[0]?grant; handleRenewal(0) }
  :: nempty(renewals[1]) -> atomic { renewals[1]?grant; handleRenewal(1) }
  /* the server accepts answers only from its current owner */
  :: nempty(grantsSent) -> atomic {
       grantsSent?gateway,grant;
       if
       :: gateway == owner -> answerAge = 0; receivedGrant = (grant > receivedGrant -> grant : receivedGrant)
       :: else
       fi;
       gateway = 0; grant = 0 }
#ifdef BROKEN_SWITCH_EARLY
  :: answerAge >= 1 -> atomic { owner = 1 - owner; receivedGrant = 0; answerAge = 0 }
#else
  :: answerAge == SWITCH_AFTER -> atomic { owner = 1 - owner; receivedGrant = 0; answerAge = 0 }
#endif
  od
}
