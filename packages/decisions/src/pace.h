/*
 * pace.h: how fast servers make tokens (prefix pc_).
 *
 * The interval between the tokens of one stream is the server's stated pace,
 * times a curve over the number of streams that run together (learned over
 * all servers), times the server's own learned factor. A slow average of that
 * factor is the server's normal, a fast one shows what it does now.
 */
#ifndef LACEWING_DECISIONS_PACE_H
#define LACEWING_DECISIONS_PACE_H

#include "state.h"

void pc_setup(dp_policy *policy);

/* commands */
/* Forgets what was observed of a server. */
void pc_reset(dp_server *server);
/* Takes in a whole run: tokens made in a time, from the first token on. */
void pc_learn_token(dp_policy *policy, uint64_t time_us, uint32_t tokens);
/* Takes in progress: tokens made in a time by one of batch streams; the time
   is without the prefill of others. */
void pc_observe(dp_policy *policy, dp_server *server, uint32_t batch,
                uint64_t time_us, uint32_t tokens);

/* queries */
/* Normal interval between tokens with so many streams together. */
double pc_query_interval_us(const dp_policy *policy, const dp_server *server,
                            uint32_t batch);
/* How many times slower than its normal a server is now. */
double pc_query_slowness(const dp_server *server);
/* Time to prefill so many prompt tokens. */
uint64_t pc_query_prefill_us(const dp_server *server, uint32_t tokens);

#endif
