/*
 * control.h: what the control state machines share (prefix co_).
 *
 * The machines of this package (ow_, cl_, cc_, mb_, ws_) have no sockets,
 * threads, clocks or global state: typed events and the time go in, typed
 * actions come out, randomness is seeded. Each is driven the same way:
 *
 *     ow_machine *ow = ow_create(&(ow_desc){.instance = "a", ...});
 *     ow_feed(ow, now_us, &(ow_event){.type = OW_EVENT_TICK});
 *     ow_action action;
 *     while (ow_next_action(ow, &action)) {
 *         carry_out(&action);
 *     }
 *
 * After each call that takes the time, drain the actions; feed a tick no
 * later than the machine's wakeup time. Pointers in an action stay valid
 * until the next call of that machine, so copy what outlives the loop body.
 *
 * A table call leaves as an action with a co_table_call. Make it with
 * pf_table_commit(), pf_table_read() or pf_table_scan(), and feed the result
 * back as a co_table_result with the same number, exactly once, whatever the
 * result. A call never made ends with ER_PLATFORM_DOWN. Results may come in
 * any order; a result whose number the machine does not know is dropped.
 *
 * Limits: one machine is not for use from two threads at once; times are
 * microseconds of a clock that never runs backwards; names of instances,
 * zones and servers hold no space and no slash.
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

/* One call of the table that a machine wants made. */
typedef struct co_table_call {
    co_table_kind kind;
    uint64_t number;   /* comes back with the result */
    const pf_op *ops;  /* commit */
    size_t op_count;   /* commit */
    const char *key;   /* read: the row; scan: the prefix */
    const char *after; /* scan: start after this key; NULL: all */
    uint32_t limit;    /* scan: most rows */
} co_table_call;

/* What came of it; one of commit and read, by the kind of the call. Both may
   be NULL when code is not ER_OK and not ER_CONFLICT. */
typedef struct co_table_result {
    uint64_t number;
    er_code code; /* code of the pf_ result */
    const pf_commit_result *commit;
    const pf_read_result *read;
} co_table_result;

/* State of a daemon, carried in heartbeats (mb_state on the wire). */
typedef enum co_peer_state {
    CO_PEER_DEFAULT = 0, /* unknown */
    CO_PEER_STARTING,    /* not serving yet */
    CO_PEER_READY,
    CO_PEER_LEAVING, /* finishes its work, gets nothing new */
    CO_PEER_SUSPECT, /* not heard of for a while; never sent */
    CO_PEER_DEAD,    /* not heard of for long, or known ended */
    CO_PEER_STATE_NUM
} co_peer_state;

#endif
