/*
 * servers.h: life cycle of backend servers (prefix sv_).
 *
 * The policy knows all servers of the fleet. It runs requests and orders
 * loads only on own servers, those that this instance owns; requests for the
 * others are forwarded to their owners.
 */
#ifndef LACEWING_DECISIONS_SERVERS_H
#define LACEWING_DECISIONS_SERVERS_H

#include "state.h"

/* commands */
/* Returns NULL if the pool is full. */
dp_server *sv_make(dp_policy *policy, const lwd_server_desc *desc);
/* Removes a server; requests running there or forwarded to it are routed
   again. */
void sv_destroy(dp_policy *policy, dp_server *server);
/* Sets READY, RESTARTED, LEAVING or DOWN. After LEAVING only DOWN has an
   effect, and the server stays LEAVING. */
void sv_set_state(dp_policy *policy, dp_server *server,
                  lwd_server_state state);
/* Sets the owner. When the server becomes or ceases to be an own one, its
   attempts and copies are dropped. No eviction is ordered there before
   handover_until_us. */
void sv_set_owner(dp_policy *policy, dp_server *server, uint32_t owner,
                  bool owned, uint64_t handover_until_us);
/* Ejects a straggler, or takes it back into use. */
void sv_set_ejected(dp_policy *policy, dp_server *server, bool ejected);

/* queries */
/* Returns the server in a slot of the pool, or NULL if the slot is free. */
dp_server *sv_query_by_index(const dp_policy *policy, uint32_t index);
/* Returns true if the server is own, READY and not ejected. */
bool sv_query_usable(const dp_server *server);
/* Returns true if an own READY server has a free slot; an ejected one must
   also be idle and due for a probe. */
bool sv_query_can_start_attempt(const dp_policy *policy,
                                const dp_server *server);

#endif
