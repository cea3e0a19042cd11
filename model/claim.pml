/* Claims of one idempotency key (section 5.5). A caller sends the same request through gateways 0 and 1, each up to
 * ATTEMPTS times. An attempt is a holder. Claims, answers and completions can be late or lost; gateways crash.
 */
#define G 2
#define ATTEMPTS 2
#define HOLDERS 4 /* gateway * ATTEMPTS + attempt */
#define NOBODY 9

/* states of an attempt */
#define IDLE 0
#define ASKED 1
#define GRANTED 2
#define SENT 3
#define ENDED 4

byte holder = NOBODY;  /* the claim in the group's log */
bool ran;              /* completed as ran */
byte state[HOLDERS];
bool claimSent[HOLDERS], grantSent[HOLDERS], notRunSent[HOLDERS];
bool maybeRan[HOLDERS];
byte runs, h;

inline anyHolder() {
  if
  :: h = 0
  :: h = 1
  :: h = 2
  :: h = 3
  fi
}

/* the backend server runs the request; at most once in total */
inline execute() { runs++; maybeRan[h] = true; assert(runs <= 1) }

active proctype system() {
  do
  :: atomic { anyHolder();
       if
       :: state[h] == IDLE -> state[h] = ASKED; claimSent[h] = true
       :: else
       fi; h = 0 }
#ifdef BROKEN_SEND_BEFORE_CLAIM
  :: atomic { anyHolder();
       if
       :: state[h] == ASKED -> state[h] = SENT; execute()
       :: else
       fi; h = 0 }
#endif
  /* the group commits a claim; a repeat by the same holder is granted again, which the holder uses once */
  :: atomic { anyHolder();
       if
       :: claimSent[h] && !ran && (holder == NOBODY || holder == h) -> holder = h; grantSent[h] = true
       :: else
       fi; h = 0 }
  :: atomic { anyHolder();
       if
       :: grantSent[h] && state[h] == ASKED -> state[h] = GRANTED
       :: else
       fi; h = 0 }
  /* the gateway writes the first byte; the backend server runs the request or refuses it */
  :: atomic { anyHolder();
       if
       :: state[h] == GRANTED -> state[h] = SENT; execute()
       :: state[h] == GRANTED -> state[h] = ENDED; notRunSent[h] = true; claimSent[h] = false
       :: else
       fi; h = 0 }
  /* an answer completes the claim as ran; without an answer the outcome stays unknown */
  :: atomic { anyHolder();
       if
       :: state[h] == SENT && holder == h -> state[h] = ENDED; ran = true
       :: state[h] == SENT ->
          state[h] = ENDED;
#ifdef BROKEN_UNKNOWN_AS_NOT_RUN
          notRunSent[h] = true; claimSent[h] = false
#endif
       :: else
       fi; h = 0 }
  /* a late completion as not run frees the key, but only for the attempt that holds it */
  :: atomic { anyHolder();
       if
#ifdef BROKEN_ANY_HOLDER_FREES
       :: notRunSent[h] && !ran -> holder = NOBODY
#else
       :: notRunSent[h] && !ran && holder == h -> holder = NOBODY
#endif
       :: else
       fi; h = 0 }
  /* crash: the attempt ends, its claim stays */
  :: atomic { anyHolder();
       if
       :: state[h] != ENDED ->
          state[h] = ENDED;
#ifdef BROKEN_CRASH_FREES
          if
          :: holder == h -> holder = NOBODY; claimSent[h] = false
          :: else
          fi
#endif
       :: else
       fi; h = 0 }
  od
}
