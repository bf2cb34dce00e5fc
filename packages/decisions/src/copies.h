/*
 * copies.h: adapters on servers (prefix cp_).
 *
 * There is one copy for each adapter that a server holds or was ordered to
 * load. A copy takes one of the server's adapter slots from its creation,
 * before the load is ordered, until its eviction is confirmed. Copies on
 * servers of other instances mirror the summaries of their owners.
 */
#ifndef LACEWING_DECISIONS_COPIES_H
#define LACEWING_DECISIONS_COPIES_H

#include "state.h"

/* commands */
/* Creates a copy; returns NULL when the pool is full. */
dp_copy *cp_make(dp_policy *policy, dp_server *server, dp_adapter *adapter,
                 dp_copy_state state);
/* Removes a copy that the server does not hold any more, or whose load was
   given up before it was ordered. A copy that waits for its slot is ordered
   next. */
void cp_destroy(dp_policy *policy, dp_copy *copy);
void cp_set_state(dp_policy *policy, dp_copy *copy, dp_copy_state state);
/* Orders the eviction of an idle copy, or of one whose order got no answer in
   time. Not before the server's handover_until_us. */
void cp_evict(dp_policy *policy, dp_copy *copy);
/* Count an attempt on the copy that begins or ends. */
void cp_begin_use(dp_copy *copy);
void cp_end_use(dp_policy *policy, dp_copy *copy);
/* Adds the copies of an adapter to their servers' active lists when it has
   pending requests, else removes them. */
void cp_refresh_active(dp_adapter *adapter);
/* Handles an order without an answer in time: orders the eviction (again), and
   starts the backoff when the order was a load. */
void cp_on_timer(dp_policy *policy, dp_copy *copy);
/* Handles an own server's report that it holds the adapter or does not. */
er_code cp_on_residency_report(dp_policy *policy, dp_server *server,
                               dp_adapter *adapter, bool resident);
/* Handles a confirmed eviction. ER_STALE: none was ordered. */
er_code cp_on_evicted(dp_policy *policy, dp_server *server,
                      dp_adapter *adapter);

/* queries */
dp_copy *cp_query_find(const dp_policy *policy, const dp_server *server,
                       const dp_adapter *adapter);
bool cp_query_resident(const dp_copy *copy);
/* Returns whether summaries list the copy, so that peers may forward work for
   it: it is resident, or its load is pending. */
bool cp_query_advertised(const dp_copy *copy);

#endif
