/*
 * control.h: types shared by the control state machines (prefix co_).
 *
 * The machines of this package (ow_, cl_, cc_, mb_, ws_) use no sockets,
 * threads, clocks or global state. Typed events and the current time go in,
 * typed actions come out, and random choices come from a seeded generator.
 *
 *   ow_  ownership.h     which daemon may send orders to a backend server
 *   cl_  claims.h        operations that run at most once
 *   cc_  chain.h         the versioned configuration
 *   mb_  membership.h    the other daemons and their states
 *   ws_  weight_share.h  this daemon's share of the weight store's rate
 *
 * An instance is a daemon, known by its name. An incarnation is one run of an
 * instance: its number grows with each start, and also when another daemon
 * ends the present incarnation. A fence is the fencing number of a backend
 * server's owner: it grows with each change of owner, so that a late order of
 * an old owner can be recognised.
 *
 * All machines are driven the same way:
 *
 *     ow_machine *ow = ow_create(&(ow_desc){.instance = "a", ...});
 *     ow_feed(ow, now_us, &(ow_event){.type = OW_EVENT_TICK});
 *     ow_action action;
 *     while (ow_next_action(ow, &action)) {
 *         carry_out(&action);
 *     }
 *
 * Drain the actions after each call that takes the time, and feed a tick no
 * later than the time that the machine's query_wakeup_us() returns
 * (UINT64_MAX: no tick is needed). A feed function returns ER_BAD_REQUEST for
 * an event of an unknown type or without a field that it needs, and ER_STALE
 * for one that is outdated, such as the result of an unknown call. Pointers in
 * an action stay valid until the next call of that machine: copy what outlives
 * the loop body.
 *
 * A table call is an action that holds a co_table_call. Make it with
 * pf_table_commit(), pf_table_read() or pf_table_scan(), and feed the result
 * back exactly once, whatever it is, as a co_table_result with the same
 * number. For a call that was never made, feed ER_PLATFORM_DOWN. Results may
 * come in any order; a result with an unknown number is dropped.
 *
 * Limits: a machine must not be used from two threads at once. Times are
 * microseconds of a clock that never runs backwards. Names of instances,
 * zones and servers contain no space and no slash.
 */
#ifndef LACEWING_CONTROL_H
#define LACEWING_CONTROL_H

#include "lacewing/error.h"
#include "lacewing/store.h"
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum co_table_kind {
    CO_TABLE_DEFAULT = 0, /* commit */
    CO_TABLE_COMMIT,
    CO_TABLE_READ,
    CO_TABLE_SCAN,
    CO_TABLE_KIND_NUM
} co_table_kind;

/* A table call that a machine asks its driver to make. */
typedef struct co_table_call {
    co_table_kind kind;
    uint64_t number;   /* returned with the result */
    const pf_op *ops;  /* commit */
    size_t op_count;   /* commit */
    const char *key;   /* read: key of the row; scan: prefix of the keys */
    const char *after; /* scan: start after this key; NULL: from the first */
    uint32_t limit;    /* scan: maximum number of rows */
} co_table_call;

/* Result of a table call. Commits set commit; reads and scans set read. Both
   may be NULL when code is neither ER_OK nor ER_CONFLICT. */
typedef struct co_table_result {
    uint64_t number;
    er_code code; /* of the pf_ result */
    const pf_commit_result *commit;
    const pf_read_result *read;
} co_table_result;

/* State of a daemon, as carried in heartbeats. */
typedef enum co_peer_state {
    CO_PEER_DEFAULT = 0, /* unknown */
    CO_PEER_STARTING,    /* not serving yet */
    CO_PEER_READY,
    CO_PEER_LEAVING, /* finishes its work, accepts no new work */
    CO_PEER_SUSPECT, /* silent for a while; local only, never sent */
    CO_PEER_DEAD,    /* silent for long, or known to have ended */
    CO_PEER_STATE_NUM
} co_peer_state;

#endif
