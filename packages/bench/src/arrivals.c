/* Deployments and the requests that reach them. */
#include "arrivals.h"
#include "engine.h"
#include <glib.h>
#include <math.h>
#include <string.h>

#define ZIPF_EXPONENT 1.2
#define LONG_SHARE 0.03
#define TEAMS 12
#define PROMPT_MIN 80
#define PROMPT_MAX 320
#define DEADLINE_BASE_US 4000000ULL
#define DEADLINE_TOKEN_US 55000ULL
#define SLOWNESS_FASTEST 0.7
#define SLOWNESS_RANGE 2.8
#define SHIFT_PERIOD_US 40000000ULL
#define SHIFT_SOME 3
#define SHIFT_CREST 20
#define SHIFT_HEAD 30
#define SWING_PERIOD_S 40.0
#define SWING_PART 0.25

/* Kinds of short work and the one kind of long work. */
typedef struct ar_operation {
    uint32_t max_tokens;
    double mean_part; /* of max_tokens */
} ar_operation;

static const ar_operation operations[] = {
    {64, 0.45},  {96, 0.45},  {128, 0.45},
    {192, 0.45}, {256, 0.45}, {2560, 0.55},
};
#define LONG_OPERATION (G_N_ELEMENTS(operations) - 1)
#define LENGTH_SIGMA 0.35

static const ar_deployment deployments[] = {
    {.name = "trust",
     .servers = 18,
     .zones = 4,
     .instances = 6,
     .hop_us = 1000,
     .adapters = 3000,
     .loads_per_s_milli = 6000,
     .transit_bound = 16},
    {.name = "association",
     .servers = 12,
     .zones = 4,
     .instances = 6,
     .hop_us = 1500,
     .adapters = 3000,
     .loads_per_s_milli = 4000,
     .transit_bound = 16},
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
    return SLOWNESS_FASTEST *
           pow(SLOWNESS_RANGE, rank / (deployment->servers - 1));
}

static double
_mean_tokens(void)
{
    double tokens = 0;
    for (size_t i = 0; i < LONG_OPERATION; i++) {
        tokens += operations[i].max_tokens * operations[i].mean_part;
    }
    tokens *= (1 - LONG_SHARE) / LONG_OPERATION;
    const ar_operation *last = &operations[LONG_OPERATION];
    return tokens + LONG_SHARE * last->max_tokens * last->mean_part;
}

double
ar_query_server_capacity(const ar_deployment *deployment)
{
    double step_us = EN_STEP_US + EN_STEP_JOB_US * EN_SLOTS;
    double decode_us = _mean_tokens() * step_us / EN_SLOTS;
    double prefill_us = EN_PREFILL_US * (PROMPT_MIN + PROMPT_MAX) / 2.0;
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
    double held = 0;
    double all = 0;
    uint32_t places = deployment->servers * EN_ADAPTER_SLOTS;
    for (uint32_t i = 0; i < deployment->adapters; i++) {
        double weight = pow(i + 1, -ZIPF_EXPONENT);
        all += weight;
        held += i < places ? weight : 0;
    }
    return deployment->loads_per_s_milli / 1000.0 / (1 - held / all);
}

/* -- private: drawing ----------------------------------------------------- */

typedef struct ar_draw {
    const ar_desc *desc;
    GRand *random;
    GArray *requests;
    double *chances;    /* of rank 0..i */
    uint32_t *adapters; /* by rank */
    double rate_1x;
    uint64_t next_shift_us;
    bool crest_shifted;
} ar_draw;

static void
_setup_ranks(ar_draw *draw)
{
    uint32_t count = draw->desc->deployment->adapters;
    g_assert(count > 0);
    draw->chances = g_new(double, count);
    draw->adapters = g_new(uint32_t, count);
    double sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        sum += pow(i + 1, -ZIPF_EXPONENT);
        draw->chances[i] = sum;
        draw->adapters[i] = i;
    }
    for (uint32_t i = 0; i < count; i++) {
        draw->chances[i] /= sum;
        uint32_t other =
            (uint32_t)g_rand_int_range(draw->random, 0, (gint32)count);
        uint32_t adapter = draw->adapters[i];
        draw->adapters[i] = draw->adapters[other];
        draw->adapters[other] = adapter;
    }
}

static uint32_t
_draw_adapter(ar_draw *draw)
{
    double chance = g_rand_double(draw->random);
    uint32_t low = 0;
    uint32_t high = draw->desc->deployment->adapters - 1;
    while (low < high) {
        uint32_t middle = (low + high) / 2;
        if (draw->chances[middle] < chance) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return draw->adapters[low];
}

/* Swaps count ranks of the head with cold ones. */
static void
_shift(ar_draw *draw, uint32_t count, uint32_t head)
{
    gint32 all = (gint32)draw->desc->deployment->adapters;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t hot =
            count == head
                ? i
                : (uint32_t)g_rand_int_range(draw->random, 0, (gint32)head);
        gint32 cold = g_rand_int_range(draw->random, all / 2, all);
        uint32_t adapter = draw->adapters[hot];
        draw->adapters[hot] = draw->adapters[cold];
        draw->adapters[cold] = adapter;
    }
}

static void
_shift_when_due(ar_draw *draw, uint64_t at_us)
{
    ar_scenario scenario = draw->desc->scenario;
    if (scenario == AR_STEADY && at_us >= draw->next_shift_us) {
        draw->next_shift_us += SHIFT_PERIOD_US;
        _shift(draw, SHIFT_SOME, SHIFT_HEAD);
    }
    if (scenario == AR_CREST && !draw->crest_shifted &&
        at_us >= AR_CREST_START_US) {
        draw->crest_shifted = true;
        _shift(draw, SHIFT_CREST, SHIFT_CREST);
    }
}

/* Requests a second at a time, in units of 1x. */
static double
_rate(ar_scenario scenario, uint64_t at_us)
{
    double warm = MIN(1, 0.2 + 0.8 * (double)at_us / 60e6);
    if (scenario == AR_DOUBLE) {
        return 2 * warm;
    }
    if (scenario == AR_STEADY) {
        double turn = 2 * G_PI * (double)at_us / 1e6 / SWING_PERIOD_S;
        return warm * (1 + SWING_PART * sin(turn));
    }
    if (scenario != AR_CREST) {
        return warm;
    }
    double before = AR_CREST_BEFORE / AR_LOAD_1X;
    if (at_us < AR_CREST_START_US || at_us >= AR_CREST_END_US) {
        return before;
    }
    double risen =
        MIN(1, (double)(at_us - AR_CREST_START_US) / AR_CREST_RISE_US);
    return before * (1 + (AR_CREST_FACTOR - 1) * risen);
}

static uint32_t
_draw_length(ar_draw *draw, const ar_operation *operation)
{
    /* Log-normal by the sum of twelve draws. */
    double normal = -6;
    for (int i = 0; i < 12; i++) {
        normal += g_rand_double(draw->random);
    }
    double shift = LENGTH_SIGMA * LENGTH_SIGMA / 2;
    double mean = operation->max_tokens * operation->mean_part;
    double length = mean * exp(LENGTH_SIGMA * normal - shift);
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

/* Draws the same numbers for every request, whatever becomes of it. */
static void
_draw_request(ar_draw *draw, uint64_t at_us)
{
    GRand *random = draw->random;
    bool long_work = g_rand_double(random) < LONG_SHARE;
    uint32_t kind = (uint32_t)g_rand_int_range(random, 0, LONG_OPERATION);
    kind = long_work ? LONG_OPERATION : kind;
    uint32_t adapter = _draw_adapter(draw);
    uint32_t prompt =
        (uint32_t)g_rand_int_range(random, PROMPT_MIN, PROMPT_MAX + 1);
    uint32_t length = _draw_length(draw, &operations[kind]);
    uint32_t max_tokens = operations[kind].max_tokens;
    ar_request request = {
        .at_us = at_us,
        .deadline_us =
            at_us + DEADLINE_BASE_US + DEADLINE_TOKEN_US * max_tokens,
        .prefix = (uint64_t)adapter * 64 + kind + 1,
        .fingerprint = draw->requests->len + 1,
        .adapter = adapter,
        .operation = kind,
        .team = adapter % TEAMS,
        .prompt_tokens = prompt,
        .max_tokens = max_tokens,
        .length = length,
        .long_work = long_work,
        .measured = _is_measured(draw->desc->scenario, at_us),
    };
    if (!long_work || draw->desc->scenario != AR_SHORT_ONLY) {
        g_array_append_val(draw->requests, request);
    }
}

static void
_draw_all(ar_draw *draw)
{
    double peak = draw->rate_1x * 2 * (1 + SWING_PART);
    double at_us = 0;
    for (;;) {
        at_us += -log(1 - g_rand_double(draw->random)) / peak * 1e6;
        if (at_us >= (double)AR_ARRIVALS_END_US) {
            return;
        }
        uint64_t now_us = (uint64_t)at_us;
        double rate = draw->rate_1x * _rate(draw->desc->scenario, now_us);
        if (g_rand_double(draw->random) * peak < rate) {
            _shift_when_due(draw, now_us);
            _draw_request(draw, now_us);
        }
    }
}

/* -- life ----------------------------------------------------------------- */

ar_trace *
ar_create(const ar_desc *desc)
{
    double servers = ar_query_server_capacity(desc->deployment);
    double store = ar_query_store_capacity(desc->deployment);
    ar_draw draw = {
        .desc = desc,
        .random = g_rand_new_with_seed(desc->seed),
        .requests = g_array_new(FALSE, FALSE, sizeof(ar_request)),
        .rate_1x = AR_LOAD_1X * MIN(servers, store),
        .next_shift_us = SHIFT_PERIOD_US,
    };
    _setup_ranks(&draw);
    _draw_all(&draw);
    ar_trace *trace = g_new0(ar_trace, 1);
    trace->count = draw.requests->len;
    trace->rate_1x = draw.rate_1x;
    trace->requests = (ar_request *)(void *)g_array_free(draw.requests, FALSE);
    g_rand_free(draw.random);
    g_free(draw.chances);
    g_free(draw.adapters);
    return trace;
}

void
ar_destroy(ar_trace *trace)
{
    g_free(trace->requests);
    g_free(trace);
}
