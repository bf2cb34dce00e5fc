#include "lengths.h"

#define _LE_MIN_ANSWERS 3     /* before a mean is used */
#define _LE_MEAN_ANSWERS 16   /* a new answer weighs at least 1/16 */
#define _LE_LONG_FACTOR 2.5   /* times the median length */
#define _LE_MEDIAN_STEP 0.002 /* relative change for each answer */
#define _LE_FIRST_MEDIAN_TOKENS 64.0

/* Returns the index of the cell for the request's adapter and operation; pairs
   may share one. */
static uint32_t
_le_cell(const dp_request *request)
{
    uint64_t mixed = rd_mix(request->adapter->desc.hash * DP_OPERATIONS +
                            request->operation);
    return (uint32_t)(mixed % DP_LENGTH_BUCKETS);
}

static void
_le_update_mean(dp_length *length, uint32_t tokens)
{
    if (length->count < _LE_MEAN_ANSWERS) {
        length->count++;
    }
    length->mean += ((float)tokens - length->mean) / (float)length->count;
}

void
le_learn(dp_policy *policy, const dp_request *request, uint32_t tokens)
{
    _le_update_mean(&policy->operation_lengths[request->operation], tokens);
    _le_update_mean(&policy->lengths[_le_cell(request)], tokens);
    if (policy->median_tokens == 0) {
        policy->median_tokens = _LE_FIRST_MEDIAN_TOKENS;
    }
    /* Steps of equal size estimate the median, so a few long answers hardly
       shift it. */
    double step = tokens > policy->median_tokens ? 1 : -1;
    policy->median_tokens *= 1 + _LE_MEDIAN_STEP * step;
}

uint32_t
le_query_expected(const dp_policy *policy, const dp_request *request)
{
    const dp_length *cell = &policy->lengths[_le_cell(request)];
    const dp_length *operation =
        &policy->operation_lengths[request->operation];
    uint32_t expected = request->max_tokens / 2;
    if (cell->count >= _LE_MIN_ANSWERS) {
        expected = (uint32_t)cell->mean;
    }
    else if (operation->count >= _LE_MIN_ANSWERS) {
        expected = (uint32_t)operation->mean;
    }
    return CLAMP(expected, 1, request->max_tokens);
}

bool
le_query_is_learned(const dp_policy *policy, const dp_request *request)
{
    return policy->operation_lengths[request->operation].count >=
           _LE_MIN_ANSWERS;
}

uint32_t
le_query_remaining(const dp_request *request, uint32_t made)
{
    uint32_t bound =
        request->max_tokens > made ? request->max_tokens - made : 1;
    if (request->expected_tokens > made) {
        return MIN(request->expected_tokens - made, bound);
    }
    /* The answer exceeds the expectation: a quarter of the tokens made is
       expected to follow. */
    return CLAMP(made / 4, 1, bound);
}

static double
_le_median_tokens(const dp_policy *policy)
{
    return policy->median_tokens > 0 ? policy->median_tokens
                                     : _LE_FIRST_MEDIAN_TOKENS;
}

uint32_t
le_query_backlog_tokens(const dp_policy *policy, const dp_request *request)
{
    uint32_t remaining = le_query_remaining(request, request->resume_from);
    uint32_t long_tokens =
        (uint32_t)(_le_median_tokens(policy) * _LE_LONG_FACTOR);
    return MIN(remaining, long_tokens);
}

bool
le_query_is_long(const dp_policy *policy, const dp_request *request)
{
    return request->expected_tokens >
           _le_median_tokens(policy) * _LE_LONG_FACTOR;
}
