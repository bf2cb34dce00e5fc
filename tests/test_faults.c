/* End-to-end tests with real processes and one fault per test: killed and
   frozen processes, connections that stall, platform outages, partitioned
   zones and planned stops. */
#include "shop.h"
#include <check.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000

static hn_fleet *fleet;

static void
start(void)
{
    fleet = sp_start(false);
}

static void
stop(void)
{
    hn_destroy(fleet);
}

static const char *const engines[] = {"e1", "e2", "e3", "e4"};

static void
send_order_to_engines(const char *order)
{
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        ck_assert(hn_send_order(hn_find(fleet, engines[i]), order));
    }
}

/* One draft, requested on a thread of its own. */
typedef struct draft {
    const char *daemon;
    char *model;
    char *prompt;
    uint32_t tokens;
    ht_response response;
    GThread *thread;
} draft;

static void *
run_draft(void *data)
{
    draft *self = data;
    sp_complete(fleet, self->daemon, self->model, self->prompt, self->tokens,
                &self->response);
    return NULL;
}

static void
start_drafts(draft *drafts, uint32_t count, const char *daemon,
             uint32_t tokens)
{
    for (uint32_t i = 0; i < count; i++) {
        drafts[i].daemon = daemon;
        drafts[i].model = g_strdup_printf("shop-%u@v1", i % 8);
        drafts[i].prompt = g_strdup_printf("draft %u", i);
        drafts[i].tokens = tokens;
        drafts[i].thread = g_thread_new("draft", run_draft, &drafts[i]);
    }
}

/* Waits for the drafts and prints those that failed. Returns the number with
   the complete and expected text. */
static uint32_t
join_drafts(draft *drafts, uint32_t count)
{
    uint32_t correct = 0;
    for (uint32_t i = 0; i < count; i++) {
        g_thread_join(drafts[i].thread);
        if (sp_is_expected(&drafts[i].response, drafts[i].model,
                           drafts[i].prompt, drafts[i].tokens)) {
            correct++;
        }
        else {
            g_printerr("draft %u: %u %s\n", i, drafts[i].response.status,
                       drafts[i].response.body);
        }
        ht_clear(&drafts[i].response);
        g_free(drafts[i].model);
        g_free(drafts[i].prompt);
    }
    return correct;
}

/* -- backend servers ------------------------------------------------------ */

/* Returns the engine with the longest history, which has done the most work so
   far. */
static hn_member *
find_busiest_engine(void)
{
    hn_member *busiest = NULL;
    gsize most_bytes = 0;
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        hn_member *engine = hn_find(fleet, engines[i]);
        g_autofree char *text = NULL;
        gsize bytes = 0;
        g_file_get_contents(hn_query_history(engine), &text, &bytes, NULL);
        if (bytes > most_bytes) {
            most_bytes = bytes;
            busiest = engine;
        }
    }
    ck_assert_ptr_nonnull(busiest);
    return busiest;
}

/* Sends drafts for the adapters that the tests use, so that these adapters are
   resident. */
static void
warm_up(const char *daemon)
{
    draft drafts[16] = {0};
    start_drafts(drafts, 16, daemon, 10);
    ck_assert_uint_eq(join_drafts(drafts, 16), 16);
}

START_TEST(test_engine_crash_during_a_stream_is_resumed)
{
    warm_up("a");
    draft drafts[16] = {0};
    start_drafts(drafts, 16, "a", 300);
    g_usleep(US_PER_S);
    hn_signal(find_busiest_engine(), SIGKILL);
    ck_assert_uint_eq(join_drafts(drafts, 16), 16);
}
END_TEST

/* An order "silent" makes all open connections of an engine stall: they stay
   open and carry no more bytes. */
START_TEST(test_silent_connections_are_replaced)
{
    draft drafts[8] = {0};
    start_drafts(drafts, 8, "a", 200);
    g_usleep(US_PER_S);
    send_order_to_engines("{\"order\":\"silent\"}");
    ck_assert_uint_eq(join_drafts(drafts, 8), 8);
}
END_TEST

START_TEST(test_leaving_server_gets_no_new_requests)
{
    warm_up("a");
    hn_member *leaving = find_busiest_engine();
    ck_assert(hn_send_order(leaving, "{\"order\":\"leaving\"}"));
    g_usleep(3 * US_PER_S);
    g_autofree char *before = NULL;
    g_autofree char *after = NULL;
    g_file_get_contents(hn_query_history(leaving), &before, NULL, NULL);
    warm_up("a");
    warm_up("c");
    g_file_get_contents(hn_query_history(leaving), &after, NULL, NULL);
    ck_assert_msg(strcmp(before, after) == 0,
                  "the leaving server got new requests or orders");
}
END_TEST

/* -- instances ------------------------------------------------------------ */

START_TEST(test_dead_owner_is_replaced_within_five_seconds)
{
    hn_signal(hn_find(fleet, "b"), SIGKILL);
    gint64 killed_us = g_get_monotonic_time();
    bool replaced = false;
    while (!replaced &&
           g_get_monotonic_time() < killed_us + 5 * (gint64)US_PER_S) {
        g_autofree char *url = g_strdup_printf(
            "%s/status", hn_query_admin_url(hn_find(fleet, "a")));
        g_auto(ht_response) status = {0};
        ht_send_request(&(ht_desc){.url = url}, &status);
        replaced = !strstr(status.body, "\"owner\":\"b\"") &&
                   !strstr(status.body, "\"owner\":\"\"");
        g_usleep(50000);
    }
    ck_assert(replaced);
    /* Drafts for all adapters in use, so that b's former servers are needed.
     */
    draft drafts[16] = {0};
    start_drafts(drafts, 16, "a", 20);
    ck_assert_uint_eq(join_drafts(drafts, 16), 16);
}
END_TEST

START_TEST(test_killed_owner_interrupts_no_forwarded_draft)
{
    draft drafts[12] = {0};
    start_drafts(drafts, 12, "a", 150);
    g_usleep(US_PER_S / 2);
    hn_signal(hn_find(fleet, "b"), SIGKILL);
    ck_assert_uint_eq(join_drafts(drafts, 12), 12);
}
END_TEST

START_TEST(test_planned_stop_interrupts_no_draft)
{
    draft drafts[16] = {0};
    start_drafts(drafts, 8, "b", 200);
    start_drafts(drafts + 8, 8, "a", 200);
    g_usleep(US_PER_S / 2);
    hn_signal(hn_find(fleet, "b"), SIGTERM);
    ck_assert_uint_eq(join_drafts(drafts, 16), 16);
    int exit_code = -1;
    ck_assert(hn_wait_exit(hn_find(fleet, "b"), 10000, &exit_code));
    ck_assert_int_eq(exit_code, 0);
}
END_TEST

/* The frozen owner loses its servers to other instances. When it runs again,
   it must not disturb their new owners and must become ready. */
START_TEST(test_frozen_owner_resumes_without_errors)
{
    hn_signal(hn_find(fleet, "b"), SIGSTOP);
    g_usleep(5 * US_PER_S);
    draft drafts[16] = {0};
    start_drafts(drafts, 16, "a", 20);
    uint32_t correct = join_drafts(drafts, 16);
    hn_signal(hn_find(fleet, "b"), SIGCONT);
    ck_assert_uint_eq(correct, 16);
    ck_assert(hn_wait_ready(fleet, 10000));
    draft after[8] = {0};
    start_drafts(after, 8, "b", 20);
    ck_assert_uint_eq(join_drafts(after, 8), 8);
}
END_TEST

/* -- the platform --------------------------------------------------------- */

START_TEST(test_platform_outage_serves_drafts_and_refuses_bookings)
{
    hn_member *platform = hn_find(fleet, "platform");
    draft before[8] = {0};
    start_drafts(before, 8, "a", 10);
    ck_assert_uint_eq(join_drafts(before, 8), 8);
    ck_assert(hn_send_order(platform, "{\"order\":\"down\",\"ms\":8000}"));
    g_usleep(4 * US_PER_S);
    draft drafts[8] = {0};
    start_drafts(drafts, 8, "a", 10);
    ck_assert_uint_eq(join_drafts(drafts, 8), 8);
    g_auto(ht_response) refused = {0};
    sp_book(fleet, "a", "down-1", "{}", &refused);
    g_autofree char *ran = ht_query_error_field(&refused, "ran");
    ck_assert_uint_eq(refused.status, 503);
    ck_assert_str_eq(ran, "not_run");
    ck_assert_uint_eq(sp_query_runs(fleet, "down-1"), 0);
    g_usleep(6 * US_PER_S);
    g_auto(ht_response) booked = {0};
    sp_book(fleet, "a", "down-1", "{}", &booked);
    ck_assert_msg(booked.status == 200, "%s", booked.body);
    ck_assert_uint_eq(sp_query_runs(fleet, "down-1"), 1);
}
END_TEST

START_TEST(test_planned_stop_completes_without_the_platform)
{
    hn_member *stopped = hn_find(fleet, "b");
    ck_assert(hn_send_order(hn_find(fleet, "platform"),
                            "{\"order\":\"down\",\"ms\":60000}"));
    g_usleep(US_PER_S);
    hn_signal(stopped, SIGTERM);
    int exit_code = -1;
    ck_assert(hn_wait_exit(stopped, 10000, &exit_code));
    ck_assert_int_eq(exit_code, 0);
}
END_TEST

START_TEST(test_instance_started_without_the_platform_serves)
{
    hn_member *restarted = hn_find(fleet, "c");
    hn_signal(restarted, SIGKILL);
    ck_assert(hn_wait_exit(restarted, 5000, NULL));
    /* The weight store goes down with the platform, so that only resident
       adapters can serve. These drafts load them. */
    draft before[8] = {0};
    start_drafts(before, 8, "a", 10);
    ck_assert_uint_eq(join_drafts(before, 8), 8);
    ck_assert(hn_send_order(hn_find(fleet, "platform"),
                            "{\"order\":\"down\",\"ms\":60000}"));
    ck_assert(hn_restart(restarted));
    ck_assert(hn_wait_member_ready(restarted, 10000));
    /* The owners report in turn which adapters are resident on their
       servers. */
    g_usleep(3 * US_PER_S);
    /* The owners report in turn which adapters are resident on their
       servers. */
    g_usleep(3 * US_PER_S);
    draft drafts[8] = {0};
    start_drafts(drafts, 8, "c", 10);
    ck_assert_uint_eq(join_drafts(drafts, 8), 8);
}
END_TEST

/* With the order "lose_answers" the platform carries out calls but closes the
   connection without a response, so that a write has an unknown outcome. */
START_TEST(test_lost_responses_duplicate_no_booking)
{
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint32_t i = 0; i < 12; i++) {
        ck_assert(hn_send_order(hn_find(fleet, "platform"),
                                "{\"order\":\"lose_answers\",\"count\":2}"));
        g_autofree char *key = g_strdup_printf("lost-%u", i);
        for (uint32_t try = 0; try < 6; try++) {
            g_auto(ht_response) response = {0};
            sp_book(fleet, daemons[try % 3], key, "{}", &response);
            g_autofree char *ran = ht_query_error_field(&response, "ran");
            if (response.status == 200) {
                break;
            }
            g_usleep(US_PER_S / 5);
        }
        ck_assert_uint_le(sp_query_runs(fleet, key), 1);
    }
    ck_assert_uint_eq(sp_query_duplicate_runs(fleet), 0);
}
END_TEST

/* -- zones ---------------------------------------------------------------- */

START_TEST(test_partitioned_zone_keeps_serving)
{
    draft before[16] = {0};
    start_drafts(before, 16, "c", 10);
    uint32_t correct_before = join_drafts(before, 16);
    ck_assert_uint_eq(correct_before, 16);
    ck_assert(hn_set_partition(hn_find(fleet, "c"), "{\"zones\":[\"z1\"]}"));
    ck_assert(hn_set_partition(hn_find(fleet, "a"), "{\"zones\":[\"z2\"]}"));
    ck_assert(hn_set_partition(hn_find(fleet, "b"), "{\"zones\":[\"z2\"]}"));
    ck_assert(hn_send_order(hn_find(fleet, "platform"),
                            "{\"order\":\"partition\",\"who\":[\"c\"]}"));
    g_usleep(4 * US_PER_S);
    draft during[32] = {0};
    start_drafts(during, 16, "c", 10);
    start_drafts(during + 16, 16, "a", 10);
    ck_assert_uint_eq(join_drafts(during, 32), 32);
}
END_TEST

int
main(void)
{
    /* Each test is a case of its own, so that CK_RUN_CASE can select it. */
    const struct {
        const char *name;
        const TTest *test;
    } cases[] = {
        {"engine_crash_during_a_stream_is_resumed",
         test_engine_crash_during_a_stream_is_resumed},
        {"silent_connections_are_replaced",
         test_silent_connections_are_replaced},
        {"leaving_server_gets_no_new_requests",
         test_leaving_server_gets_no_new_requests},
        {"dead_owner_is_replaced_within_five_seconds",
         test_dead_owner_is_replaced_within_five_seconds},
        {"killed_owner_interrupts_no_forwarded_draft",
         test_killed_owner_interrupts_no_forwarded_draft},
        {"planned_stop_interrupts_no_draft",
         test_planned_stop_interrupts_no_draft},
        {"frozen_owner_resumes_without_errors",
         test_frozen_owner_resumes_without_errors},
        {"platform_outage_serves_drafts_and_refuses_bookings",
         test_platform_outage_serves_drafts_and_refuses_bookings},
        {"planned_stop_completes_without_the_platform",
         test_planned_stop_completes_without_the_platform},
        {"instance_started_without_the_platform_serves",
         test_instance_started_without_the_platform_serves},
        {"lost_responses_duplicate_no_booking",
         test_lost_responses_duplicate_no_booking},
        {"partitioned_zone_keeps_serving",
         test_partitioned_zone_keeps_serving},
    };
    Suite *suite = suite_create("faults");
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        TCase *tests = tcase_create(cases[i].name);
        tcase_set_timeout(tests, 120);
        tcase_add_checked_fixture(tests, start, stop);
        tcase_add_test(tests, cases[i].test);
        suite_add_tcase(suite, tests);
    }
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_VERBOSE);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
