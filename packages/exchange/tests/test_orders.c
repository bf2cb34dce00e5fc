/* Tests of the orders of one server, against a simulated engine that follows
   the platform's rules: it counts orders and checks the count of each. Answers
   may be lost, and orders carried out late. */
#include "orders.h"
#include "run.h"

#define MS UINT64_C(1000)
#define ADAPTER_CAPACITY 4
#define LOAD_US (250 * MS)

typedef struct loaded_adapter {
    char *name;
    uint64_t ready_us;
} loaded_adapter;

typedef struct delayed_order {
    uint64_t run_us;
    dl_order_kind kind;
    char *name;
    uint64_t orders;
} delayed_order;

typedef struct engine {
    GArray *adapters; /* loaded_adapter */
    GArray *delayed;  /* delayed_order */
    uint64_t orders;
    bool model;
    bool overloaded;    /* more was loaded than fits */
    uint64_t report_us; /* age of the state in its reports */
} engine;

typedef struct fixture {
    fl_fleet *fleet;
    fl_server *server;
    od_plan *plan;
    engine engine;
    uint64_t now_us;
    GRand *random;
    uint32_t loss_pct;
} fixture;

static const od_limits limits = {.model = "base",
                                 .model_load_ms = 600,
                                 .model_mb = 100,
                                 .adapter_mb = 1,
                                 .server_mb = 1000,
                                 .max_adapters = ADAPTER_CAPACITY,
                                 .may_load_model = true,
                                 .may_load_adapter = true};

static int
find_adapter(const engine *e, const char *name)
{
    for (guint i = 0; i < e->adapters->len; i++) {
        if (strcmp(g_array_index(e->adapters, loaded_adapter, i).name, name) ==
            0) {
            return (int)i;
        }
    }
    return -1;
}

static dl_order_result
engine_execute(fixture *f, dl_order_kind kind, const char *name,
               uint64_t orders)
{
    engine *e = &f->engine;
    if (!name) {
        bool was_loaded = e->model;
        e->model = true;
        e->orders += !was_loaded;
        return was_loaded ? DL_ORDER_ALREADY_DONE : DL_ORDER_ACCEPTED;
    }
    int at = find_adapter(e, name);
    if (kind == DL_LOAD && at >= 0) {
        return f->now_us >=
                       g_array_index(e->adapters, loaded_adapter, at).ready_us
                   ? DL_ORDER_ALREADY_DONE
                   : DL_ORDER_ACCEPTED;
    }
    if (orders != e->orders) {
        return DL_ORDER_CONFLICT;
    }
    e->orders++;
    if (kind == DL_UNLOAD) {
        if (at >= 0) {
            g_free(g_array_index(e->adapters, loaded_adapter, at).name);
            g_array_remove_index_fast(e->adapters, (guint)at);
        }
        return DL_ORDER_ALREADY_DONE;
    }
    loaded_adapter added = {g_strdup(name), f->now_us + LOAD_US};
    g_array_append_val(e->adapters, added);
    e->overloaded = e->overloaded || e->adapters->len > ADAPTER_CAPACITY;
    return DL_ORDER_ACCEPTED;
}

static void
engine_run_delayed(fixture *f)
{
    for (guint i = f->engine.delayed->len; i > 0; i--) {
        delayed_order delayed =
            g_array_index(f->engine.delayed, delayed_order, i - 1);
        if (f->now_us >= delayed.run_us) {
            engine_execute(f, delayed.kind, delayed.name, delayed.orders);
            g_free(delayed.name);
            g_array_remove_index_fast(f->engine.delayed, i - 1);
        }
    }
}

static void
send_report(fixture *f)
{
    dl_server state = {.orders = f->engine.orders, .models = dl_make_models()};
    if (f->engine.model) {
        dl_model model = {.name = g_strdup("base"),
                          .version = 1,
                          .adapters =
                              g_array_new(FALSE, TRUE, sizeof(dl_adapter))};
        for (guint i = 0; i < f->engine.adapters->len; i++) {
            loaded_adapter *loaded =
                &g_array_index(f->engine.adapters, loaded_adapter, i);
            dl_adapter adapter = {.name = g_strdup(loaded->name),
                                  .loading = f->now_us < loaded->ready_us};
            g_array_append_val(model.adapters, adapter);
        }
        g_array_append_val(state.models, model);
    }
    od_feed_report(f->plan, f->now_us, &state);
    dl_clear_server(&state);
}

static void
run_step(fixture *f, const od_step *step)
{
    bool answer_lost =
        (uint32_t)g_rand_int_range(f->random, 0, 100) < f->loss_pct;
    if (step->kind == OD_REPORT) {
        if (answer_lost) {
            od_feed_no_answer(f->plan, f->now_us);
        }
        else {
            send_report(f);
        }
        return;
    }
    const dl_order *order = &step->order;
    ck_assert(order->conditional);
    if (answer_lost && g_rand_boolean(f->random)) {
        delayed_order delayed = {
            f->now_us + (uint64_t)g_rand_int_range(f->random, 500, 8000) * MS,
            order->kind, g_strdup(order->adapter), order->orders};
        g_array_append_val(f->engine.delayed, delayed);
        od_feed_no_answer(f->plan, f->now_us);
        return;
    }
    dl_order_result result =
        engine_execute(f, order->kind, order->adapter, order->orders);
    if (answer_lost) {
        od_feed_no_answer(f->plan, f->now_us);
    }
    else {
        od_feed_order_result(f->plan, f->now_us, result);
    }
}

static void
run_for(fixture *f, uint64_t ms)
{
    for (uint64_t at = 0; at < ms; at += 10) {
        f->now_us += 10 * MS;
        engine_run_delayed(f);
        for (int i = 0; i < 8; i++) {
            od_step step = od_next(f->plan, f->now_us, &limits);
            if (step.kind == OD_NOTHING) {
                break;
            }
            run_step(f, &step);
        }
    }
}

static fixture *
make_fixture(uint32_t seed)
{
    fixture *f = g_new0(fixture, 1);
    f->fleet = fl_create(&(fl_desc){.seed = 1});
    f->now_us = 1000000 * MS;
    f->random = g_rand_new_with_seed(seed);
    f->engine.adapters = g_array_new(FALSE, TRUE, sizeof(loaded_adapter));
    f->engine.delayed = g_array_new(FALSE, TRUE, sizeof(delayed_order));
    f->engine.model = true;
    dl_server entry = {.id = "i-1",
                       .service = "llm",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 8,
                       .state = DL_SERVER_READY,
                       .born_ms = 1};
    fl_put_server(f->fleet, &entry, &f->server);
    f->plan = od_create(&(od_desc){.fleet = f->fleet, .server = f->server});
    return f;
}

static void
free_fixture(fixture *f)
{
    od_destroy(f->plan);
    fl_destroy(f->fleet);
    for (guint i = 0; i < f->engine.adapters->len; i++) {
        g_free(g_array_index(f->engine.adapters, loaded_adapter, i).name);
    }
    for (guint i = 0; i < f->engine.delayed->len; i++) {
        g_free(g_array_index(f->engine.delayed, delayed_order, i).name);
    }
    g_array_unref(f->engine.adapters);
    g_array_unref(f->engine.delayed);
    g_rand_free(f->random);
    g_free(f);
}

static void
request_adapter(fixture *f, int number)
{
    g_autofree char *key = g_strdup_printf("base/a%d", number);
    fl_adapter *adapter = fl_intern(f->fleet, key);
    fl_add_demand(adapter, 1, f->now_us);
    od_request_load(f->plan, adapter, f->now_us);
}

static bool
is_loaded(fixture *f, int number)
{
    g_autofree char *key = g_strdup_printf("base/a%d", number);
    const fl_copy *copy = fl_query_copy(f->server, fl_intern(f->fleet, key));
    return copy && !copy->loading;
}

START_TEST(test_loads_requested_adapter)
{
    fixture *f = make_fixture(1);
    run_for(f, 50);
    request_adapter(f, 1);
    run_for(f, 240);
    ck_assert(!is_loaded(f, 1));
    run_for(f, 60);
    ck_assert(is_loaded(f, 1));
    free_fixture(f);
}
END_TEST

START_TEST(test_loads_model_first)
{
    fixture *f = make_fixture(1);
    f->engine.model = false;
    request_adapter(f, 1);
    run_for(f, 1400);
    ck_assert(f->engine.model);
    request_adapter(f, 1);
    run_for(f, 300);
    ck_assert(is_loaded(f, 1));
    free_fixture(f);
}
END_TEST

/* Guards against polls of a slow load being counted as loads, which would use
   up the rate limit of model loads. */
START_TEST(test_slow_model_is_one_load)
{
    fixture *f = make_fixture(1);
    f->engine.model = false;
    uint32_t loads = 0;
    uint32_t polls = 0;
    for (int i = 0; i < 300; i++) {
        f->now_us += 10 * MS;
        od_step step = od_next(f->plan, f->now_us, &limits);
        if (step.kind == OD_REPORT) {
            send_report(f);
        }
        else if (step.kind == OD_ORDER) {
            loads += !step.is_poll;
            polls += step.is_poll;
            od_feed_order_result(f->plan, f->now_us, DL_ORDER_ACCEPTED);
        }
    }
    ck_assert_uint_eq(loads, 1);
    ck_assert_uint_ge(polls, 5);
    ck_assert_uint_le(polls, 30);
    free_fixture(f);
}
END_TEST

START_TEST(test_evicts_least_needed)
{
    fixture *f = make_fixture(1);
    run_for(f, 50);
    for (int i = 1; i <= ADAPTER_CAPACITY; i++) {
        request_adapter(f, i);
    }
    run_for(f, 600);
    f->now_us += 1000 * MS;
    request_adapter(f, 1);
    request_adapter(f, 9);
    run_for(f, 400);
    ck_assert(is_loaded(f, 1));
    ck_assert(is_loaded(f, 9));
    ck_assert_uint_eq(f->engine.adapters->len, ADAPTER_CAPACITY);
    free_fixture(f);
}
END_TEST

START_TEST(test_polls_do_not_count_as_orders)
{
    fixture *f = make_fixture(1);
    run_for(f, 50);
    request_adapter(f, 1);
    run_for(f, 300);
    uint64_t before = f->engine.orders;
    /* The engine counts a load once, however often it is polled. */
    request_adapter(f, 2);
    run_for(f, 300);
    ck_assert_uint_eq(f->engine.orders, before + 1);
    ck_assert(od_query_state_known(f->plan));
    free_fixture(f);
}
END_TEST

/* With lost answers and orders carried out late, the engine never holds more
   adapters than fit; once the faults end, a requested adapter is loaded. */
START_TEST(test_lost_answers_and_delayed_orders)
{
    for (uint32_t seed = 1; seed <= 300; seed++) {
        fixture *f = make_fixture(seed);
        f->loss_pct = 30;
        for (int i = 0; i < 60; i++) {
            request_adapter(f, g_rand_int_range(f->random, 0, 12));
            run_for(f, (uint64_t)g_rand_int_range(f->random, 10, 500));
            ck_assert_msg(!f->engine.overloaded, "seed %u", seed);
        }
        f->loss_pct = 0;
        run_for(f, 9000);
        request_adapter(f, 3);
        run_for(f, 1500);
        ck_assert_msg(is_loaded(f, 3) && find_adapter(&f->engine, "a3") >= 0,
                      "seed %u", seed);
        ck_assert_msg(!f->engine.overloaded, "seed %u", seed);
        free_fixture(f);
    }
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("orders");
    tcase_set_timeout(tcase, 60);
    tcase_add_test(tcase, test_loads_requested_adapter);
    tcase_add_test(tcase, test_loads_model_first);
    tcase_add_test(tcase, test_slow_model_is_one_load);
    tcase_add_test(tcase, test_evicts_least_needed);
    tcase_add_test(tcase, test_polls_do_not_count_as_orders);
    tcase_add_test(tcase, test_lost_answers_and_delayed_orders);
    return run_case("orders", tcase);
}
