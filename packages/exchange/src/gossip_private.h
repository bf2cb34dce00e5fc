/* gossip_private.h: shared by the source files of the gossip (prefix gp_). */
#ifndef LACEWING_GP_PRIVATE_H
#define LACEWING_GP_PRIVATE_H

#include "exchange.pb-c.h"
#include "gossip.h"

/* Sends a message to all. repeated: its content is sent again soon, so that
   one relay per zone is enough. */
void gp_broadcast(gp_peers *peers, Lacewing__Exchange__Word *message,
                  bool repeated);
uint64_t gp_now_us(const gp_peers *peers);

/* -- gossip_suspects.c */
/* Passes on what a message says of requests that crash servers. */
void gp_apply_suspects(const gp_peers *peers, const gp_callbacks *callbacks,
                       void *user_data,
                       const Lacewing__Exchange__Word *message);

#endif
