/* Model of a non-idempotent call with an idempotency key: claim, dispatch, retry.
 *
 * The caller sends the call through two entries and retries when a response is lost. An entry commits a
 * claim before it dispatches the call. Entries crash between any two steps and restart as new
 * processes. The claim register models the replicated state, whose steps are atomic and durable.
 *
 * Checked properties: the call runs at most once; "not run" is returned only if the call did not run
 * and can't run later under that attempt; a recorded response is returned only if the call ran.
 *
 * Switches: -DNO_CLAIM dispatches without a claim; -DRELEASE_UNKNOWN releases the claim when the
 * outcome of the call is unknown.
 */

#define ENTRIES 2
#define TRIES 2
#define CRASHES 2

mtype = { FREE, CLAIMED, FINISHED, UNKNOWN };

mtype claim = FREE;
byte owner = 255;  /* attempt that owns the claim */
byte boot[ENTRIES];
byte owner_boot = 0;
byte owner_entry = 0;
byte runs = 0;
byte next_attempt = 0;
byte crashes = 0;

proctype entry(byte me) {
  byte attempt; byte my_boot; byte tries = 0; bool sent; bool answered;
  do
  :: tries < TRIES ->
     tries++;
     atomic { attempt = next_attempt; next_attempt++; my_boot = boot[me]; sent = false; answered = false }
     /* Claim the call. */
     atomic {
#ifdef NO_CLAIM
       skip
#else
       if
       :: claim == FREE -> claim = CLAIMED; owner = attempt; owner_boot = my_boot; owner_entry = me
       :: claim == FINISHED -> assert(runs == 1); goto done
       :: claim == UNKNOWN -> goto done
       :: claim == CLAIMED -> goto done  /* in progress, or outcome unknown */
       fi
#endif
     }
     if
     :: crashes < CRASHES -> atomic { crashes++; boot[me]++; goto done }  /* crash before dispatch */
     :: true
     fi;
     /* Dispatch the call: it may arrive or not, and the response may get lost. */
     if
     :: atomic { runs++; assert(runs <= 1); sent = true; answered = true }
     :: atomic { runs++; assert(runs <= 1); sent = true }
     :: atomic { sent = true }             /* lost in transit; the entry can't detect this */
     :: skip                               /* the connection was refused: nothing was sent */
     fi;
     if
     :: crashes < CRASHES -> atomic { crashes++; boot[me]++; goto done }  /* crash before the outcome is recorded */
     :: true
     fi;
     atomic {
       if
       :: claim == CLAIMED && owner == attempt ->
            if
            :: answered -> claim = FINISHED
            :: !answered && sent ->
#ifdef RELEASE_UNKNOWN
                 claim = FREE; owner = 255
#else
                 claim = UNKNOWN
#endif
            :: !sent -> claim = FREE; owner = 255  /* "not run" */
            fi
       :: else
       fi
     }
     done: skip
  :: tries >= TRIES -> break
  od
}

init {
  byte i;
  atomic { for (i : 0 .. ENTRIES - 1) { run entry(i) } }
}
