/* Publishing, validation, snapshots, restarts and synchronisation of
 * configurations.
 *
 * Operators append changes to a log; some changes are bad. Nodes apply the
 * records of the log, or install a peer's state. They may be killed and
 * restarted without any state, and records may expire once a snapshot contains
 * them. The model checks:
 *  - No node serves an older version than one that it served before, even by an
 *    earlier process.
 *  - No node serves a bad change.
 *  - Once failures have stopped, all nodes reach the newest version.
 *
 * The model assumes that a node's digest reaches its peer at the moment at
 * which the node begins to serve a version. A process that is killed between
 * the two is not covered.
 *
 * Bounds: 3 records, 2 nodes, 2 restarts, 1 log outage. A violation needs a
 * node that returns to an older version (2 versions), a peer that is behind,
 * and a snapshot.
 *
 * Mutations, each of which must be refuted:
 *   NO_FLOOR       a restarted node serves before it has caught up
 *   APPLY_BAD      a bad change is applied
 *   ADOPT_OLDER    a peer's state is installed even if it is older
 *   NO_MEMORY      peers don't report the offset at which they last saw a node
 *   EXPIRE_EARLY   records expire before a snapshot contains them
 */
#define RECORDS 3
#define NODES 2

byte logEnd = 0;           /* records appended */
byte oldest = 0;           /* oldest record that has not expired */
byte snapshotEnd = 0;      /* records in the newest snapshot */
bool isBad[RECORDS];
bool logUp = true;
byte restartsLeft = 2;
byte outagesLeft = 1;
bool failuresOver = false; /* no failures from now on */

byte appliedEnd[NODES];    /* records applied */
byte minOffset[NODES];     /* minimum serving offset */
byte servedEnd[NODES];     /* records in the served configuration */
byte maxServedEnd[NODES];  /* maximum of servedEnd over the node's processes */
byte peerSeenEnd[NODES];   /* servedEnd as last seen by the peer's process */
bool servesBad[NODES];

inline serve(n) {
  if
#ifdef NO_FLOOR
  :: true ->
#else
  :: appliedEnd[n] >= minOffset[n] ->
#endif
     servedEnd[n] = appliedEnd[n];
     assert(servedEnd[n] >= maxServedEnd[n]);
     maxServedEnd[n] = servedEnd[n];
     peerSeenEnd[n] = servedEnd[n]
  :: else
  fi
}

inline applyNextRecord(n) {
  if
#ifdef APPLY_BAD
  :: isBad[appliedEnd[n]] -> servesBad[n] = true
#endif
  :: else
  fi;
  assert(!servesBad[n]);
  appliedEnd[n]++;
  serve(n)
}

proctype Operator() {
  do
  :: atomic { logUp && logEnd < RECORDS ->
       if
       :: isBad[logEnd] = true
       :: isBad[logEnd] = false
       fi;
       logEnd++
     }
  :: atomic { logEnd == RECORDS -> break }
  od
}

proctype Node(byte n) {
  byte peer = 1 - n;
  do
  /* Read a record from the log. The minimum serving offset is first raised to
     the end of the log. */
  :: atomic { logUp && appliedEnd[n] < logEnd && appliedEnd[n] >= oldest ->
       minOffset[n] = (minOffset[n] > logEnd -> minOffset[n] : logEnd);
       applyNextRecord(n)
     }
  /* The next record has expired: install the snapshot. */
  :: atomic { logUp && appliedEnd[n] < oldest && snapshotEnd > appliedEnd[n] ->
       minOffset[n] = (minOffset[n] > logEnd -> minOffset[n] : logEnd);
       appliedEnd[n] = snapshotEnd;
       serve(n)
     }
  /* Install the peer's state, and raise the minimum serving offset to the
     highest of the peer's own offset, its minimum serving offset and the offset
     at which it last saw this node. */
#ifdef ADOPT_OLDER
  :: atomic { appliedEnd[peer] != appliedEnd[n] ->
#else
  :: atomic { appliedEnd[peer] > appliedEnd[n] ->
#endif
       minOffset[n] =
         (minOffset[n] > minOffset[peer] -> minOffset[n] : minOffset[peer]);
#ifndef NO_MEMORY
       minOffset[n] =
         (minOffset[n] > peerSeenEnd[n] -> minOffset[n] : peerSeenEnd[n]);
#endif
#ifdef ADOPT_OLDER
       minOffset[n] = 0;
#endif
       appliedEnd[n] = appliedEnd[peer];
       serve(n)
     }
  /* Publish a snapshot. */
  :: atomic { logUp && appliedEnd[n] > snapshotEnd ->
       snapshotEnd = appliedEnd[n]
     }
  :: atomic { failuresOver && appliedEnd[n] == RECORDS &&
              servedEnd[n] == RECORDS ->
       break
     }
  od
}

/* Failures: restarts that lose all state of a node, outages of the log and the
   expiry of records. */
proctype Failures() {
  do
  :: atomic { restartsLeft > 0 ->
       restartsLeft--;
       if
       :: appliedEnd[0] = 0; servedEnd[0] = 0;
          minOffset[0] = 0; peerSeenEnd[1] = 0
       :: appliedEnd[1] = 0; servedEnd[1] = 0;
          minOffset[1] = 0; peerSeenEnd[0] = 0
       fi
     }
  :: atomic { outagesLeft > 0 && logUp -> outagesLeft--; logUp = false }
  :: atomic { !logUp -> logUp = true }
#ifdef EXPIRE_EARLY
  :: atomic { oldest < logEnd -> oldest++ }
#else
  :: atomic { oldest < snapshotEnd -> oldest++ }
#endif
  :: atomic { logUp -> failuresOver = true; break }
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

ltl converges { <> (servedEnd[0] == RECORDS && servedEnd[1] == RECORDS) }
