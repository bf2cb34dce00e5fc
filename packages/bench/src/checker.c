/* Counts a policy's violations of its guarantees. */
#include "checker.h"
#include <glib.h>

typedef struct vc_leg {
    uint32_t adapter;
    uint32_t parent;
    uint32_t possible_runs; /* attempts that may have run, including those of
                               forwarded legs */
    bool ended;
} vc_leg;

struct vc_checker {
    vc_desc desc;
    GArray *legs;         /* vc_leg */
    uint16_t *in_use;     /* number of attempts, by server and adapter */
    uint64_t *leaving_us; /* by server; UINT64_MAX: does not leave */
    uint32_t in_transit;
    double allowance; /* loads in the token bucket */
    uint64_t allowance_updated_us;
    uint32_t counts[VC_KIND_NUM];
};

vc_checker *
vc_create(const vc_desc *desc)
{
    vc_checker *checker = g_new0(vc_checker, 1);
    checker->desc = *desc;
    checker->legs = g_array_new(FALSE, FALSE, sizeof(vc_leg));
    checker->in_use = g_new0(uint16_t, (gsize)desc->servers * desc->adapters);
    checker->leaving_us = g_new(uint64_t, desc->servers);
    for (uint32_t i = 0; i < desc->servers; i++) {
        checker->leaving_us[i] = UINT64_MAX;
    }
    checker->allowance = desc->loads_in_transit;
    return checker;
}

void
vc_destroy(vc_checker *checker)
{
    g_array_unref(checker->legs);
    g_free(checker->in_use);
    g_free(checker->leaving_us);
    g_free(checker);
}

static vc_leg *
_leg(vc_checker *checker, uint32_t leg)
{
    g_assert(leg < checker->legs->len);
    return &g_array_index(checker->legs, vc_leg, leg);
}

static uint16_t *
_in_use(vc_checker *checker, uint32_t server, uint32_t adapter)
{
    return &checker->in_use[(gsize)server * checker->desc.adapters + adapter];
}

/* Adds to possible_runs of a leg and of all its ancestors. */
static void
_add_possible_runs(vc_checker *checker, uint32_t leg, uint32_t amount)
{
    while (leg != VC_NO_PARENT) {
        vc_leg *state = _leg(checker, leg);
        state->possible_runs += amount;
        leg = state->parent;
    }
}

void
vc_add_leg(vc_checker *checker, uint32_t leg, uint32_t adapter,
           uint32_t parent)
{
    g_assert(leg == checker->legs->len);
    vc_leg state = {.adapter = adapter, .parent = parent};
    g_array_append_val(checker->legs, state);
}

void
vc_start_attempt(vc_checker *checker, uint64_t now_us, uint32_t leg,
                 uint32_t server, uint32_t adapter)
{
    vc_leg *state = _leg(checker, leg);
    if (state->adapter != adapter) {
        checker->counts[VC_WRONG_ADAPTER]++;
    }
    if (state->ended) {
        checker->counts[VC_SENT_AFTER_END]++;
    }
    uint64_t leaving_us = checker->leaving_us[server];
    if (leaving_us != UINT64_MAX &&
        now_us > leaving_us + VC_LEAVING_GRACE_US) {
        checker->counts[VC_SENT_TO_LEAVING]++;
    }
    (*_in_use(checker, server, adapter))++;
    _add_possible_runs(checker, leg, 1);
}

void
vc_end_attempt(vc_checker *checker, uint32_t leg, uint32_t server,
               uint32_t adapter, bool not_started)
{
    uint16_t *in_use = _in_use(checker, server, adapter);
    g_assert(*in_use > 0);
    (*in_use)--;
    if (not_started) {
        /* Wraps around: subtracts 1. */
        _add_possible_runs(checker, leg, UINT32_MAX);
    }
}

void
vc_start_load(vc_checker *checker, uint64_t now_us)
{
    double passed_s = (double)(now_us - checker->allowance_updated_us) / 1e6;
    double rate = checker->desc.loads_per_s_milli / 1000.0;
    checker->allowance = MIN(checker->desc.loads_in_transit,
                             checker->allowance + passed_s * rate);
    checker->allowance_updated_us = now_us;
    if (checker->allowance < 1) {
        checker->counts[VC_STORE_RATE]++;
    }
    else {
        checker->allowance--;
    }
    checker->in_transit++;
    if (checker->in_transit > checker->desc.loads_in_transit) {
        checker->counts[VC_STORE_TRANSIT]++;
    }
}

void
vc_end_load(vc_checker *checker)
{
    g_assert(checker->in_transit > 0);
    checker->in_transit--;
}

void
vc_evict(vc_checker *checker, uint32_t server, uint32_t adapter)
{
    if (*_in_use(checker, server, adapter) > 0) {
        checker->counts[VC_EVICTED_IN_USE]++;
    }
}

void
vc_set_leaving(vc_checker *checker, uint64_t now_us, uint32_t server)
{
    checker->leaving_us[server] = now_us;
}

void
vc_end_leg(vc_checker *checker, uint32_t leg)
{
    vc_leg *state = _leg(checker, leg);
    if (state->ended) {
        checker->counts[VC_TWO_ENDS]++;
    }
    state->ended = true;
}

void
vc_refuse_leg(vc_checker *checker, uint32_t leg, bool ran)
{
    vc_leg *state = _leg(checker, leg);
    if (!ran && state->possible_runs > 0) {
        checker->counts[VC_REFUSED_BUT_SENT]++;
    }
    vc_end_leg(checker, leg);
}

uint32_t
vc_query_count(const vc_checker *checker, vc_kind kind)
{
    return checker->counts[kind];
}

uint32_t
vc_query_total(const vc_checker *checker)
{
    uint32_t total = 0;
    for (int i = 0; i < VC_KIND_NUM; i++) {
        total += checker->counts[i];
    }
    return total;
}

const char *
vc_query_name(vc_kind kind)
{
    static const char *const names[] = {
#define VC_NAME(code, name) name,
        VC_KINDS(VC_NAME)
#undef VC_NAME
    };
    return names[kind];
}
