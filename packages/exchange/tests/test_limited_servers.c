/* Tests of choosing, placing and ordering where servers have rate limits. */
#include "fleet.h"
#include "orders.h"
#include "run.h"

#define MS UINT64_C(1000)
#define S (1000 * MS)
#define START (1000 * S)

static const od_limits limits = {.model = "base",
                                 .model_load_ms = 1000,
                                 .model_mb = 10,
                                 .adapter_mb = 1,
                                 .server_mb = 100,
                                 .max_adapters = 4,
                                 .may_load_model = true,
                                 .may_load_adapter = true};

static fl_server *
put_server(fl_fleet *fleet, const char *id, uint64_t born_ms)
{
    dl_server entry = {.id = (char *)id,
                       .service = "app",
                       .address = "127.0.0.1:1",
                       .zone = "z1",
                       .slots = 8,
                       .state = DL_SERVER_READY,
                       .born_ms = born_ms,
                       .version = 1};
    fl_server *server;
    fl_put_server(fleet, &entry, &server);
    server->orders_possible = true;
    fl_put_copy(server, fl_intern(fleet, "base"), 1, false, START);
    return server;
}

static uint32_t
report_limit(fl_fleet *fleet, const fl_server *server, dl_notice notice,
             uint64_t sent_us, uint64_t now_us)
{
    fl_server *out;
    return fl_apply_limit(fleet,
                          &(fl_server_notice){.id = server->id,
                                              .born_ms = server->born_ms,
                                              .source = NT_ANSWER,
                                              .notice = notice,
                                              .sent_us = sent_us,
                                              .now_us = now_us},
                          &out);
}

static void
limit_server(fl_fleet *fleet, const fl_server *server)
{
    dl_notice notice = {.limited = true, .limit_per_s = 2};
    ck_assert_uint_eq(report_limit(fleet, server, notice, START, START),
                      SL_STARTED);
}

static fl_choice_status
choose(fl_fleet *fleet, fl_adapter *adapter, uint64_t now_us, fl_choice *out)
{
    fl_choose_server(fleet,
                     &(fl_request){.service = "app",
                                   .adapter = adapter,
                                   .zone = "z1",
                                   .wants_permits = true,
                                   .now_us = now_us},
                     out);
    return out->status;
}

/* A limited server gets what it has permits for; that a request would go there
   asks for more, even if another server has it in the end. */
START_TEST(test_requests_take_permits)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server(fleet, "i-1", 1);
    fl_server *two = put_server(fleet, "i-2", 1);
    two->latency_ms = 500;
    one->latency_ms = 50;
    fl_choice choice;
    pm_ask ask;
    limit_server(fleet, one);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_CHOSEN);
    ck_assert_ptr_eq(choice.server, two);
    ck_assert(choice.skipped_limited);
    ck_assert(pm_take_ask(&one->permits, START, &ask));
    ck_assert_uint_eq(ask.wanted, 1);
    ck_assert(!ask.urgent);
    pm_add(&one->permits, 1, START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_CHOSEN);
    ck_assert_ptr_eq(choice.server, one);
    fl_begin_request(one, NULL, START);
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_CHOSEN);
    ck_assert_ptr_eq(choice.server, two);
    fl_destroy(fleet);
}
END_TEST

START_TEST(test_all_limited)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server(fleet, "i-1", 1);
    limit_server(fleet, one);
    limit_server(fleet, put_server(fleet, "i-2", 1));
    fl_choice choice;
    pm_ask ask;
    ck_assert_int_eq(choose(fleet, NULL, START, &choice), FL_ALL_LIMITED);
    ck_assert_double_eq(choice.limit_per_s, 4);
    ck_assert_int_eq(choose(fleet, fl_intern(fleet, "base"), START, &choice),
                     FL_ALL_LIMITED);
    bool asked =
        pm_take_ask(&one->permits, START, &ask) ||
        pm_take_ask(&fl_query_server(fleet, "i-2")->permits, START, &ask);
    ck_assert(asked && ask.urgent);
    fl_destroy(fleet);
}
END_TEST

/* The only copy of an adapter is at a limited server: it is loaded at another
   one at once, never at a limited server that merely looks idle. */
START_TEST(test_copies_at_limited_server)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server(fleet, "i-1", 1);
    fl_server *two = put_server(fleet, "i-2", 1);
    fl_server *three = put_server(fleet, "i-3", 1);
    fl_adapter *adapter = fl_intern(fleet, "base/a");
    fl_put_copy(one, adapter, 0, false, START);
    limit_server(fleet, one);
    limit_server(fleet, two);
    for (int i = 0; i < 6; i++) {
        fl_begin_request(three, NULL, START);
    }
    fl_choice choice;
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_NO_COPY);
    ck_assert_ptr_eq(fl_choose_load_server(fleet, "app", adapter, START),
                     three);
    pm_add(&one->permits, 1, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_CHOSEN);
    ck_assert(choice.needs_another_copy);
    /* Where all are limited, a limited one is better than none. */
    limit_server(fleet, three);
    pm_take(&one->permits, START);
    ck_assert_int_eq(choose(fleet, adapter, START, &choice), FL_ALL_LIMITED);
    pm_add(&two->permits, 1, START);
    ck_assert_ptr_eq(fl_choose_load_server(fleet, "app", adapter, START), two);
    fl_destroy(fleet);
}
END_TEST

/* Orders and reports take permits like requests. */
START_TEST(test_orders_take_permits)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server(fleet, "i-1", 1);
    od_plan *plan = od_create(&(od_desc){.fleet = fleet, .server = one});
    pm_ask ask;
    limit_server(fleet, one);
    ck_assert_int_eq(od_next(plan, START, &limits).kind, OD_NOTHING);
    ck_assert(pm_take_ask(&one->permits, START, &ask));
    pm_add(&one->permits, 1, START);
    ck_assert_int_eq(od_next(plan, START, &limits).kind, OD_REPORT);
    ck_assert(!pm_query_any(&one->permits, START));
    od_destroy(plan);
    fl_destroy(fleet);
}
END_TEST

/* The limit is of one process, and ends with answers that name none. */
START_TEST(test_limit_is_forgotten)
{
    fl_fleet *fleet = fl_create(&(fl_desc){0});
    fl_server *one = put_server(fleet, "i-1", 1);
    limit_server(fleet, one);
    /* Neither an answer to an earlier request nor an unreadable one. */
    dl_notice none = {0};
    ck_assert_uint_eq(report_limit(fleet, one, none, START - MS, START + MS),
                      0);
    dl_notice unreadable = {.limit_unreadable = true, .unreadable = true};
    ck_assert_uint_eq(
        report_limit(fleet, one, unreadable, START + MS, START + MS), 0);
    ck_assert(one->limit.limited);
    ck_assert_uint_eq(
        report_limit(fleet, one, none, START + MS, START + 2 * MS), SL_ENDED);
    dl_notice limited = {.limited = true, .limit_per_s = 2};
    report_limit(fleet, one, limited, START + 3 * MS, START + 4 * MS);
    ck_assert(one->limit.limited);
    ck_assert_ptr_eq(put_server(fleet, "i-1", 2), one);
    ck_assert(!one->limit.limited);
    /* Late news of the process before. */
    fl_server *out;
    fl_apply_peer_limit(fleet,
                        &(fl_peer_limit){.id = "i-1",
                                         .born_ms = 1,
                                         .limited = true,
                                         .per_s = 2,
                                         .at_us = START + 5 * MS},
                        &out);
    ck_assert(!one->limit.limited);
    fl_destroy(fleet);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("limited_servers");
    tcase_add_test(tcase, test_requests_take_permits);
    tcase_add_test(tcase, test_all_limited);
    tcase_add_test(tcase, test_copies_at_limited_server);
    tcase_add_test(tcase, test_orders_take_permits);
    tcase_add_test(tcase, test_limit_is_forgotten);
    return run_case("limited_servers", tcase);
}
