/* A move: advancing, rolling back, finishing and cancelling, during a network
 * partition and an outage of the log.
 *
 * Two nodes hold grow-only facts (the step, and whether the move was rolled
 * back) that merge while the nodes can reach each other. They read outcomes
 * from the log while it is available. The model checks:
 *  - A node that knows of a rollback sends no calls to the new version.
 *  - A rollback is never undone while the move is open.
 *  - All nodes reach the same outcome, which is the first one on the log.
 *  - The step never decreases.
 *
 * Bounds: 2 nodes, 2 steps, 1 partition, 1 outage, 1 operator. To violate any
 * of the rules, it is enough that the two nodes disagree once.
 *
 * Mutations, each of which must be refuted:
 *   FORGET_TAKEN_BACK   merging takes the peer's fact instead of the larger one
 *   LAST_OUTCOME_WINS   the last outcome on the log counts instead of the first
 *   SHARE_FIRST         the share is decided without checking for a rollback
 */
#define NODES 2
#define LAST_STEP 2
mtype = { Open, Finished, RolledBack, Cancelled };

byte step[NODES];
bool rolledBack[NODES];
bool everRolledBack[NODES];
mtype readOutcome[NODES] = Open; /* outcome that the node read from the log */
mtype logOutcome = Open;         /* outcome on the log that counts: the first */
byte outcomeCount = 0;
bool connected = true;
bool logUp = true;
byte partitionsLeft = 1;
byte outagesLeft = 1;
bool badVersion;

inline appendOutcome(kind) {
  if
  :: logOutcome == Open -> logOutcome = kind
#ifdef LAST_OUTCOME_WINS
  :: logOutcome != Open -> logOutcome = kind
#else
  :: else
#endif
  fi;
  outcomeCount++
}

proctype Node(byte n) {
  byte peer = 1 - n;
  do
  /* The evidence allows the next step. */
  :: atomic { readOutcome[n] == Open && !rolledBack[n] && step[n] < LAST_STEP ->
       step[n]++
     }
  /* The evidence shows that the new version is bad. */
  :: atomic { readOutcome[n] == Open && badVersion && step[n] > 0 &&
              !rolledBack[n] ->
       rolledBack[n] = true;
       everRolledBack[n] = true
     }
  /* The peer's facts are merged. */
  :: atomic { connected && (step[peer] > step[n] ||
                            rolledBack[peer] != rolledBack[n]) ->
       step[n] = (step[peer] > step[n] -> step[peer] : step[n]);
#ifdef FORGET_TAKEN_BACK
       rolledBack[n] = rolledBack[peer];
#else
       rolledBack[n] = rolledBack[n] || rolledBack[peer];
#endif
       everRolledBack[n] = everRolledBack[n] || rolledBack[n];
       assert(rolledBack[n] == everRolledBack[n])
     }
  /* Any node may append an outcome while the log is available. */
  :: atomic { logUp && readOutcome[n] == Open && rolledBack[n] &&
              outcomeCount < 3 ->
       appendOutcome(RolledBack)
     }
  :: atomic { logUp && readOutcome[n] == Open && step[n] == LAST_STEP &&
              !rolledBack[n] && outcomeCount < 3 ->
       appendOutcome(Finished)
     }
  /* The node reads the outcome from the log. */
  :: atomic { logUp && logOutcome != Open && readOutcome[n] != logOutcome ->
       assert(readOutcome[n] == Open);
       readOutcome[n] = logOutcome
     }
  /* The node sends a call to the new version. */
  :: atomic { readOutcome[n] == Open && step[n] > 0 ->
#ifndef SHARE_FIRST
       if
       :: !rolledBack[n] ->
#endif
          assert(!everRolledBack[n])
#ifndef SHARE_FIRST
       :: else
       fi
#endif
     }
  :: atomic { readOutcome[n] != Open && readOutcome[peer] != Open ->
       assert(readOutcome[0] == readOutcome[1]);
       break
     }
  od
}

proctype Operator() {
  if
  :: atomic { logUp && outcomeCount < 3 -> appendOutcome(Cancelled) }
  :: skip
  fi
}

proctype Failures() {
  do
  :: atomic { partitionsLeft > 0 && connected ->
       partitionsLeft--;
       connected = false
     }
  :: atomic { !connected -> connected = true }
  :: atomic { outagesLeft > 0 && logUp -> outagesLeft--; logUp = false }
  :: atomic { !logUp -> logUp = true }
  :: atomic { connected && logUp -> break }
  od
}

init {
  atomic {
    if :: badVersion = true :: badVersion = false fi;
    run Node(0);
    run Node(1);
    run Operator();
    run Failures()
  }
}

ltl sameOutcome {
  [] ((readOutcome[0] == Open) || (readOutcome[1] == Open) ||
      (readOutcome[0] == readOutcome[1]))
}
