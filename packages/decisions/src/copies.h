/*
 * copies.h: adapters on servers (prefix cp_).
 *
 * One copy for each adapter that a server holds or was ordered to load. A
 * copy takes one of the server's adapter slots from the order on until its
 * eviction is confirmed. Copies on servers of other instances are what their
 * owners told.
 */
#ifndef LACEWING_DECISIONS_COPIES_H
#define LACEWING_DECISIONS_COPIES_H

#include "state.h"

/* commands */
/* A new copy; NULL when the pool is full. */
dp_copy *cp_make(dp_policy *policy, dp_server *server, dp_adapter *adapter,
                 dp_copy_state state);
/* The server does not hold it any more, whatever was ordered. */
void cp_destroy(dp_policy *policy, dp_copy *copy);
void cp_set_state(dp_policy *policy, dp_copy *copy, dp_copy_state state);
/* Orders the eviction of an idle copy. */
void cp_evict(dp_policy *policy, dp_copy *copy);
/* An attempt on it begins or ends. */
void cp_begin_use(dp_copy *copy);
void cp_end_use(dp_policy *policy, dp_copy *copy);
/* Takes the copies of an adapter in or out of their servers' active lists,
   as it has pending requests or not. */
void cp_refresh_active(dp_adapter *adapter);
/* The answer to an order is overdue. */
void cp_on_timer(dp_policy *policy, dp_copy *copy);
/* Events of own servers. */
er_code cp_on_listed(dp_policy *policy, dp_server *server, dp_adapter *adapter,
                     bool resident);
er_code cp_on_evicted(dp_policy *policy, dp_server *server,
                      dp_adapter *adapter);

/* queries */
dp_copy *cp_query_find(const dp_policy *policy, const dp_server *server,
                       const dp_adapter *adapter);
bool cp_query_resident(const dp_copy *copy);
/* Held or on its way: peers may send work for it. */
bool cp_query_told(const dp_copy *copy);

#endif
