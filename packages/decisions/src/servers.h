/*
 * servers.h: the life of backend servers (prefix sv_).
 */
#ifndef LACEWING_DECISIONS_SERVERS_H
#define LACEWING_DECISIONS_SERVERS_H

#include "state.h"

/* commands */
/* NULL when the pool is full. */
dp_server *sv_make(dp_policy *policy, const lwd_server_desc *desc);
void sv_destroy(dp_policy *policy, dp_server *server);
/* READY, RESTARTED, LEAVING (final) or DOWN. */
void sv_set_state(dp_policy *policy, dp_server *server,
                  lwd_server_state state);
/* Another owner, or this instance. */
void sv_set_owner(dp_policy *policy, dp_server *server, uint32_t owner,
                  bool owned, uint64_t settle_us);
/* Out of use as a straggler, or back. */
void sv_set_ejected(dp_policy *policy, dp_server *server, bool ejected);

/* queries */
/* The server in a slot of the pool; NULL when the slot is free. */
dp_server *sv_query_at(const dp_policy *policy, uint32_t index);
/* Own, ready, and not ejected. */
bool sv_query_usable(const dp_server *server);
/* Usable, or ejected and due for a probe, and with a slot to spare. */
bool sv_query_free(const dp_policy *policy, const dp_server *server);

#endif
