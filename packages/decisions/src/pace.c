#include "pace.h"

#define _PC_FIRST_CURVE_STEP 0.05  /* initial slowdown, per further stream */
#define _PC_CURVE_WEIGHT 0.01      /* of one observation in the average */
#define _PC_NORMAL_WEIGHT 0.01     /* the same, for the normal pace */
#define _PC_RECENT_WEIGHT 0.4      /* the same, for the present pace */
#define _PC_FIRST_TOKEN_US 34000.0 /* initial mean_token_us */
#define _PC_TOKEN_WEIGHT 0.02      /* of one run in the average */
#define _PC_OUTLIER_FACTOR 1.5     /* times normal; slower counts as this */

void
pc_setup(dp_policy *policy)
{
    policy->mean_token_us = _PC_FIRST_TOKEN_US;
    for (uint32_t batch = 0; batch <= DP_BATCH_MAX; batch++) {
        uint32_t others = batch > 0 ? batch - 1 : 0;
        policy->batch_slowdown[batch] = 1 + _PC_FIRST_CURVE_STEP * others;
    }
}

void
pc_reset(dp_server *server)
{
    server->pace.recent = server->pace.normal > 0 ? server->pace.normal : 1;
    server->pace.normal = server->pace.recent;
    server->pace.observations = 0;
}

static uint32_t
_pc_clamp_batch(uint32_t batch)
{
    return CLAMP(batch, 1, DP_BATCH_MAX);
}

static double
_pc_rated_interval_us(const dp_server *server)
{
    return (double)DP_US_PER_S / server->desc.tokens_per_s;
}

void
pc_observe_progress(dp_policy *policy, dp_server *server, uint32_t batch,
                    uint64_t time_us, uint32_t tokens)
{
    if (tokens == 0) {
        return;
    }
    dp_pace *pace = &server->pace;
    double *curve = &policy->batch_slowdown[_pc_clamp_batch(batch)];
    double relative = (double)time_us / tokens / _pc_rated_interval_us(server);
    double factor = relative / *curve;
    /* An outlier changes the normal pace by a bounded amount and the curve not
       at all, so that a straggler's pace does not become the normal one. */
    pace->recent += _PC_RECENT_WEIGHT * (factor - pace->recent);
    double bounded = MIN(factor, pace->normal * _PC_OUTLIER_FACTOR);
    pace->normal += _PC_NORMAL_WEIGHT * (bounded - pace->normal);
    pace->observations++;
    if (factor < pace->normal * _PC_OUTLIER_FACTOR) {
        *curve += _PC_CURVE_WEIGHT * (relative / pace->normal - *curve);
    }
}

void
pc_learn_token_time(dp_policy *policy, uint64_t time_us, uint32_t tokens)
{
    if (tokens > 0) {
        double token_us = (double)time_us / tokens;
        policy->mean_token_us +=
            _PC_TOKEN_WEIGHT * (token_us - policy->mean_token_us);
    }
}

double
pc_query_interval_us(const dp_policy *policy, const dp_server *server,
                     uint32_t batch)
{
    return _pc_rated_interval_us(server) *
           policy->batch_slowdown[_pc_clamp_batch(batch)] *
           server->pace.normal;
}

double
pc_query_slowness(const dp_server *server)
{
    return server->pace.recent / server->pace.normal;
}

uint64_t
pc_query_prefill_us(const dp_server *server, uint32_t tokens)
{
    return (uint64_t)tokens * DP_US_PER_S / server->desc.prefill_per_s;
}
