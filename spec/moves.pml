/* A move: advancing, taking back, finishing, cancelling, under a partition
 * and an outage of the log.
 *
 * Two nodes hold grow-only facts (step and taken back) that merge when the
 * nodes can reach each other, and read outcomes from the log when it is up.
 * Checked: a node that knows of the taking back sends the new version nothing;
 * taking back is never undone while the move is open; all nodes come to the
 * same end, which is the first outcome on the log; the step never falls.
 *
 * Bounds: 2 nodes, 2 steps, 1 partition, 1 outage, 1 operator. Each rule is
 * broken by two nodes that disagree once.
 *
 * Mutations, each of which must be refuted:
 *   FORGET_TAKEN_BACK   merging takes the other's fact instead of the larger
 *   LAST_OUTCOME_WINS   the last outcome on the log is taken, not the first
 *   SHARE_FIRST         the share is decided without looking at taking back
 */
#define NODES 2
#define LAST_STEP 2
mtype = { Open, Finished, TakenBack, Cancelled };

byte step[NODES];
bool takenBack[NODES];
bool everTakenBack[NODES];
mtype seen[NODES] = Open;    /* outcome read from the log */
mtype outcome = Open;        /* first outcome on the log */
byte outcomes = 0;
bool connected = true;
bool logUp = true;
byte cuts = 1;
byte downs = 1;
bool bad;

inline append(kind) {
  if
  :: outcome == Open -> outcome = kind
#ifdef LAST_OUTCOME_WINS
  :: outcome != Open -> outcome = kind
#else
  :: else
#endif
  fi;
  outcomes++
}

proctype Node(byte n) {
  byte peer = 1 - n;
  do
  /* The evidence allows the next step. */
  :: atomic { seen[n] == Open && !takenBack[n] && step[n] < LAST_STEP ->
       step[n]++
     }
  /* The evidence shows harm. */
  :: atomic { seen[n] == Open && bad && step[n] > 0 && !takenBack[n] ->
       takenBack[n] = true;
       everTakenBack[n] = true
     }
  /* Facts merge. */
  :: atomic { connected && (step[peer] > step[n] ||
                            takenBack[peer] != takenBack[n]) ->
       step[n] = (step[peer] > step[n] -> step[peer] : step[n]);
#ifdef FORGET_TAKEN_BACK
       takenBack[n] = takenBack[peer];
#else
       takenBack[n] = takenBack[n] || takenBack[peer];
#endif
       everTakenBack[n] = everTakenBack[n] || takenBack[n];
       assert(takenBack[n] == everTakenBack[n])
     }
  /* Outcomes are written when the log is up, by any node. */
  :: atomic { logUp && seen[n] == Open && takenBack[n] && outcomes < 3 ->
       append(TakenBack)
     }
  :: atomic { logUp && seen[n] == Open && step[n] == LAST_STEP &&
              !takenBack[n] && outcomes < 3 ->
       append(Finished)
     }
  /* The log is read. */
  :: atomic { logUp && outcome != Open && seen[n] != outcome ->
       assert(seen[n] == Open);
       seen[n] = outcome
     }
  /* A call is sent to the new version. */
  :: atomic { seen[n] == Open && step[n] > 0 ->
#ifndef SHARE_FIRST
       if
       :: !takenBack[n] ->
#endif
          assert(!everTakenBack[n])
#ifndef SHARE_FIRST
       :: else
       fi
#endif
     }
  :: atomic { seen[n] != Open && seen[peer] != Open ->
       assert(seen[0] == seen[1]);
       break
     }
  od
}

proctype Operator() {
  if
  :: atomic { logUp && outcomes < 3 -> append(Cancelled) }
  :: skip
  fi
}

proctype Failures() {
  do
  :: atomic { cuts > 0 && connected -> cuts--; connected = false }
  :: atomic { !connected -> connected = true }
  :: atomic { downs > 0 && logUp -> downs--; logUp = false }
  :: atomic { !logUp -> logUp = true }
  :: atomic { connected && logUp -> break }
  od
}

init {
  atomic {
    if :: bad = true :: bad = false fi;
    run Node(0);
    run Node(1);
    run Operator();
    run Failures()
  }
}

ltl oneEnd { [] ((seen[0] == Open) || (seen[1] == Open) || (seen[0] == seen[1])) }
