/* Fencing of a journal shard's log. Owners open the log one after the other,
 * each may be paused between any two store calls and go on later. A key may be
 * claimed in each slot. Writes may take effect with a lost answer, or not at
 * all, and are settled by repeating the same create. The newest owner may
 * replace old slots by a checkpoint, move the marker and delete the slots.
 *
 * Checked: the key is granted at most once, whatever the interleaving.
 * With -DNO_MARKER an owner does not read the marker after its create: an owner
 * that was paused before the create of a slot that its successor took and
 * deleted then grants a second time, and the check must fail.
 */

#ifndef SLOTS
#define SLOTS 6
#endif
#define FREE 0

/* Value of a slot: FREE, or owner * 4 + contents. */
#define OPEN 1
#define CLAIM 2
#define STATE_FREE 3 /* Checkpoint: the key is not claimed. */
#define STATE_HELD 0 /* Checkpoint: the key is claimed. */
#define VALUE(owner, contents) (((owner) + 1) * 4 + (contents))
#define CONTENTS(value) ((value) % 4)

byte slot[SLOTS];
byte marker = 0;
byte granted = 0;

/* Creates slot[next] with val. applied is true if the slot then holds val. The
 * answer may be lost; the same create is then repeated until it is settled. */
inline create(val) {
  do
  :: atomic { /* An answer comes back. */
       if
       :: slot[next] == FREE -> slot[next] = val; applied = true
       :: slot[next] != FREE -> applied = (slot[next] == val)
       fi
     };
     break
  :: atomic { /* It takes effect, and the answer is lost. */
       lost < 1 ->
       lost++;
       if
       :: slot[next] == FREE -> slot[next] = val
       :: else -> skip
       fi
     };
  :: atomic { /* It has no effect, and the answer is lost. */
       lost < 1 -> lost++
     };
  od;
  /* The store answers the read of the marker at any later time. */
#ifndef NO_MARKER
  if
  :: applied && marker > next -> applied = false
  :: else -> skip
  fi
#endif
}

proctype Owner(byte me) {
  byte next, i, start;
  bool applied, held;
  byte lost = 0;

  /* Recovery and the open record, until the create succeeds. */
recover:
  atomic { start = marker };
  atomic { /* The range read is one call. */
    next = start; held = false; i = start;
    do
    :: i < SLOTS ->
       if
       :: slot[i] != FREE ->
          next = i + 1;
          if
          :: CONTENTS(slot[i]) == CLAIM || CONTENTS(slot[i]) == STATE_HELD ->
             held = true
          :: CONTENTS(slot[i]) == STATE_FREE -> held = false
          :: else -> skip
          fi
       :: else -> skip
       fi;
       i++
    :: else -> break
    od
  };
  if
  :: next >= SLOTS - 1 -> goto done
  :: else -> skip
  fi;
  create(VALUE(me, OPEN));
  if
  :: applied -> next++
  :: else -> goto retry
  fi;

  do
  :: next < SLOTS && !held -> /* Claim the key. */
     create(VALUE(me, CLAIM));
     if
     :: applied -> held = true; next++; granted++; assert(granted <= 1)
     :: else -> goto done /* Fenced. */
     fi
  :: next < SLOTS && next > marker + 1 -> /* Checkpoint of all slots so far. */
     start = next;
     if
     :: held -> create(VALUE(me, STATE_HELD))
     :: else -> create(VALUE(me, STATE_FREE))
     fi;
     if
     :: applied -> next++
     :: else -> goto done
     fi;
     atomic { /* Compare-and-swap of the marker; it never goes back. */
       if
       :: marker < start -> marker = start
       :: else -> skip
       fi
     };
     i = 0;
     do
     :: i < start -> slot[i] = FREE; i++
     :: else -> break
     od
  :: goto done
  od;

retry:
  if
  :: next < SLOTS - 1 -> goto recover
  :: else -> skip
  fi;
done:
  skip
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Owner(2)
  }
}
