/* Model of elections, the leader lease, accepted changes and lost disks, for three replicas.
 *
 * Time is a counter that advances in steps. A replica may be frozen, so it may act late. Each process
 * step is atomic as in the implementation: read messages, write to disk, send. Messages are modelled
 * as calls: a vote or an acknowledgement either reaches the other replica or is lost.
 *
 * Checked properties: two leaders never accept changes at the same time (lease); a later leader has
 * all accepted changes (commit); an instance that lost its disk violates neither property.
 *
 * Each switch removes one safeguard, and the checker must then find a violation:
 *   -DNO_PROMISE   voters don't wait until their promise to the leader expires
 *   -DOLD_IDENTITY an instance with an empty disk votes under its old identity
 *
 * The condition that an instance has caught up before it is readmitted is not needed for these
 * properties: log matching already prevents an empty voter from acknowledging entries or winning
 * elections. The condition prevents a second lost disk from leaving only one copy.
 */

#define N 3
#define QUORUM 2
#ifndef MAX_TIME
#define MAX_TIME 4
#endif
#ifndef MAX_TERM
#define MAX_TERM 2
#endif
#define MAX_LOG 1
#define LEASE 1   /* in time units; the promise is longer than the lease */
#define PROMISE 2
#define NOBODY 9

byte now = 0;

/* State on disk. */
byte term[N];
byte voted[N];       /* vote in the current term */
byte log_length[N];
byte log_term[N];    /* term of the last entry */
bool admitted[N];    /* its storage id is among the voters */

/* State in memory. */
bool leading[N];
byte lease_until[N];
byte promised_until[N];

/* Accepted changes, as reported to callers. */
byte accepted_length = 0;
byte accepted_term = 0;
byte disks_lost = 0;

/* The last entry of `a` is at least as new as that of `b`. */
#define UP_TO_DATE(a, b) (log_term[a] > log_term[b] || (log_term[a] == log_term[b] && log_length[a] >= log_length[b]))

/* Clears scratch variables, because stale values would multiply the number of states. */
#define CLEAR k = 0; votes = 0; acks = 0; voters = 0; other = 0

inline count_voters(result) {
  result = 0;
  for (k : 0 .. N - 1) { if :: admitted[k] -> result++ :: else fi }
}

/* Whether `v` may vote: its promise to a leader has expired. */
#ifdef NO_PROMISE
#define MAY_VOTE(v) true
#else
#define MAY_VOTE(v) (now >= promised_until[v])
#endif

proctype replica(byte me) {
  byte k; byte votes; byte acks; byte voters; byte other;
  do
  /* Election: collects the votes of any reachable subset of replicas. */
  :: atomic { admitted[me] && !leading[me] && term[me] < MAX_TERM && MAY_VOTE(me) ->
       term[me]++; voted[me] = me; votes = 1;
       for (other : 0 .. N - 1) {
         if
         :: other != me && admitted[other] && MAY_VOTE(other) && term[other] <= term[me] &&
            (term[other] < term[me] || voted[other] == NOBODY) && UP_TO_DATE(me, other) ->
              if
              :: term[other] = term[me]; voted[other] = me; leading[other] = false; votes++
              :: skip  /* the message is lost */
              fi
         :: else
         fi
       }
       count_voters(voters);
       if
       :: votes * 2 > voters -> leading[me] = true; lease_until[me] = 0
       :: else
       fi;
       CLEAR
     }
  /* Replication with a lease: collects acknowledgements, sent now, of any reachable subset of replicas. */
  :: atomic { leading[me] && log_length[me] < MAX_LOG ->
       log_length[me]++; log_term[me] = term[me]; acks = 1;
       for (other : 0 .. N - 1) {
         if
         :: other != me && admitted[other] && term[other] <= term[me] ->
              if
              :: if
                 :: term[other] < term[me] -> term[other] = term[me]; voted[other] = NOBODY; leading[other] = false
                 :: else
                 fi;
                 log_length[other] = log_length[me]; log_term[other] = log_term[me];
                 promised_until[other] = now + PROMISE; acks++
              :: skip
              fi
         :: else
         fi
       }
       count_voters(voters);
       if
       :: acks * 2 > voters ->
            lease_until[me] = now + LEASE;
            accepted_length = log_length[me]; accepted_term = log_term[me]
       :: else
       fi;
       CLEAR
     }
  /* Heartbeat: renews the lease and updates the logs of followers. */
  :: atomic { leading[me] && lease_until[me] < now + LEASE ->
       acks = 1;
       for (other : 0 .. N - 1) {
         if
         :: other != me && admitted[other] && term[other] <= term[me] ->
              if
              :: if
                 :: term[other] < term[me] -> term[other] = term[me]; voted[other] = NOBODY; leading[other] = false
                 :: else
                 fi;
                 log_length[other] = log_length[me]; log_term[other] = log_term[me];
                 promised_until[other] = now + PROMISE; acks++
              :: skip
              fi
         :: else
         fi
       }
       count_voters(voters);
       if
       :: acks * 2 > voters -> lease_until[me] = now + LEASE
       :: else
       fi;
       CLEAR
     }
  /* Loss of a disk, one at a time. */
  :: atomic { disks_lost < 2 && admitted[0] && admitted[1] && admitted[2] && now < MAX_TIME ->
       disks_lost++;
       term[me] = 0; voted[me] = NOBODY; log_length[me] = 0; log_term[me] = 0;
       leading[me] = false; promised_until[me] = now + PROMISE;
#ifndef OLD_IDENTITY
       admitted[me] = false
#endif
       ;
       CLEAR
     }
  /* A leader with a quorum of the remaining replicas readmits an empty replica once its copy is complete. */
  :: atomic { leading[me] && now < lease_until[me] ->
       other = NOBODY;
       for (k : 0 .. N - 1) { if :: !admitted[k] -> other = k :: else fi }
       acks = 0;
       if
       :: other != NOBODY ->
            for (k : 0 .. N - 1) {
              if
              :: admitted[k] && term[k] == term[me] && log_length[k] == log_length[me] && log_term[k] == log_term[me] -> acks++
              :: else
              fi
            }
            if
            :: acks == N - 1 ->  /* both remaining replicas have all entries: the change commits */
                 log_length[other] = log_length[me]; log_term[other] = log_term[me];
                 term[other] = term[me]; admitted[other] = true
            :: else
            fi
       :: else
       fi;
       CLEAR
     }
  /* Checks, whenever this leader could act, that no other leader has a valid lease. */
  :: atomic { leading[me] && now < lease_until[me] ->
       for (other : 0 .. N - 1) {
         assert(other == me || !leading[other] || now >= lease_until[other])
       };
       CLEAR
     }
  /* Checks that a serving leader has all changes that were accepted before. */
  :: atomic { leading[me] && now < lease_until[me] ->
       assert(log_term[me] > accepted_term || (log_term[me] == accepted_term && log_length[me] >= accepted_length));
       CLEAR
     }
  :: atomic { now >= MAX_TIME -> break }
  od
}

active proctype clock() {
  do
  :: atomic { now < MAX_TIME -> now++ }
  :: now >= MAX_TIME -> break
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. N - 1) { voted[i] = NOBODY; admitted[i] = true }
    for (i : 0 .. N - 1) { run replica(i) }
  }
}
