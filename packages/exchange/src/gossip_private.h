/* gossip_private.h: shared by the source files of the gossip (prefix gp_). */
#ifndef LACEWING_GP_PRIVATE_H
#define LACEWING_GP_PRIVATE_H

#include "exchange.pb-c.h"
#include "gossip.h"

/* Sends a message to all. repeated: its content is sent again soon, so that
   one relay per zone is enough. */
void gp_broadcast(gp_peers *peers, Lacewing__Exchange__Word *message,
                  bool repeated);
/* Sends a message to one instance. Returns false if the instance is unknown or
   sending failed. */
bool gp_send_to_instance(gp_peers *peers, Lacewing__Exchange__Word *message,
                         const char *instance);
uint64_t gp_now_us(const gp_peers *peers);
/* Time since at_us in ms, and back to the local clock. */
uint32_t gp_age_ms(const gp_peers *peers, uint64_t at_us);
uint64_t gp_local_us(const gp_peers *peers, uint32_t age_ms);

/* -- gossip_suspects.c */
/* Passes on what a message says of requests that crash servers. */
void gp_apply_suspects(const gp_peers *peers, const gp_callbacks *callbacks,
                       void *user_data,
                       const Lacewing__Exchange__Word *message);

/* -- gossip_limits.c */
/* Passes on what a message says of rate limits and permits. */
void gp_apply_limits(const gp_peers *peers, const gp_callbacks *callbacks,
                     void *user_data, const Lacewing__Exchange__Word *message);

#endif
