/* Claims: a keyed request runs at most once.
 *
 * Two nodes receive requests with the same key, each possibly more than once.
 * An attempt appends a claim to the log. The response to the append may be
 * lost, the node may crash at any step, and the log may have expired the
 * records if the key is too old. The model checks:
 *  - The request runs at most once.
 *  - If an attempt reports "not run", it has not run the request.
 *  - A repeated response is that of the first run.
 *
 * Bounds: 2 nodes with 2 attempts each, 2 crashes, 2 lost append responses. A
 * second run needs two attempts and one loss or crash between them.
 *
 * Mutations, each of which must be refuted:
 *   NO_READ_BACK    an attempt runs without reading the log back
 *   RUN_UNANSWERED  an attempt runs although its append was not acknowledged
 *   RELEASE_RUN     an attempt that may have run releases its claim
 *   RETRY_BLINDLY   an attempt takes over a claim that has no result
 */
#define NODES 2
#define ATTEMPTS 4   /* attempt `a` belongs to node `a % NODES` */
#define NONE 255

byte holder = NONE;          /* attempt that may run, derived from the log */
bool claimOnLog[ATTEMPTS];
bool releaseOnLog[ATTEMPTS];
bool resultOnLog = false;
byte runCount = 0;
byte lossesLeft = 2;
byte crashesLeft = 2;
bool reportedNotRun[ATTEMPTS];
bool ran[ATTEMPTS];
bool mayRun[ATTEMPTS];

inline appendClaim(a) {
  claimOnLog[a] = true;
  if
  :: holder == NONE -> holder = a
  :: else
  fi
}

inline release(a) {
  releaseOnLog[a] = true;
  if
  :: holder == a && !resultOnLog -> holder = NONE
  :: else
  fi
}

proctype Attempt(byte a) {
  bool acknowledged = false;
  /* Append the claim. If the response is lost, the claim may or may not be on
     the log. */
  atomic {
    if
    :: appendClaim(a); acknowledged = true
    :: lossesLeft > 0 -> lossesLeft--; appendClaim(a)
    :: lossesLeft > 0 -> lossesLeft--
    fi
  };
  /* The node may crash between the claim and the run. */
  if
  :: atomic { crashesLeft > 0 -> crashesLeft--; goto crashed }
  :: skip
  fi;
  if
#ifndef RUN_UNANSWERED
  :: !acknowledged ->
     /* Never runs. Releases the claim if it is on the log after all. */
     atomic {
       reportedNotRun[a] = true;
       if :: claimOnLog[a] -> release(a) :: else fi
     };
     goto finished
#endif
  :: else -> skip
  fi;
  /* Read the log back. */
  if
#ifdef NO_READ_BACK
  :: true -> mayRun[a] = true
#else
  :: atomic { holder == a && !resultOnLog -> mayRun[a] = true }
#ifdef RETRY_BLINDLY
  :: atomic { holder != a && !resultOnLog -> holder = a; mayRun[a] = true }
#endif
#ifdef RUN_UNANSWERED
  :: atomic { !claimOnLog[a] -> mayRun[a] = true }
#endif
  :: atomic { holder != a || resultOnLog ->
       /* Another attempt holds the key, or the request has already run: reports
          "unknown" or repeats the first response. */
       goto finished
     }
#endif
  fi;
  /* Run, unless the connection is refused before anything is sent. */
  if
  :: atomic { mayRun[a] -> runCount++; ran[a] = true; assert(runCount <= 1) };
     if
     :: atomic { crashesLeft > 0 -> crashesLeft--; goto crashed }
     /* The response came back: append the result. */
     :: atomic { holder == a -> resultOnLog = true }
     /* The response was lost: reports "unknown" and keeps the claim. */
     :: skip;
#ifdef RELEASE_RUN
        atomic { release(a) }
#endif
     fi
  :: atomic { mayRun[a] -> reportedNotRun[a] = true; release(a) }
  fi;
  goto finished;
crashed:
  skip;
finished:
  assert(!(reportedNotRun[a] && ran[a]))
}

init {
  byte a = 0;
  atomic {
    do
    :: a < ATTEMPTS -> run Attempt(a); a++
    :: else -> break
    od
  }
}

ltl atMostOnce { [] (runCount <= 1) }
