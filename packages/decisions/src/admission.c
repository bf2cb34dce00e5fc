#include "admission.h"

#include "lengths.h"

/* Expected prefill time of one prompt token, at the default prefill_per_s of a
   server (4000). */
#define _AM_PREFILL_TOKEN_US 250
/* A team is over its share above this multiple of it. */
#define _AM_SHARE_TOLERANCE 1.25
/* Largest ratio of a request's expected wait to its slack, which is the time
   to its deadline less its expected work. The second is for teams over their
   share. */
#define _AM_WAIT_PER_SLACK_MAX 1.0
#define _AM_WAIT_PER_SLACK_OVER_SHARE_MAX 0.9
/* Largest number of retries, and of hedges, that a budget holds. */
#define _AM_BUDGET_MAX 64.0
#define _AM_RETRY_AFTER_MIN_MS 100
#define _AM_RETRY_AFTER_MAX_MS 30000

/* -- teams ---------------------------------------------------------------- */

/* Returns the team's entry; teams whose hashes collide share one. */
static dp_team *
_am_team(dp_policy *policy, uint32_t team)
{
    return &policy->teams[rd_mix(team) % DP_TEAMS];
}

void
am_add_request(dp_policy *policy, dp_request *request, uint32_t team_weight)
{
    dp_team *team = _am_team(policy, request->team);
    uint32_t weight = team_weight ? team_weight : 1;
    if (team->requests > 0) {
        policy->teams_weight -= team->weight;
    }
    team->weight = weight;
    policy->teams_weight += weight;
    team->requests++;
    request->team_tokens = request->expected_tokens;
    team->tokens += request->team_tokens;
    policy->teams_tokens += request->team_tokens;
}

void
am_remove_request(dp_policy *policy, dp_request *request)
{
    dp_team *team = _am_team(policy, request->team);
    team->requests--;
    team->tokens -= request->team_tokens;
    policy->teams_tokens -= request->team_tokens;
    if (team->requests == 0) {
        policy->teams_weight -= team->weight;
    }
}

/* Returns true if the request's team exceeds its weighted share of the
   expected tokens of all teams by more than the tolerance. */
static bool
_am_is_over_share(const dp_policy *policy, const dp_request *request)
{
    const dp_team *team = &policy->teams[rd_mix(request->team) % DP_TEAMS];
    if (team->weight == policy->teams_weight) {
        return false; /* the only team */
    }
    double share = (double)policy->teams_tokens * team->weight /
                   (double)policy->teams_weight;
    return (double)team->tokens > share * _AM_SHARE_TOLERANCE;
}

/* -- budgets -------------------------------------------------------------- */

void
am_refill_budgets(dp_policy *policy)
{
    double retries = policy->desc.retry_budget_pct / 100.0;
    double hedges = policy->desc.hedge_budget_pct / 100.0;
    policy->retry_budget = MIN(policy->retry_budget + retries, _AM_BUDGET_MAX);
    policy->hedge_budget = MIN(policy->hedge_budget + hedges, _AM_BUDGET_MAX);
}

static bool
_am_take_one(double *budget)
{
    if (*budget < 1) {
        return false;
    }
    *budget -= 1;
    return true;
}

bool
am_take_retry(dp_policy *policy)
{
    return _am_take_one(&policy->retry_budget);
}

bool
am_take_hedge(dp_policy *policy)
{
    return _am_take_one(&policy->hedge_budget);
}

/* -- queries -------------------------------------------------------------- */

/* Returns the expected time of the prefill and of the tokens still to make. */
static uint64_t
_am_expected_work_us(const dp_policy *policy, const dp_request *request)
{
    uint64_t tokens = le_query_remaining(request, request->resume_from);
    uint64_t prompt = request->prompt_tokens + request->resume_from;
    return tokens * (uint64_t)policy->mean_token_us +
           prompt * _AM_PREFILL_TOKEN_US;
}

er_code
am_query_refusal(const dp_policy *policy, const dp_request *request,
                 uint64_t wait_us)
{
    if (!dp_feature_enabled(policy, LWD_FEATURE_ADMISSION) || wait_us == 0) {
        return ER_OK;
    }
    if (request->deadline_us == 0) {
        return ER_OK;
    }
    uint64_t work_us = _am_expected_work_us(policy, request);
    uint64_t left_us = request->deadline_us > policy->now_us
                           ? request->deadline_us - policy->now_us
                           : 0;
    if (work_us > left_us && le_query_is_learned(policy, request)) {
        return ER_DEADLINE;
    }
    /* The expected work may be wrong: at most half of the time left counts. */
    uint64_t slack_us = left_us - MIN(work_us, left_us / 2);
    if ((double)wait_us > (double)slack_us * _AM_WAIT_PER_SLACK_MAX) {
        return ER_OVERLOADED;
    }
    if ((double)wait_us >
            (double)slack_us * _AM_WAIT_PER_SLACK_OVER_SHARE_MAX &&
        _am_is_over_share(policy, request)) {
        return ER_SHARE_EXCEEDED;
    }
    return ER_OK;
}

uint64_t
am_query_latest_start_us(const dp_policy *policy, const dp_request *request)
{
    if (request->deadline_us == 0) {
        return UINT64_MAX;
    }
    uint64_t work_us = _am_expected_work_us(policy, request);
    if (!dp_feature_enabled(policy, LWD_FEATURE_ADMISSION)) {
        work_us = 0;
    }
    if (request->deadline_us <= request->entered_us) {
        return policy->now_us + 1;
    }
    /* The expected work may be wrong: the latest start is never before half of
       the time from entry to deadline. */
    uint64_t total_us = request->deadline_us - request->entered_us;
    uint64_t latest_us = request->deadline_us - MIN(work_us, total_us / 2);
    return MAX(latest_us, policy->now_us + 1);
}

uint32_t
am_query_retry_after_ms(const dp_policy *policy, uint64_t wait_us)
{
    (void)policy;
    uint64_t wait_ms = wait_us / DP_US_PER_MS;
    return (uint32_t)CLAMP(wait_ms, _AM_RETRY_AFTER_MIN_MS,
                           _AM_RETRY_AFTER_MAX_MS);
}

uint32_t
am_query_backlog_retry_ms(const dp_policy *policy)
{
    uint64_t slots = MAX(policy->own_slots, 1);
    uint64_t wait_us =
        policy->pending_tokens * (uint64_t)policy->mean_token_us / slots;
    return am_query_retry_after_ms(policy, wait_us);
}
