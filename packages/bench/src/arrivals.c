/* Deployments and their generated workload. */
#include "arrivals.h"
#include "engine.h"
#include <glib.h>
#include <math.h>
#include <string.h>

#define ZIPF_EXPONENT 1.2
#define LONG_SHARE 0.03 /* of all requests */
#define TEAM_COUNT 12
#define PROMPT_TOKENS_MIN 80
#define PROMPT_TOKENS_MAX 320
#define DEADLINE_BASE_US 4000000ULL
#define DEADLINE_PER_TOKEN_US 55000ULL /* of max_tokens */
#define SLOWNESS_MIN 0.7               /* of the fastest server */
#define SLOWNESS_RANGE 2.8             /* slowest over fastest server */
#define SHIFT_PERIOD_US 40000000ULL
#define SHIFT_PERIODIC_ADAPTERS 3 /* replaced in each period */
#define SHIFT_HEAD_RANKS 30       /* that the periodic ones are chosen from */
#define SHIFT_CREST_ADAPTERS 20   /* replaced at the start of the spike */
#define SWING_PERIOD_S 40.0
#define SWING_AMPLITUDE 0.25 /* of the mean rate */

/* An operation of the callers; the last one is the only long one. */
typedef struct ar_operation {
    uint32_t max_tokens;
    double mean_share; /* mean length of an answer, over max_tokens */
} ar_operation;

static const ar_operation operations[] = {
    {64, 0.45},  {96, 0.45},  {128, 0.45},
    {192, 0.45}, {256, 0.45}, {2560, 0.55},
};
#define LONG_OPERATION (G_N_ELEMENTS(operations) - 1)
#define LENGTH_LOG_SIGMA 0.35 /* of the log-normal lengths of answers */

static const ar_deployment deployments[] = {
    {.name = "trust",
     .servers = 18,
     .zones = 4,
     .instances = 6,
     .hop_us = 1000,
     .adapters = 3000,
     .loads_per_s_milli = 6000,
     .loads_in_transit_max = 16},
    {.name = "association",
     .servers = 12,
     .zones = 4,
     .instances = 6,
     .hop_us = 1500,
     .adapters = 3000,
     .loads_per_s_milli = 4000,
     .loads_in_transit_max = 16},
};

/* -- queries -------------------------------------------------------------- */

const ar_deployment *
ar_query_deployment(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
        if (strcmp(deployments[i].name, name) == 0) {
            return &deployments[i];
        }
    }
    return NULL;
}

const ar_deployment *
ar_query_deployment_at(uint32_t index)
{
    return index < G_N_ELEMENTS(deployments) ? &deployments[index] : NULL;
}

double
ar_query_slowness(const ar_deployment *deployment, uint32_t server)
{
    double rank = (server * 7) % deployment->servers;
    return SLOWNESS_MIN *
           pow(SLOWNESS_RANGE, rank / (deployment->servers - 1));
}

static double
_mean_tokens(void)
{
    double tokens = 0;
    for (size_t i = 0; i < LONG_OPERATION; i++) {
        tokens += operations[i].max_tokens * operations[i].mean_share;
    }
    tokens *= (1 - LONG_SHARE) / LONG_OPERATION;
    const ar_operation *last = &operations[LONG_OPERATION];
    return tokens + LONG_SHARE * last->max_tokens * last->mean_share;
}

double
ar_query_server_capacity(const ar_deployment *deployment)
{
    double step_us = EN_STEP_BASE_US + EN_STEP_PER_JOB_US * EN_SLOTS;
    double decode_us = _mean_tokens() * step_us / EN_SLOTS;
    double prefill_us = EN_PREFILL_PER_TOKEN_US *
                        (PROMPT_TOKENS_MIN + PROMPT_TOKENS_MAX) / 2.0;
    double rate = 0;
    for (uint32_t i = 0; i < deployment->servers; i++) {
        double slowness = ar_query_slowness(deployment, i);
        rate += 1e6 / ((decode_us + prefill_us) * slowness);
    }
    return rate;
}

double
ar_query_store_capacity(const ar_deployment *deployment)
{
    double resident_weight = 0;
    double total_weight = 0;
    uint32_t slots = deployment->servers * EN_ADAPTER_SLOTS;
    for (uint32_t i = 0; i < deployment->adapters; i++) {
        double weight = pow(i + 1, -ZIPF_EXPONENT);
        total_weight += weight;
        resident_weight += i < slots ? weight : 0;
    }
    return deployment->loads_per_s_milli / 1000.0 /
           (1 - resident_weight / total_weight);
}

/* -- private: generation -------------------------------------------------- */

typedef struct ar_generator {
    const ar_desc *desc;
    GRand *random;
    GArray *requests;
    double *cumulative; /* probability of the ranks 0..i, by i */
    uint32_t *adapters; /* by rank */
    double rate_1x;     /* requests per second */
    uint64_t next_shift_us;
    bool crest_shifted;
} ar_generator;

static void
_setup_ranks(ar_generator *generator)
{
    uint32_t count = generator->desc->deployment->adapters;
    g_assert(count > 0);
    generator->cumulative = g_new(double, count);
    generator->adapters = g_new(uint32_t, count);
    double sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        sum += pow(i + 1, -ZIPF_EXPONENT);
        generator->cumulative[i] = sum;
        generator->adapters[i] = i;
    }
    for (uint32_t i = 0; i < count; i++) {
        generator->cumulative[i] /= sum;
        uint32_t other =
            (uint32_t)g_rand_int_range(generator->random, 0, (gint32)count);
        uint32_t adapter = generator->adapters[i];
        generator->adapters[i] = generator->adapters[other];
        generator->adapters[other] = adapter;
    }
}

static uint32_t
_draw_adapter(ar_generator *generator)
{
    double uniform = g_rand_double(generator->random);
    uint32_t low = 0;
    uint32_t high = generator->desc->deployment->adapters - 1;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        if (generator->cumulative[middle] < uniform) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return generator->adapters[low];
}

/* Swaps count adapters of the first head ranks with adapters of the colder
   half. If count equals head, the whole head is swapped. */
static void
_shift_hot_set(ar_generator *generator, uint32_t count, uint32_t head)
{
    gint32 count_all = (gint32)generator->desc->deployment->adapters;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t hot = count == head ? i
                                     : (uint32_t)g_rand_int_range(
                                           generator->random, 0, (gint32)head);
        gint32 cold =
            g_rand_int_range(generator->random, count_all / 2, count_all);
        uint32_t adapter = generator->adapters[hot];
        generator->adapters[hot] = generator->adapters[cold];
        generator->adapters[cold] = adapter;
    }
}

static void
_shift_hot_set_if_due(ar_generator *generator, uint64_t at_us)
{
    ar_scenario scenario = generator->desc->scenario;
    if (scenario == AR_STEADY && at_us >= generator->next_shift_us) {
        generator->next_shift_us += SHIFT_PERIOD_US;
        _shift_hot_set(generator, SHIFT_PERIODIC_ADAPTERS, SHIFT_HEAD_RANKS);
    }
    if (scenario == AR_CREST && !generator->crest_shifted &&
        at_us >= AR_CREST_START_US) {
        generator->crest_shifted = true;
        _shift_hot_set(generator, SHIFT_CREST_ADAPTERS, SHIFT_CREST_ADAPTERS);
    }
}

/* Returns the rate of arrivals at a time, as a multiple of 1x. */
static double
_relative_rate(ar_scenario scenario, uint64_t at_us)
{
    double ramp = MIN(1, 0.2 + 0.8 * (double)at_us / 60e6);
    if (scenario == AR_DOUBLE) {
        return 2 * ramp;
    }
    if (scenario == AR_STEADY) {
        double angle = 2 * G_PI * (double)at_us / 1e6 / SWING_PERIOD_S;
        return ramp * (1 + SWING_AMPLITUDE * sin(angle));
    }
    if (scenario != AR_CREST) {
        return ramp;
    }
    double before = AR_CREST_BASE_LOAD / AR_LOAD_1X;
    if (at_us < AR_CREST_START_US || at_us >= AR_CREST_END_US) {
        return before;
    }
    double risen =
        MIN(1, (double)(at_us - AR_CREST_START_US) / AR_CREST_RISE_US);
    return before * (1 + (AR_CREST_FACTOR - 1) * risen);
}

static uint32_t
_draw_answer_tokens(ar_generator *generator, const ar_operation *operation)
{
    /* The sum of twelve uniform numbers, less 6, is close to normal. */
    double normal = -6;
    for (int i = 0; i < 12; i++) {
        normal += g_rand_double(generator->random);
    }
    double shift = LENGTH_LOG_SIGMA * LENGTH_LOG_SIGMA / 2;
    double mean = operation->max_tokens * operation->mean_share;
    double length = mean * exp(LENGTH_LOG_SIGMA * normal - shift);
    return (uint32_t)CLAMP(length, 1, operation->max_tokens);
}

static bool
_is_measured(ar_scenario scenario, uint64_t at_us)
{
    if (scenario == AR_CREST) {
        return at_us >= AR_CREST_START_US && at_us < AR_CREST_END_US;
    }
    return at_us >= AR_MEASURE_START_US && at_us < AR_MEASURE_END_US;
}

/* Draws the same random numbers for every request, also for one that the
   scenario leaves out, so that the other requests are the same. */
static void
_draw_request(ar_generator *generator, uint64_t at_us)
{
    GRand *random = generator->random;
    bool long_work = g_rand_double(random) < LONG_SHARE;
    uint32_t kind = (uint32_t)g_rand_int_range(random, 0, LONG_OPERATION);
    kind = long_work ? LONG_OPERATION : kind;
    uint32_t adapter = _draw_adapter(generator);
    uint32_t prompt = (uint32_t)g_rand_int_range(random, PROMPT_TOKENS_MIN,
                                                 PROMPT_TOKENS_MAX + 1);
    uint32_t answer_tokens = _draw_answer_tokens(generator, &operations[kind]);
    uint32_t max_tokens = operations[kind].max_tokens;
    ar_request request = {
        .at_us = at_us,
        .deadline_us =
            at_us + DEADLINE_BASE_US + DEADLINE_PER_TOKEN_US * max_tokens,
        .prefix = (uint64_t)adapter * 64 + kind + 1,
        .fingerprint = generator->requests->len + 1,
        .adapter = adapter,
        .operation = kind,
        .team = adapter % TEAM_COUNT,
        .prompt_tokens = prompt,
        .max_tokens = max_tokens,
        .answer_tokens = answer_tokens,
        .long_work = long_work,
        .measured = _is_measured(generator->desc->scenario, at_us),
    };
    if (!long_work || generator->desc->scenario != AR_SHORT_ONLY) {
        g_array_append_val(generator->requests, request);
    }
}

static void
_draw_all(ar_generator *generator)
{
    double peak = generator->rate_1x * 2 * (1 + SWING_AMPLITUDE);
    double at_us = 0;
    for (;;) {
        at_us += -log(1 - g_rand_double(generator->random)) / peak * 1e6;
        if (at_us >= (double)AR_ARRIVALS_END_US) {
            return;
        }
        uint64_t now_us = (uint64_t)at_us;
        double rate = generator->rate_1x *
                      _relative_rate(generator->desc->scenario, now_us);
        if (g_rand_double(generator->random) * peak < rate) {
            _shift_hot_set_if_due(generator, now_us);
            _draw_request(generator, now_us);
        }
    }
}

/* -- create and destroy --------------------------------------------------- */

ar_trace *
ar_create(const ar_desc *desc)
{
    double servers = ar_query_server_capacity(desc->deployment);
    double store = ar_query_store_capacity(desc->deployment);
    ar_generator generator = {
        .desc = desc,
        .random = g_rand_new_with_seed(desc->seed),
        .requests = g_array_new(FALSE, FALSE, sizeof(ar_request)),
        .rate_1x = AR_LOAD_1X * MIN(servers, store),
        .next_shift_us = SHIFT_PERIOD_US,
    };
    _setup_ranks(&generator);
    _draw_all(&generator);
    ar_trace *trace = g_new0(ar_trace, 1);
    trace->count = generator.requests->len;
    trace->rate_1x = generator.rate_1x;
    trace->requests =
        (ar_request *)(void *)g_array_free(generator.requests, FALSE);
    g_rand_free(generator.random);
    g_free(generator.cumulative);
    g_free(generator.adapters);
    return trace;
}

void
ar_destroy(ar_trace *trace)
{
    g_free(trace->requests);
    g_free(trace);
}
