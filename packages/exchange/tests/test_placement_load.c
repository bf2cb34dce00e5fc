/* Plays the load that placing and choosing answer: many adapters, few of them
   hot, on servers with few places and of two speeds; what callers get. */
#include "load.h"
#include "run.h"

#define MS UINT64_C(1000)
#define SERVERS 12
#define FAST 3 /* the first ones */
#define PLACES 33
#define LOAD_MS 250
#define STEP_MS 10
#define PER_S 90
#define SECONDS 30
#define WARM_S 8

typedef struct run_end {
    uint64_t at_us;
    fl_server *server;
    fl_adapter *adapter;
} run_end;

typedef struct request {
    uint64_t begun_us;
    fl_adapter *adapter;
} request;

typedef struct play {
    fl_fleet *fleet;
    fl_server *servers[SERVERS];
    od_plan *plans[SERVERS];
    uint64_t now_us;
    GArray *ends;    /* run_end */
    GArray *waiting; /* request */
    demand demand;
    uint64_t asked_us[ADAPTERS];
    uint32_t sent;
    uint32_t sent_fast;
    uint32_t in_time; /* sent within 400 ms */
    uint32_t given_up;
    uint32_t loads;
} play;

static const od_room room = {.model = "base",
                             .model_load_ms = 600,
                             .model_mb = 100,
                             .adapter_mb = 1,
                             .server_mb = 1000,
                             .max_adapters = PLACES,
                             .may_load_model = true,
                             .may_load_adapter = true};

static bool
is_fast(const play *p, const fl_server *server)
{
    for (int i = 0; i < FAST; i++) {
        if (p->servers[i] == server) {
            return true;
        }
    }
    return false;
}

static play *
make(uint32_t seed)
{
    play *p = g_new0(play, 1);
    p->fleet = fl_create(&(fl_desc){.seed = seed});
    p->now_us = 1000000 * MS;
    p->ends = g_array_new(FALSE, TRUE, sizeof(run_end));
    p->waiting = g_array_new(FALSE, TRUE, sizeof(request));
    setup_demand(&p->demand, seed);
    for (int i = 0; i < SERVERS; i++) {
        p->servers[i] =
            add_engine(p->fleet, seed, i, &room, p->now_us, &p->plans[i]);
    }
    return p;
}

static void
free_play(play *p)
{
    for (int i = 0; i < SERVERS; i++) {
        od_destroy(p->plans[i]);
    }
    fl_destroy(p->fleet);
    g_array_unref(p->ends);
    g_array_unref(p->waiting);
    g_rand_free(p->demand.random);
    g_free(p);
}

/* The engine: loads take their time, asking after them tells. */
static void
step_orders(play *p)
{
    for (int i = 0; i < SERVERS; i++) {
        for (int k = 0; k < 6; k++) {
            od_step step = od_next(p->plans[i], p->now_us, &room);
            if (step.kind != OD_ORDER) {
                break;
            }
            p->loads += step.order.kind == DL_LOAD && !step.asks;
            od_feed_order(p->plans[i], p->now_us,
                          step.order.kind == DL_UNLOAD || step.asks
                              ? DL_ORDER_ALREADY_DONE
                              : DL_ORDER_ACCEPTED);
        }
    }
}

static void
ask(play *p, fl_adapter *adapter)
{
    for (guint i = 0; i < adapter->copies->len; i++) {
        if (((fl_copy *)adapter->copies->pdata[i])->loading) {
            return;
        }
    }
    if (p->now_us < adapter->asked_us + 200 * MS) {
        return;
    }
    fl_server *server = fl_place(p->fleet, "llm", adapter, p->now_us);
    for (int i = 0; server && i < SERVERS; i++) {
        if (p->servers[i] == server) {
            adapter->asked_us = p->now_us;
            od_want(p->plans[i], adapter, p->now_us);
        }
    }
}

static bool
try_send(play *p, const request *r, bool counts)
{
    fl_choice choice;
    bool chosen = fl_choose(p->fleet,
                            &(fl_want){.service = "llm",
                                       .adapter = r->adapter,
                                       .zone = "z1",
                                       .now_us = p->now_us},
                            &choice);
    if (!chosen || choice.more_copies) {
        ask(p, r->adapter);
    }
    if (!chosen) {
        return false;
    }
    bool fast = is_fast(p, choice.server);
    fl_begin(choice.server, r->adapter, p->now_us);
    run_end end = {p->now_us + (fast ? 900 : 1900) * MS, choice.server,
                   r->adapter};
    g_array_append_val(p->ends, end);
    if (counts) {
        p->sent++;
        p->sent_fast += fast;
        p->in_time += p->now_us <= r->begun_us + 400 * MS;
    }
    return true;
}

static void
end_runs(play *p)
{
    for (guint i = p->ends->len; i > 0; i--) {
        run_end end = g_array_index(p->ends, run_end, i - 1);
        if (p->now_us >= end.at_us) {
            fl_end(end.server, end.adapter,
                   &(fl_result){.outcome = FL_GOOD,
                                .event_ms = is_fast(p, end.server) ? 30 : 65,
                                .now_us = p->now_us});
            g_array_remove_index_fast(p->ends, i - 1);
        }
    }
}

static fl_adapter *
draw(play *p)
{
    int low = draw_adapter(&p->demand);
    g_autofree char *key = g_strdup_printf("base/a%d", low);
    return fl_intern(p->fleet, key);
}

static void
play_all(play *p)
{
    for (int step = 0; step < SECONDS * 1000 / STEP_MS; step++) {
        p->now_us += STEP_MS * MS;
        bool counts = step >= WARM_S * 1000 / STEP_MS;
        end_runs(p);
        step_orders(p);
        if (g_rand_double(p->demand.random) < PER_S * STEP_MS / 1000.0) {
            request r = {p->now_us, draw(p)};
            fl_use(p->fleet, r.adapter, p->now_us);
            g_array_append_val(p->waiting, r);
        }
        for (guint i = p->waiting->len; i > 0; i--) {
            request r = g_array_index(p->waiting, request, i - 1);
            bool over = p->now_us > r.begun_us + 1800 * MS;
            if (try_send(p, &r, counts) || over) {
                p->given_up += over && counts;
                g_array_remove_index_fast(p->waiting, i - 1);
            }
        }
    }
}

/* With all speeds known, the 99 places of the fast servers could take 78 in
   100 of the requests; 9 in 10 of what is left finds a copy or gets one. */
START_TEST(test_callers_get_fast_servers)
{
    play *p = make((uint32_t)_i + 1);
    play_all(p);
    ck_assert_uint_eq(p->given_up, 0);
    ck_assert_msg(p->in_time >= p->sent * 0.95, "%u of %u in time", p->in_time,
                  p->sent);
    ck_assert_msg(p->sent_fast >= p->sent * 0.6, "%u of %u at fast servers",
                  p->sent_fast, p->sent);
    free_play(p);
}
END_TEST

/* A long prompt goes where fewer streams run that it would hold up. */
START_TEST(test_long_prompts_go_aside)
{
    play *p = make(1);
    fl_adapter *hot = fl_intern(p->fleet, "base/a1");
    for (int i = 0; i < 2; i++) {
        fl_put_copy(p->servers[i], hot, 0, false, p->now_us);
        fl_learn_streams(p->servers[i], 50, 50 * (i ? 60.0 : 45.0));
    }
    fl_set_peer_load(p->servers[0], 1, 20, p->now_us);
    fl_set_peer_load(p->servers[1], 1, 4, p->now_us);
    fl_want want = {.service = "llm",
                    .adapter = hot,
                    .zone = "z1",
                    .prompt_tokens = 100,
                    .now_us = p->now_us};
    fl_choice choice;
    ck_assert(fl_choose(p->fleet, &want, &choice));
    ck_assert_ptr_eq(choice.server, p->servers[0]);
    want.prompt_tokens = 2400;
    ck_assert(fl_choose(p->fleet, &want, &choice));
    ck_assert_ptr_eq(choice.server, p->servers[1]);
    free_play(p);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("placement_load");
    tcase_set_timeout(tcase, 60);
    tcase_add_loop_test(tcase, test_callers_get_fast_servers, 0, 5);
    tcase_add_test(tcase, test_long_prompts_go_aside);
    return run_case("placement_load", tcase);
}
