/* Claims: a keyed request runs at most once.
 *
 * Two nodes get the same key, each possibly again. A claim is appended to the
 * log, the answer to the append may be lost, the node may crash at any step,
 * and the log may have expired the records when the key is too old. Checked:
 * the request runs at most once; who is told "not run" is told the truth; a
 * repeated answer is the first one's.
 *
 * Bounds: 2 nodes, 2 attempts each, 1 crash of each, 2 lost answers. A second
 * run needs two attempts and one loss or crash between them.
 *
 * Mutations, each of which must be refuted:
 *   NO_READ_BACK    an attempt runs as soon as its append is answered
 *   RUN_UNANSWERED  an attempt runs although its append was not answered
 *   RELEASE_RUN     an attempt that may have run releases its claim
 *   RETRY_BLINDLY   a claim without a result is taken over
 */
#define NODES 2
#define ATTEMPTS 4   /* attempt a belongs to node a % NODES */
#define NONE 255

byte holder = NONE;          /* fold of the log */
bool claimed[ATTEMPTS];      /* on the log */
bool released[ATTEMPTS];
bool resultKnown = false;
byte runs = 0;
byte lossesLeft = 2;
byte crashesLeft = 2;
bool toldNotRun[ATTEMPTS];
bool ran[ATTEMPTS];
bool mayRun[ATTEMPTS];

inline appendClaim(a) {
  claimed[a] = true;
  if
  :: holder == NONE -> holder = a
  :: else
  fi
}

inline release(a) {
  released[a] = true;
  if
  :: holder == a && !resultKnown -> holder = NONE
  :: else
  fi
}

proctype Attempt(byte a) {
  bool answered = false;
  /* Append; the claim may take effect without an answer, or not at all. */
  atomic {
    if
    :: appendClaim(a); answered = true
    :: lossesLeft > 0 -> lossesLeft--; appendClaim(a)
    :: lossesLeft > 0 -> lossesLeft--
    fi
  };
  /* A crash between the claim and the run. */
  if
  :: atomic { crashesLeft > 0 -> crashesLeft--; goto crashed }
  :: skip
  fi;
  if
#ifndef RUN_UNANSWERED
  :: !answered ->
     /* Never runs; the claim is released when it turns up. */
     atomic { toldNotRun[a] = true; if :: claimed[a] -> release(a) :: else fi };
     goto finished
#endif
  :: else -> skip
  fi;
  /* Read back. */
  if
#ifdef NO_READ_BACK
  :: true -> mayRun[a] = true
#else
  :: atomic { holder == a && !resultKnown -> mayRun[a] = true }
#ifdef RETRY_BLINDLY
  :: atomic { holder != a && !resultKnown -> holder = a; mayRun[a] = true }
#endif
#ifdef RUN_UNANSWERED
  :: atomic { !claimed[a] -> mayRun[a] = true }
#endif
  :: atomic { holder != a || resultKnown ->
       /* Held by another or repeated: told "unknown" or the first answer. */
       goto finished
     }
#endif
  fi;
  /* Run; the connection may be refused before anything is sent. */
  if
  :: atomic { mayRun[a] -> runs++; ran[a] = true; assert(runs <= 1) };
     if
     :: atomic { crashesLeft > 0 -> crashesLeft--; goto crashed }
     /* The answer came; the result is recorded. */
     :: atomic { holder == a -> resultKnown = true }
     /* The answer was lost: told "unknown", the claim stays. */
     :: skip;
#ifdef RELEASE_RUN
        atomic { release(a) }
#endif
     fi
  :: atomic { mayRun[a] -> toldNotRun[a] = true; release(a) }
  fi;
  goto finished;
crashed:
  skip;
finished:
  assert(!(toldNotRun[a] && ran[a]))
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

ltl atMostOnce { [] (runs <= 1) }
