/* Publishing, acceptance, snapshots, restart and relay of configurations.
 *
 * Operators append changes to a log; some are bad. Nodes fold the log, or take
 * a state from a peer. They may be killed and replaced, and records may expire
 * once a snapshot contains them. Checked: no node serves an older version than
 * it, or the process before it, served; no node serves a bad change; and when
 * nothing fails any more, all nodes reach the newest version.
 *
 * A node's digest is taken to reach its peer together with the version that it
 * serves; a process that dies between the two is not covered.
 *
 * Bounds: 3 records, 2 nodes, 2 restarts, 1 log outage. A violation needs one
 * node that goes back (2 versions), one peer that is behind, and a snapshot.
 *
 * Mutations, each of which must be refuted:
 *   NO_FLOOR       a restarted node serves while it catches up
 *   APPLY_BAD      a bad change is applied
 *   ADOPT_OLDER    a peer's state is adopted without comparing
 *   NO_MEMORY      peers don't tell what they remember
 *   EXPIRE_EARLY   records expire before a snapshot contains them
 */
#define RECORDS 3
#define NODES 2

byte logEnd = 0;          /* records appended */
byte oldest = 0;          /* first record still kept */
byte snapshotEnd = 0;     /* records contained in the newest snapshot */
bool bad[RECORDS];
bool logUp = true;
byte restarts = 2;
byte outages = 1;
bool quiet = false;       /* no more failures from now on */

byte applied[NODES];      /* records folded */
byte floorOf[NODES];
byte served[NODES];       /* records contained in what is served */
byte everServed[NODES];   /* newest that any process of the node served */
byte remembered[NODES];   /* newest at which the peer's process saw the node */
bool servesBad[NODES];

inline serve(n) {
  if
#ifdef NO_FLOOR
  :: true ->
#else
  :: applied[n] >= floorOf[n] ->
#endif
     served[n] = applied[n];
     assert(served[n] >= everServed[n]);
     everServed[n] = served[n];
     remembered[n] = served[n]
  :: else
  fi
}

inline fold(n) {
  if
#ifdef APPLY_BAD
  :: bad[applied[n]] -> servesBad[n] = true
#endif
  :: else
  fi;
  assert(!servesBad[n]);
  applied[n]++;
  serve(n)
}

proctype Operator() {
  do
  :: atomic { logUp && logEnd < RECORDS ->
       if
       :: bad[logEnd] = true
       :: bad[logEnd] = false
       fi;
       logEnd++
     }
  :: atomic { logEnd == RECORDS -> break }
  od
}

proctype Node(byte n) {
  byte peer = 1 - n;
  do
  /* Read the log: the floor rises to its end first. */
  :: atomic { logUp && applied[n] < logEnd && applied[n] >= oldest ->
       floorOf[n] = (floorOf[n] > logEnd -> floorOf[n] : logEnd);
       fold(n)
     }
  /* The next record has expired: take the snapshot. */
  :: atomic { logUp && applied[n] < oldest && snapshotEnd > applied[n] ->
       floorOf[n] = (floorOf[n] > logEnd -> floorOf[n] : logEnd);
       applied[n] = snapshotEnd;
       serve(n)
     }
  /* Take a peer's state, and the floor it tells: what it holds, waits for or
     remembers of this node. */
#ifdef ADOPT_OLDER
  :: atomic { applied[peer] != applied[n] ->
#else
  :: atomic { applied[peer] > applied[n] ->
#endif
       floorOf[n] = (floorOf[n] > floorOf[peer] -> floorOf[n] : floorOf[peer]);
#ifndef NO_MEMORY
       floorOf[n] =
         (floorOf[n] > remembered[n] -> floorOf[n] : remembered[n]);
#endif
#ifdef ADOPT_OLDER
       floorOf[n] = 0;
#endif
       applied[n] = applied[peer];
       serve(n)
     }
  /* Write a snapshot. */
  :: atomic { logUp && applied[n] > snapshotEnd ->
       snapshotEnd = applied[n]
     }
  :: atomic { quiet && applied[n] == RECORDS && served[n] == RECORDS -> break }
  od
}

/* Kills a node: the process that takes its place knows nothing. */
proctype Failures() {
  do
  :: atomic { restarts > 0 ->
       restarts--;
       if
       :: applied[0] = 0; served[0] = 0; floorOf[0] = 0; remembered[1] = 0
       :: applied[1] = 0; served[1] = 0; floorOf[1] = 0; remembered[0] = 0
       fi
     }
  :: atomic { outages > 0 && logUp -> outages--; logUp = false }
  :: atomic { !logUp -> logUp = true }
#ifdef EXPIRE_EARLY
  :: atomic { oldest < logEnd -> oldest++ }
#else
  :: atomic { oldest < snapshotEnd -> oldest++ }
#endif
  :: atomic { logUp -> quiet = true; break }
  od
}

init {
  atomic {
    run Operator();
    run Node(0);
    run Node(1);
    run Failures()
  }
}

ltl converges { <> (served[0] == RECORDS && served[1] == RECORDS) }
