/* Tests of the orders of one server, against an engine that carries them out
   as the platform's engines do: it counts orders, checks the count, may lose
   answers and carry orders out late. */
#include "orders.h"
#include "run.h"

#define MS UINT64_C(1000)
#define PLACES 4
#define LOAD_US (250 * MS)

typedef struct held {
    char *name;
    uint64_t ready_us;
} held;

typedef struct late {
    uint64_t at_us;
    dl_order_kind kind;
    char *name;
    uint64_t orders;
} late;

typedef struct engine {
    GArray *adapters; /* held */
    GArray *late;     /* late */
    uint64_t orders;
    bool model;
    bool crashed;       /* more was loaded than it holds */
    uint64_t report_us; /* what it tells is so old */
} engine;

typedef struct scene {
    fl_fleet *fleet;
    fl_server *server;
    od_plan *plan;
    engine engine;
    uint64_t now_us;
    GRand *random;
    uint32_t lose_pct;
} scene;

static const od_room room = {.model = "base",
                             .model_load_ms = 600,
                             .model_mb = 100,
                             .adapter_mb = 1,
                             .server_mb = 1000,
                             .max_adapters = PLACES,
                             .may_load_model = true,
                             .may_load_adapter = true};

static int
find(const engine *e, const char *name)
{
    for (guint i = 0; i < e->adapters->len; i++) {
        if (strcmp(g_array_index(e->adapters, held, i).name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static dl_order_result
engine_take(scene *s, dl_order_kind kind, const char *name, uint64_t orders)
{
    engine *e = &s->engine;
    if (!name) {
        bool had = e->model;
        e->model = true;
        e->orders += !had;
        return had ? DL_ORDER_ALREADY_DONE : DL_ORDER_ACCEPTED;
    }
    int at = find(e, name);
    if (kind == DL_LOAD && at >= 0) {
        return s->now_us >= g_array_index(e->adapters, held, at).ready_us
                   ? DL_ORDER_ALREADY_DONE
                   : DL_ORDER_ACCEPTED;
    }
    if (orders != e->orders) {
        return DL_ORDER_CONFLICT;
    }
    e->orders++;
    if (kind == DL_UNLOAD) {
        if (at >= 0) {
            g_free(g_array_index(e->adapters, held, at).name);
            g_array_remove_index_fast(e->adapters, (guint)at);
        }
        return DL_ORDER_ALREADY_DONE;
    }
    held new_one = {g_strdup(name), s->now_us + LOAD_US};
    g_array_append_val(e->adapters, new_one);
    e->crashed = e->crashed || e->adapters->len > PLACES;
    return DL_ORDER_ACCEPTED;
}

static void
engine_late(scene *s)
{
    for (guint i = s->engine.late->len; i > 0; i--) {
        late one = g_array_index(s->engine.late, late, i - 1);
        if (s->now_us >= one.at_us) {
            engine_take(s, one.kind, one.name, one.orders);
            g_free(one.name);
            g_array_remove_index_fast(s->engine.late, i - 1);
        }
    }
}

static void
report(scene *s)
{
    dl_server told = {.orders = s->engine.orders, .models = dl_make_models()};
    if (s->engine.model) {
        dl_model model = {.name = g_strdup("base"),
                          .version = 1,
                          .adapters =
                              g_array_new(FALSE, TRUE, sizeof(dl_adapter))};
        for (guint i = 0; i < s->engine.adapters->len; i++) {
            held *one = &g_array_index(s->engine.adapters, held, i);
            dl_adapter adapter = {.name = g_strdup(one->name),
                                  .loading = s->now_us < one->ready_us};
            g_array_append_val(model.adapters, adapter);
        }
        g_array_append_val(told.models, model);
    }
    od_feed_report(s->plan, s->now_us, &told);
    dl_clear_server(&told);
}

static void
carry_out(scene *s, const od_step *step)
{
    bool lost = (uint32_t)g_rand_int_range(s->random, 0, 100) < s->lose_pct;
    if (step->kind == OD_REPORT) {
        if (lost) {
            od_feed_silence(s->plan, s->now_us);
        }
        else {
            report(s);
        }
        return;
    }
    const dl_order *order = &step->order;
    ck_assert(order->conditional);
    if (lost && g_rand_boolean(s->random)) {
        late one = {s->now_us +
                        (uint64_t)g_rand_int_range(s->random, 500, 8000) * MS,
                    order->kind, g_strdup(order->adapter), order->orders};
        g_array_append_val(s->engine.late, one);
        od_feed_silence(s->plan, s->now_us);
        return;
    }
    dl_order_result result =
        engine_take(s, order->kind, order->adapter, order->orders);
    if (lost) {
        od_feed_silence(s->plan, s->now_us);
    }
    else {
        od_feed_order(s->plan, s->now_us, result);
    }
}

static void
run_for(scene *s, uint64_t ms)
{
    for (uint64_t at = 0; at < ms; at += 10) {
        s->now_us += 10 * MS;
        engine_late(s);
        for (int i = 0; i < 8; i++) {
            od_step step = od_next(s->plan, s->now_us, &room);
            if (step.kind == OD_NOTHING) {
                break;
            }
            carry_out(s, &step);
        }
    }
}

static scene *
make(uint32_t seed)
{
    scene *s = g_new0(scene, 1);
    s->fleet = fl_create(&(fl_desc){.seed = 1});
    s->now_us = 1000000 * MS;
    s->random = g_rand_new_with_seed(seed);
    s->engine.adapters = g_array_new(FALSE, TRUE, sizeof(held));
    s->engine.late = g_array_new(FALSE, TRUE, sizeof(late));
    s->engine.model = true;
    dl_server entry = {.id = "i-1",
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 8,
                       .state = DL_SERVER_READY,
                       .born_ms = 1};
    fl_put_server(s->fleet, &entry, &s->server);
    s->plan = od_create(&(od_desc){.fleet = s->fleet, .server = s->server});
    return s;
}

static void
free_scene(scene *s)
{
    od_destroy(s->plan);
    fl_destroy(s->fleet);
    for (guint i = 0; i < s->engine.adapters->len; i++) {
        g_free(g_array_index(s->engine.adapters, held, i).name);
    }
    for (guint i = 0; i < s->engine.late->len; i++) {
        g_free(g_array_index(s->engine.late, late, i).name);
    }
    g_array_unref(s->engine.adapters);
    g_array_unref(s->engine.late);
    g_rand_free(s->random);
    g_free(s);
}

static void
want(scene *s, int number)
{
    g_autofree char *key = g_strdup_printf("base/a%d", number);
    fl_adapter *adapter = fl_intern(s->fleet, key);
    fl_add_use(adapter, 1, s->now_us);
    od_want(s->plan, adapter, s->now_us);
}

static bool
loaded(scene *s, int number)
{
    g_autofree char *key = g_strdup_printf("base/a%d", number);
    const fl_copy *copy = fl_query_copy(s->server, fl_intern(s->fleet, key));
    return copy && !copy->loading;
}

START_TEST(test_loads_what_is_wanted)
{
    scene *s = make(1);
    run_for(s, 50);
    want(s, 1);
    run_for(s, 240);
    ck_assert(!loaded(s, 1));
    run_for(s, 60);
    ck_assert(loaded(s, 1));
    free_scene(s);
}
END_TEST

START_TEST(test_model_first)
{
    scene *s = make(1);
    s->engine.model = false;
    want(s, 1);
    run_for(s, 1400);
    ck_assert(s->engine.model);
    want(s, 1);
    run_for(s, 300);
    ck_assert(loaded(s, 1));
    free_scene(s);
}
END_TEST

/* A load that takes longer than usual is one load, asked after now and then:
   what pays for loads must not pay for that. */
START_TEST(test_slow_model_is_one_load)
{
    scene *s = make(1);
    s->engine.model = false;
    uint32_t loads = 0;
    uint32_t asks = 0;
    for (int i = 0; i < 300; i++) {
        s->now_us += 10 * MS;
        od_step step = od_next(s->plan, s->now_us, &room);
        if (step.kind == OD_REPORT) {
            report(s);
        }
        else if (step.kind == OD_ORDER) {
            loads += !step.asks;
            asks += step.asks;
            od_feed_order(s->plan, s->now_us, DL_ORDER_ACCEPTED);
        }
    }
    ck_assert_uint_eq(loads, 1);
    ck_assert_uint_ge(asks, 5);
    ck_assert_uint_le(asks, 30);
    free_scene(s);
}
END_TEST

START_TEST(test_makes_room)
{
    scene *s = make(1);
    run_for(s, 50);
    for (int i = 1; i <= PLACES; i++) {
        want(s, i);
    }
    run_for(s, 600);
    s->now_us += 1000 * MS;
    want(s, 1);
    want(s, 9);
    run_for(s, 400);
    ck_assert(loaded(s, 1));
    ck_assert(loaded(s, 9));
    ck_assert_uint_eq(s->engine.adapters->len, PLACES);
    free_scene(s);
}
END_TEST

START_TEST(test_at_hand_is_found_early)
{
    scene *s = make(1);
    run_for(s, 50);
    want(s, 1);
    run_for(s, 300);
    uint64_t before = s->engine.orders;
    /* A load that is asked after is no further order. */
    want(s, 2);
    run_for(s, 300);
    ck_assert_uint_eq(s->engine.orders, before + 1);
    ck_assert(od_query_known(s->plan));
    free_scene(s);
}
END_TEST

/* Answers lost, orders carried out late: it never holds more than it may, and
   once all is well what is wanted is there. */
START_TEST(test_lost_and_late)
{
    for (uint32_t seed = 1; seed <= 300; seed++) {
        scene *s = make(seed);
        s->lose_pct = 30;
        for (int i = 0; i < 60; i++) {
            want(s, g_rand_int_range(s->random, 0, 12));
            run_for(s, (uint64_t)g_rand_int_range(s->random, 10, 500));
            ck_assert_msg(!s->engine.crashed, "seed %u", seed);
        }
        s->lose_pct = 0;
        run_for(s, 9000);
        want(s, 3);
        run_for(s, 1500);
        ck_assert_msg(loaded(s, 3) && find(&s->engine, "a3") >= 0, "seed %u",
                      seed);
        ck_assert_msg(!s->engine.crashed, "seed %u", seed);
        free_scene(s);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("orders");
    tcase_set_timeout(tcase, 60);
    tcase_add_test(tcase, test_loads_what_is_wanted);
    tcase_add_test(tcase, test_model_first);
    tcase_add_test(tcase, test_slow_model_is_one_load);
    tcase_add_test(tcase, test_makes_room);
    tcase_add_test(tcase, test_at_hand_is_found_early);
    tcase_add_test(tcase, test_lost_and_late);
    return run_case("orders", tcase);
}
