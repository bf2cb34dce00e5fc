/*
 * Ownership of one backend server that ignores fences: an owner that may be
 * paused at any point, and another daemon of the zone that would take over.
 *
 * Time is a counter that may advance between any two steps. The owner's check
 * and its order are one step; docs/design/02-ownership.md says how wide the
 * gap between them is in a process.
 *
 * Checked: the owner sends no order once the other daemon has ended its
 * incarnation. Each of these macros removes one guard, and the check must then
 * fail:
 *   NO_ROW_WAIT  the other ends a silent owner without watching its live row
 *   NO_SILENCE   the other watches the live row only, and not heartbeats
 *   NO_CLOCK     the owner does not check its own lease
 *   NO_REFUSE    the other acknowledges an owner that it has ended
 */
/* In steps of the counter now. */
#define LEASE 2
/* Limits that keep the search finite; the end is two leases and one step. */
#define END_OF_TIME 5
#define RENEWALS 3

#ifdef NO_CLOCK
#define USABLE (now <= END_OF_TIME)
#else
#define USABLE (now < renewed + LEASE || now < acked + LEASE)
#endif
#ifdef NO_ROW_WAIT
#define ROW_WAITED true
#else
#define ROW_WAITED (version == seen_version && now >= seen_at + LEASE)
#endif
#ifdef NO_SILENCE
#define SILENT true
#else
#define SILENT (now >= heard + LEASE)
#endif
#ifdef NO_REFUSE
#define REFUSED false
#else
#define REFUSED ended
#endif

byte now = 0;
byte version = 1;   /* of the owner's live row */
bool ended = false; /* the live row is a tombstone */

/* the owner's renewal in flight */
bool renewal = false;
byte renewal_expect;
bool renewal_done = false;
byte renewed = 0; /* sent time of the newest answered renewal */
byte acked = 0;   /* sent time of the newest acknowledged heartbeat */

chan heartbeat = [1] of { byte };
chan ack = [1] of { byte };

active proctype clock()
{
end:
    do
    :: atomic { now < END_OF_TIME -> now++ }
    od
}

/* Applies the renewal at any time or never; its condition may fail. */
active proctype wire()
{
end:
    do
    :: atomic {
        renewal ->
        renewal = false;
        if
        :: !ended && version == renewal_expect ->
            version++;
            renewal_done = true
        :: else -> skip
        fi
    }
    od
}

active proctype owner()
{
    byte sent = 0;
    byte seen;
    bool asked = false;
end:
    do
    /* sends an order */
    :: atomic { USABLE -> assert(!ended) }
    /* starts and completes a renewal */
    :: atomic {
        !asked && version <= RENEWALS ->
        asked = true;
        sent = now;
        renewal_expect = version;
        renewal_done = false;
        renewal = true
    }
    :: atomic { asked && renewal_done -> renewed = sent; asked = false }
    /* sends a heartbeat, takes in an acknowledgement */
    :: atomic { nfull(heartbeat) -> heartbeat!now }
    :: atomic { ack?seen -> acked = seen }
    od
}

active proctype other()
{
    byte seen_version = 0;
    byte seen_at = 0;
    byte heard = 0; /* time of the newest heartbeat; one came at 0 */
    byte sent;
end:
    do
    :: atomic {
        heartbeat?sent ->
        heard = now;
        if
        :: !REFUSED && nfull(ack) -> ack!sent
        :: REFUSED || full(ack) -> skip
        fi
    }
    :: atomic {
        !ended && version != seen_version ->
        seen_version = version;
        seen_at = now
    }
    :: atomic {
        !ended && seen_version != 0 && ROW_WAITED && SILENT -> ended = true
    }
    od
}
