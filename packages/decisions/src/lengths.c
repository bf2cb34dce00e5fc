#include "lengths.h"

#define _LE_ENOUGH 3        /* answers that make a cell of its own */
#define _LE_MEMORY 16       /* answers that an average looks back on */
#define _LE_LONG_FACTOR 2.5 /* times the usual length */
#define _LE_USUAL_WEIGHT 0.002
#define _LE_FIRST_USUAL 64.0 /* tokens */

static uint32_t
_le_cell(const dp_request *request)
{
    uint64_t mixed = rd_mix(request->adapter->desc.hash * DP_OPERATIONS +
                            request->operation);
    return (uint32_t)(mixed % DP_LENGTH_BUCKETS);
}

static void
_le_add(dp_length *length, uint32_t tokens)
{
    if (length->count < _LE_MEMORY) {
        length->count++;
    }
    length->mean += ((float)tokens - length->mean) / (float)length->count;
}

void
le_learn(dp_policy *policy, const dp_request *request, uint32_t tokens)
{
    _le_add(&policy->operation_lengths[request->operation], tokens);
    _le_add(&policy->lengths[_le_cell(request)], tokens);
    if (policy->mean_tokens == 0) {
        policy->mean_tokens = _LE_FIRST_USUAL;
    }
    /* Logarithmic, so that a few long answers do not shift the usual. */
    double step = tokens > policy->mean_tokens ? 1 : -1;
    policy->mean_tokens *= 1 + _LE_USUAL_WEIGHT * step;
}

uint32_t
le_query_expected(const dp_policy *policy, const dp_request *request)
{
    const dp_length *cell = &policy->lengths[_le_cell(request)];
    const dp_length *operation =
        &policy->operation_lengths[request->operation];
    uint32_t expected = request->max_tokens / 2;
    if (cell->count >= _LE_ENOUGH) {
        expected = (uint32_t)cell->mean;
    }
    else if (operation->count >= _LE_ENOUGH) {
        expected = (uint32_t)operation->mean;
    }
    return CLAMP(expected, 1, request->max_tokens);
}

bool
le_query_known(const dp_policy *policy, const dp_request *request)
{
    return policy->operation_lengths[request->operation].count >= _LE_ENOUGH;
}

uint32_t
le_query_remaining(const dp_request *request, uint32_t made)
{
    uint32_t bound =
        request->max_tokens > made ? request->max_tokens - made : 1;
    if (request->expected_tokens > made) {
        return MIN(request->expected_tokens - made, bound);
    }
    /* It has outrun the expectation: as much again as a quarter of it. */
    return CLAMP(made / 4, 1, bound);
}

static double
_le_usual(const dp_policy *policy)
{
    return policy->mean_tokens > 0 ? policy->mean_tokens : _LE_FIRST_USUAL;
}

uint32_t
le_query_ahead(const dp_policy *policy, const dp_request *request)
{
    uint32_t remaining = le_query_remaining(request, request->resume_from);
    uint32_t most = (uint32_t)(_le_usual(policy) * _LE_LONG_FACTOR);
    return MIN(remaining, most);
}

bool
le_query_is_long(const dp_policy *policy, const dp_request *request)
{
    return request->expected_tokens > _le_usual(policy) * _LE_LONG_FACTOR;
}
