/* Simulates several instances that request more adapters than the weight store
   serves at full speed, each with its own limit of loads at once. */
#include "load_limit.h"
#include "run.h"
#include <glib.h>

#define INSTANCES 8
#define STEP_MS 5
#define FULL_SPEED_MS 250
#define SECONDS 60
#define WARMUP_S 10

typedef struct instance {
    ll_limit limit;
    GArray *loads;    /* double: ms left of each, at full speed */
    GArray *begun_ms; /* uint32_t: start of each */
} instance;

typedef struct store {
    instance instances[INSTANCES];
    uint32_t full_speed; /* most loads at once at full speed */
    uint32_t now_ms;
    uint32_t done;
    double duration_ms;
} store;

static uint32_t
count_loads(const store *s)
{
    uint32_t sum = 0;
    for (int i = 0; i < INSTANCES; i++) {
        sum += s->instances[i].loads->len;
    }
    return sum;
}

static void
run_step(store *s, uint32_t requesters)
{
    s->now_ms += STEP_MS;
    double speed = MIN(1.0, (double)s->full_speed / MAX(count_loads(s), 1));
    for (uint32_t i = 0; i < INSTANCES; i++) {
        instance *in = &s->instances[i];
        for (guint k = in->loads->len; k > 0; k--) {
            double *left_ms = &g_array_index(in->loads, double, k - 1);
            *left_ms -= STEP_MS * speed;
            if (*left_ms > 0) {
                continue;
            }
            uint32_t took_ms =
                s->now_ms - g_array_index(in->begun_ms, uint32_t, k - 1);
            ll_feed_load(&in->limit, took_ms);
            s->done += s->now_ms > WARMUP_S * 1000;
            s->duration_ms += s->now_ms > WARMUP_S * 1000 ? took_ms : 0;
            g_array_remove_index_fast(in->loads, k - 1);
            g_array_remove_index_fast(in->begun_ms, k - 1);
        }
        while (i < requesters &&
               ll_query_may_load(&in->limit, in->loads->len)) {
            double left_ms = FULL_SPEED_MS;
            g_array_append_val(in->loads, left_ms);
            g_array_append_val(in->begun_ms, s->now_ms);
        }
    }
}

static void
simulate(uint32_t full_speed, uint32_t requesters, store *s)
{
    *s = (store){.full_speed = full_speed};
    for (int i = 0; i < INSTANCES; i++) {
        ll_setup(&s->instances[i].limit);
        s->instances[i].loads = g_array_new(FALSE, FALSE, sizeof(double));
        s->instances[i].begun_ms = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    }
    while (s->now_ms < SECONDS * 1000) {
        run_step(s, requesters);
    }
    for (int i = 0; i < INSTANCES; i++) {
        g_array_unref(s->instances[i].loads);
        g_array_unref(s->instances[i].begun_ms);
    }
}

/* The store delivers at least 90 % of what it can, and a load takes at most
   twice its time at full speed. With fixed limits of 4 loads at 8 instances,
   loads would take four times that at the smallest store. */
START_TEST(test_limits_settle_at_store_capacity)
{
    static const uint32_t full_speeds[] = {8, 16, 32};
    static const uint32_t requesters[] = {8, 2, 4};
    store s;
    simulate(full_speeds[_i], requesters[_i], &s);
    double possible_loads =
        (double)full_speeds[_i] * (SECONDS - WARMUP_S) * 1000 / FULL_SPEED_MS;
    ck_assert_msg(s.done >= 0.9 * possible_loads, "%u of %.0f loads", s.done,
                  possible_loads);
    ck_assert_msg(s.duration_ms / s.done <= 2.0 * FULL_SPEED_MS,
                  "%.0f ms for a load", s.duration_ms / s.done);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("load_limit");
    tcase_add_loop_test(tcase, test_limits_settle_at_store_capacity, 0, 3);
    return run_case("load_limit", tcase);
}
