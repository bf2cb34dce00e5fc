/* Plays the load that shares of the weight store answer: several instances
   ask for more adapters than the store brings at full speed. */
#include "run.h"
#include "transit.h"
#include <glib.h>

#define INSTANCES 8
#define STEP_MS 5
#define USUAL_MS 250
#define SECONDS 60
#define WARM_S 10

typedef struct instance {
    ts_share share;
    GArray *loads; /* double: ms of it that are left, at full speed */
    GArray *begun; /* uint32_t: its time */
} instance;

typedef struct store {
    instance instances[INSTANCES];
    uint32_t full_speed; /* loads at once */
    uint32_t now_ms;
    uint32_t done;
    double duration_ms;
} store;

static uint32_t
count(const store *s)
{
    uint32_t sum = 0;
    for (int i = 0; i < INSTANCES; i++) {
        sum += s->instances[i].loads->len;
    }
    return sum;
}

static void
step(store *s, uint32_t askers)
{
    s->now_ms += STEP_MS;
    double speed = MIN(1.0, (double)s->full_speed / MAX(count(s), 1));
    for (uint32_t i = 0; i < INSTANCES; i++) {
        instance *in = &s->instances[i];
        for (guint k = in->loads->len; k > 0; k--) {
            double *left = &g_array_index(in->loads, double, k - 1);
            *left -= STEP_MS * speed;
            if (*left > 0) {
                continue;
            }
            uint32_t took =
                s->now_ms - g_array_index(in->begun, uint32_t, k - 1);
            ts_feed_load(&in->share, took);
            s->done += s->now_ms > WARM_S * 1000;
            s->duration_ms += s->now_ms > WARM_S * 1000 ? took : 0;
            g_array_remove_index_fast(in->loads, k - 1);
            g_array_remove_index_fast(in->begun, k - 1);
        }
        while (i < askers && ts_query_may_load(&in->share, in->loads->len)) {
            double left = USUAL_MS;
            g_array_append_val(in->loads, left);
            g_array_append_val(in->begun, s->now_ms);
        }
    }
}

static void
play(uint32_t full_speed, uint32_t askers, store *s)
{
    *s = (store){.full_speed = full_speed};
    for (int i = 0; i < INSTANCES; i++) {
        ts_setup(&s->instances[i].share);
        s->instances[i].loads = g_array_new(FALSE, FALSE, sizeof(double));
        s->instances[i].begun = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    }
    while (s->now_ms < SECONDS * 1000) {
        step(s, askers);
    }
    for (int i = 0; i < INSTANCES; i++) {
        g_array_unref(s->instances[i].loads);
        g_array_unref(s->instances[i].begun);
    }
}

/* The store is used in full, and a load takes at most twice its usual time:
   8 shares of 4 would take four times it. */
START_TEST(test_shares_fit_the_store)
{
    static const uint32_t speeds[] = {8, 16, 32};
    static const uint32_t askers[] = {8, 2, 4};
    store s;
    play(speeds[_i], askers[_i], &s);
    double most = (double)speeds[_i] * (SECONDS - WARM_S) * 1000 / USUAL_MS;
    ck_assert_msg(s.done >= 0.9 * most, "%u of %.0f loads", s.done, most);
    ck_assert_msg(s.duration_ms / s.done <= 2.0 * USUAL_MS,
                  "%.0f ms for a load", s.duration_ms / s.done);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("transit");
    tcase_add_loop_test(tcase, test_shares_fit_the_store, 0, 3);
    return run_case("transit", tcase);
}
