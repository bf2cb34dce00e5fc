/* Simulates a demand for many adapters, few of them hot, at servers of two
   speeds with few places. Checks the share of requests that are sent in time
   and to fast servers. */
#include "load_simulation.h"
#include "run.h"

#define MS UINT64_C(1000)
#define SERVERS 12
#define FAST 3 /* the first ones */
#define PLACES 33
#define FETCH_MS 250
#define STEP_MS 10
#define REQUESTS_PER_S 90
#define SECONDS 30
#define WARMUP_S 8

typedef struct request_end {
    uint64_t at_us;
    fl_server *server;
    fl_adapter *adapter;
} request_end;

typedef struct request {
    uint64_t begun_us;
    fl_adapter *adapter;
} request;

typedef struct simulation {
    fl_fleet *fleet;
    fl_server *servers[SERVERS];
    od_plan *plans[SERVERS];
    uint64_t now_us;
    GArray *ends;    /* request_end */
    GArray *waiting; /* request */
    demand demand;
    uint64_t asked_us[ADAPTERS];
    uint32_t sent;
    uint32_t sent_fast;
    uint32_t in_time; /* sent within 400 ms */
    uint32_t timed_out;
    uint32_t loads;
} simulation;

static const od_limits constraints = {.model = "base",
                                      .model_load_ms = 600,
                                      .model_mb = 100,
                                      .adapter_mb = 1,
                                      .server_mb = 1000,
                                      .max_adapters = PLACES,
                                      .may_load_model = true,
                                      .may_load_adapter = true};

static bool
is_fast(const simulation *s, const fl_server *server)
{
    for (int i = 0; i < FAST; i++) {
        if (s->servers[i] == server) {
            return true;
        }
    }
    return false;
}

static simulation *
make_simulation(uint32_t seed)
{
    simulation *s = g_new0(simulation, 1);
    s->fleet = fl_create(&(fl_desc){.seed = seed});
    s->now_us = 1000000 * MS;
    s->ends = g_array_new(FALSE, TRUE, sizeof(request_end));
    s->waiting = g_array_new(FALSE, TRUE, sizeof(request));
    setup_demand(&s->demand, seed);
    for (int i = 0; i < SERVERS; i++) {
        s->servers[i] = add_engine(s->fleet, seed, i, &constraints, s->now_us,
                                   &s->plans[i]);
    }
    return s;
}

static void
free_simulation(simulation *s)
{
    for (int i = 0; i < SERVERS; i++) {
        od_destroy(s->plans[i]);
    }
    fl_destroy(s->fleet);
    g_array_unref(s->ends);
    g_array_unref(s->waiting);
    g_rand_free(s->demand.random);
    g_free(s);
}

/* Answers the orders as the engines would: a load is accepted first, and an
   order that asks about it again finds it done. */
static void
run_orders(simulation *s)
{
    for (int i = 0; i < SERVERS; i++) {
        for (int k = 0; k < 6; k++) {
            od_step step = od_next(s->plans[i], s->now_us, &constraints);
            if (step.kind != OD_ORDER) {
                break;
            }
            s->loads += step.order.kind == DL_LOAD && !step.is_poll;
            od_feed_order_result(s->plans[i], s->now_us,
                                 step.order.kind == DL_UNLOAD || step.is_poll
                                     ? DL_ORDER_ALREADY_DONE
                                     : DL_ORDER_ACCEPTED);
        }
    }
}

static void
request_load(simulation *s, fl_adapter *adapter)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        if (((fl_copy *)adapter->copies->pdata[i])->loading) {
            return;
        }
    }
    if (s->now_us < adapter->last_load_request_us + 200 * MS) {
        return;
    }
    fl_server *server =
        fl_choose_load_server(s->fleet, "llm", adapter, s->now_us);
    for (int i = 0; server && i < SERVERS; i++) {
        if (s->servers[i] == server) {
            adapter->last_load_request_us = s->now_us;
            od_request_load(s->plans[i], adapter, s->now_us);
        }
    }
}

static bool
try_send(simulation *s, const request *r, bool measured)
{
    fl_choice choice;
    bool chosen = fl_choose_server(s->fleet,
                                   &(fl_request){.service = "llm",
                                                 .adapter = r->adapter,
                                                 .zone = "z1",
                                                 .now_us = s->now_us},
                                   &choice);
    if (!chosen || choice.needs_another_copy) {
        request_load(s, r->adapter);
    }
    if (!chosen) {
        return false;
    }
    bool fast = is_fast(s, choice.server);
    fl_begin_request(choice.server, r->adapter, s->now_us);
    request_end end = {s->now_us + (fast ? 900 : 1900) * MS, choice.server,
                       r->adapter};
    g_array_append_val(s->ends, end);
    if (measured) {
        s->sent++;
        s->sent_fast += fast;
        s->in_time += s->now_us <= r->begun_us + 400 * MS;
    }
    return true;
}

static void
end_requests(simulation *s)
{
    for (guint i = s->ends->len; i > 0; i--) {
        request_end end = g_array_index(s->ends, request_end, i - 1);
        if (s->now_us >= end.at_us) {
            fl_end_request(
                end.server, end.adapter,
                &(fl_result){.outcome = FL_SUCCEEDED,
                             .event_ms = is_fast(s, end.server) ? 30 : 65,
                             .now_us = s->now_us});
            g_array_remove_index_fast(s->ends, i - 1);
        }
    }
}

static fl_adapter *
draw_adapter(simulation *s)
{
    int rank = draw_adapter_rank(&s->demand);
    g_autofree char *key = g_strdup_printf("base/a%d", rank);
    return fl_intern(s->fleet, key);
}

static void
simulate(simulation *s)
{
    for (int step = 0; step < SECONDS * 1000 / STEP_MS; step++) {
        s->now_us += STEP_MS * MS;
        bool measured = step >= WARMUP_S * 1000 / STEP_MS;
        end_requests(s);
        run_orders(s);
        if (g_rand_double(s->demand.random) <
            REQUESTS_PER_S * STEP_MS / 1000.0) {
            request r = {s->now_us, draw_adapter(s)};
            fl_count_own_request(s->fleet, r.adapter, s->now_us);
            g_array_append_val(s->waiting, r);
        }
        for (guint i = s->waiting->len; i > 0; i--) {
            request r = g_array_index(s->waiting, request, i - 1);
            bool expired = s->now_us > r.begun_us + 1800 * MS;
            if (try_send(s, &r, measured) || expired) {
                s->timed_out += expired && measured;
                g_array_remove_index_fast(s->waiting, i - 1);
            }
        }
    }
}

/* With all speeds known, the 99 places of the fast servers could serve 78 % of
   the requests, and 9 in 10 of the others find a copy or get one. At least
   60 % must go to fast servers, and 95 % be sent within 400 ms. */
START_TEST(test_fast_servers_are_preferred)
{
    simulation *s = make_simulation((uint32_t)_i + 1);
    simulate(s);
    ck_assert_uint_eq(s->timed_out, 0);
    ck_assert_msg(s->in_time >= s->sent * 0.95, "%u of %u in time", s->in_time,
                  s->sent);
    ck_assert_msg(s->sent_fast >= s->sent * 0.6, "%u of %u at fast servers",
                  s->sent_fast, s->sent);
    free_simulation(s);
}
END_TEST

/* A long prompt goes to the server where it stalls fewer streams, also if that
   one is slower. */
START_TEST(test_long_prompts_avoid_busy_servers)
{
    simulation *s = make_simulation(1);
    fl_adapter *hot = fl_intern(s->fleet, "base/a1");
    for (int i = 0; i < 2; i++) {
        fl_put_copy(s->servers[i], hot, 0, false, s->now_us);
        fl_update_event_ms(s->servers[i], 50, 50 * (i ? 60.0 : 45.0));
    }
    fl_set_peer_in_flight(s->servers[0], 1, 20, s->now_us);
    fl_set_peer_in_flight(s->servers[1], 1, 4, s->now_us);
    fl_request prompt_request = {.service = "llm",
                                 .adapter = hot,
                                 .zone = "z1",
                                 .prompt_tokens = 100,
                                 .now_us = s->now_us};
    fl_choice choice;
    ck_assert(fl_choose_server(s->fleet, &prompt_request, &choice));
    ck_assert_ptr_eq(choice.server, s->servers[0]);
    prompt_request.prompt_tokens = 2400;
    ck_assert(fl_choose_server(s->fleet, &prompt_request, &choice));
    ck_assert_ptr_eq(choice.server, s->servers[1]);
    free_simulation(s);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("placement_load");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_fast_servers_are_preferred, 0, 5);
    tcase_add_test(tcase, test_long_prompts_avoid_busy_servers);
    return run_case("placement_load", tcase);
}
