/* Claims of one idempotency key, see section 5.5 of docs/design.md. A caller sends the same request through gateways 0
 * and 1, up to ATTEMPTS_PER_GATEWAY times each. Each attempt claims the key for itself. Claims, responses and
 * completions can be delayed or lost; gateways can crash.
 */
#define GATEWAYS 2
#define ATTEMPTS_PER_GATEWAY 2
#define ATTEMPTS 4 /* gateway * ATTEMPTS_PER_GATEWAY + attempt */
#define NO_HOLDER 9

/* states of an attempt */
#define IDLE 0
#define CLAIM_REQUESTED 1
#define CLAIM_GRANTED 2
#define REQUEST_SENT 3
#define ENDED 4

byte holder = NO_HOLDER;  /* attempt that holds the claim according to the log of the claim group */
bool completedAsRan;      /* the claim has been completed with the outcome that the request ran */
byte state[ATTEMPTS];
bool claimSent[ATTEMPTS], grantSent[ATTEMPTS], notRunReported[ATTEMPTS];
bool executed[ATTEMPTS];
byte executions;
byte attempt;  /* chosen by chooseAttempt, 0 between steps */

inline chooseAttempt() {
  if
  :: attempt = 0
  :: attempt = 1
  :: attempt = 2
  :: attempt = 3
  fi
}

/* the backend server runs the request, which may happen at most once over all attempts */
inline execute() { executions++; executed[attempt] = true; assert(executions <= 1) }

active proctype system() {
  do
  :: atomic { chooseAttempt();
       if
       :: state[attempt] == IDLE -> state[attempt] = CLAIM_REQUESTED; claimSent[attempt] = true
       :: else
       fi; attempt = 0 }
#ifdef BROKEN_SEND_BEFORE_CLAIM
  :: atomic { chooseAttempt();
       if
       :: state[attempt] == CLAIM_REQUESTED -> state[attempt] = REQUEST_SENT; execute()
       :: else
       fi; attempt = 0 }
#endif
  /* the group commits a claim; a repeated claim by the holder is granted again, but the holder uses one grant only */
  :: atomic { chooseAttempt();
       if
       :: claimSent[attempt] && !completedAsRan && (holder == NO_HOLDER || holder == attempt) ->
          holder = attempt; grantSent[attempt] = true
       :: else
       fi; attempt = 0 }
  :: atomic { chooseAttempt();
       if
       :: grantSent[attempt] && state[attempt] == CLAIM_REQUESTED -> state[attempt] = CLAIM_GRANTED
       :: else
       fi; attempt = 0 }
  /* the gateway sends the first byte of the request; the backend server runs the request or refuses it */
  :: atomic { chooseAttempt();
       if
       :: state[attempt] == CLAIM_GRANTED -> state[attempt] = REQUEST_SENT; execute()
       :: state[attempt] == CLAIM_GRANTED ->
          state[attempt] = ENDED; notRunReported[attempt] = true; claimSent[attempt] = false
       :: else
       fi; attempt = 0 }
  /* a response completes the claim with the outcome that the request ran; without one the outcome stays unknown */
  :: atomic { chooseAttempt();
       if
       :: state[attempt] == REQUEST_SENT && holder == attempt -> state[attempt] = ENDED; completedAsRan = true
       :: state[attempt] == REQUEST_SENT ->
          state[attempt] = ENDED;
#ifdef BROKEN_UNKNOWN_AS_NOT_RUN
          notRunReported[attempt] = true; claimSent[attempt] = false
#endif
       :: else
       fi; attempt = 0 }
  /* a delayed completion with the outcome "not run" releases the key, but only if its attempt still holds the key */
  :: atomic { chooseAttempt();
       if
#ifdef BROKEN_ANY_ATTEMPT_RELEASES_KEY
       :: notRunReported[attempt] && !completedAsRan -> holder = NO_HOLDER
#else
       :: notRunReported[attempt] && !completedAsRan && holder == attempt -> holder = NO_HOLDER
#endif
       :: else
       fi; attempt = 0 }
  /* the gateway crashes: the attempt ends, its claim remains */
  :: atomic { chooseAttempt();
       if
       :: state[attempt] != ENDED ->
          state[attempt] = ENDED;
#ifdef BROKEN_CRASH_RELEASES_KEY
          if
          :: holder == attempt -> holder = NO_HOLDER; claimSent[attempt] = false
          :: else
          fi
#endif
       :: else
       fi; attempt = 0 }
  od
}
