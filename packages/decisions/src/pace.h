/*
 * pace.h: how fast servers make tokens (prefix pc_).
 *
 * The interval between the tokens of one stream is the server's rated interval
 * (from its tokens_per_s), times a factor for the number of concurrent streams
 * (a curve learned over all servers), times the server's own learned factor.
 * A slow average of that last factor is the server's normal pace, a fast one
 * its present pace.
 */
#ifndef LACEWING_DECISIONS_PACE_H
#define LACEWING_DECISIONS_PACE_H

#include "state.h"

/* Sets the values that hold before anything was observed. */
void pc_setup(dp_policy *policy);

/* commands */
/* Sets the present pace of a server to its normal pace, and its observations
   to 0. */
void pc_reset(dp_server *server);
/* Learns the usual time of a token from a whole run: tokens made in a time,
   from the first token on. */
void pc_learn_token_time(dp_policy *policy, uint64_t time_us, uint32_t tokens);
/* Learns from progress: tokens made in a time by one of batch concurrent
   streams; the time contains no prefill of another stream. */
void pc_observe_progress(dp_policy *policy, dp_server *server, uint32_t batch,
                         uint64_t time_us, uint32_t tokens);

/* queries */
/* Returns the normal interval between tokens of one of batch concurrent
   streams. */
double pc_query_interval_us(const dp_policy *policy, const dp_server *server,
                            uint32_t batch);
/* Returns how many times slower than its normal pace a server is now. */
double pc_query_slowness(const dp_server *server);
/* Returns the time to prefill that many prompt tokens. */
uint64_t pc_query_prefill_us(const dp_server *server, uint32_t tokens);

#endif
