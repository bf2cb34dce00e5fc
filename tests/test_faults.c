/* Real processes under one failure each: kills, freezes, silence, platform
   outages, cut zones, planned stops. */
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
control_engines(const char *order)
{
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        ck_assert(hn_send_order(hn_find(fleet, engines[i]), order));
    }
}

/* Drafts in flight on threads of their own. */
typedef struct draft {
    const char *daemon;
    char *model;
    char *prompt;
    uint32_t tokens;
    ht_response answer;
    GThread *thread;
} draft;

static void *
run_draft(void *data)
{
    draft *self = data;
    sp_complete(fleet, self->daemon, self->model, self->prompt, self->tokens,
                &self->answer);
    return NULL;
}

static void
begin_drafts(draft *drafts, uint32_t count, const char *daemon,
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

/* Waits for all; how many were whole and right. */
static uint32_t
end_drafts(draft *drafts, uint32_t count)
{
    uint32_t right = 0;
    for (uint32_t i = 0; i < count; i++) {
        g_thread_join(drafts[i].thread);
        if (sp_is_expected(&drafts[i].answer, drafts[i].model,
                           drafts[i].prompt, drafts[i].tokens)) {
            right++;
        }
        else {
            g_printerr("draft %u: %u %s\n", i, drafts[i].answer.status,
                       drafts[i].answer.body);
        }
        ht_clear(&drafts[i].answer);
        g_free(drafts[i].model);
        g_free(drafts[i].prompt);
    }
    return right;
}

/* -- backend servers ------------------------------------------------------ */

/* The engine that has done most so far, by its history. */
static hn_member *
busiest_engine(void)
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

/* Drafts on the adapters that the tests use, so that they are held. */
static void
warm_up(const char *daemon)
{
    draft drafts[16] = {0};
    begin_drafts(drafts, 16, daemon, 10);
    ck_assert_uint_eq(end_drafts(drafts, 16), 16);
}

START_TEST(test_engine_crash_in_mid_stream_is_resumed)
{
    warm_up("a");
    draft drafts[16] = {0};
    begin_drafts(drafts, 16, "a", 300);
    g_usleep(US_PER_S);
    hn_signal(busiest_engine(), SIGKILL);
    ck_assert_uint_eq(end_drafts(drafts, 16), 16);
}
END_TEST

START_TEST(test_silent_connections_are_replaced)
{
    draft drafts[8] = {0};
    begin_drafts(drafts, 8, "a", 200);
    g_usleep(US_PER_S);
    control_engines("{\"order\":\"silent\"}");
    ck_assert_uint_eq(end_drafts(drafts, 8), 8);
}
END_TEST

START_TEST(test_leaving_server_gets_nothing_new)
{
    warm_up("a");
    hn_member *leaving = busiest_engine();
    ck_assert(hn_send_order(leaving, "{\"order\":\"leaving\"}"));
    g_usleep(3 * US_PER_S);
    g_autofree char *before = NULL;
    g_autofree char *after = NULL;
    g_file_get_contents(hn_query_history(leaving), &before, NULL, NULL);
    warm_up("a");
    warm_up("c");
    g_file_get_contents(hn_query_history(leaving), &after, NULL, NULL);
    ck_assert_msg(strcmp(before, after) == 0, "it got new orders");
}
END_TEST

/* -- instances ------------------------------------------------------------ */

START_TEST(test_dead_owner_is_followed_within_five_seconds)
{
    hn_signal(hn_find(fleet, "b"), SIGKILL);
    gint64 killed_us = g_get_monotonic_time();
    bool served = false;
    /* Every adapter again, so that b's servers are needed. */
    while (!served &&
           g_get_monotonic_time() < killed_us + 5 * (gint64)US_PER_S) {
        g_autofree char *url = g_strdup_printf(
            "%s/status", hn_query_admin_url(hn_find(fleet, "a")));
        g_auto(ht_response) status = {0};
        ht_send_request(&(ht_desc){.url = url}, &status);
        served = !strstr(status.body, "\"owner\":\"b\"") &&
                 !strstr(status.body, "\"owner\":\"\"");
        g_usleep(50000);
    }
    ck_assert(served);
    draft drafts[16] = {0};
    begin_drafts(drafts, 16, "a", 20);
    ck_assert_uint_eq(end_drafts(drafts, 16), 16);
}
END_TEST

START_TEST(test_killed_owner_cuts_off_no_forwarded_draft)
{
    draft drafts[12] = {0};
    begin_drafts(drafts, 12, "a", 150);
    g_usleep(US_PER_S / 2);
    hn_signal(hn_find(fleet, "b"), SIGKILL);
    ck_assert_uint_eq(end_drafts(drafts, 12), 12);
}
END_TEST

START_TEST(test_planned_stop_cuts_nothing_off)
{
    draft drafts[16] = {0};
    begin_drafts(drafts, 8, "b", 200);
    begin_drafts(drafts + 8, 8, "a", 200);
    g_usleep(US_PER_S / 2);
    hn_signal(hn_find(fleet, "b"), SIGTERM);
    ck_assert_uint_eq(end_drafts(drafts, 16), 16);
    int exit_code = -1;
    ck_assert(hn_wait_exit(hn_find(fleet, "b"), 10000, &exit_code));
    ck_assert_int_eq(exit_code, 0);
}
END_TEST

START_TEST(test_frozen_owner_wakes_harmless)
{
    hn_signal(hn_find(fleet, "b"), SIGSTOP);
    g_usleep(5 * US_PER_S);
    draft drafts[16] = {0};
    begin_drafts(drafts, 16, "a", 20);
    uint32_t right = end_drafts(drafts, 16);
    hn_signal(hn_find(fleet, "b"), SIGCONT);
    ck_assert_uint_eq(right, 16);
    ck_assert(hn_wait_ready(fleet, 10000));
    draft again[8] = {0};
    begin_drafts(again, 8, "b", 20);
    ck_assert_uint_eq(end_drafts(again, 8), 8);
}
END_TEST

/* -- the platform --------------------------------------------------------- */

START_TEST(test_platform_down_drafts_go_on_and_bookings_say_so)
{
    hn_member *platform = hn_find(fleet, "platform");
    draft before[8] = {0};
    begin_drafts(before, 8, "a", 10);
    ck_assert_uint_eq(end_drafts(before, 8), 8);
    ck_assert(hn_send_order(platform, "{\"order\":\"down\",\"ms\":8000}"));
    g_usleep(4 * US_PER_S);
    draft drafts[8] = {0};
    begin_drafts(drafts, 8, "a", 10);
    ck_assert_uint_eq(end_drafts(drafts, 8), 8);
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

START_TEST(test_planned_stop_ends_without_the_platform)
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
    hn_member *again = hn_find(fleet, "c");
    hn_signal(again, SIGKILL);
    ck_assert(hn_wait_exit(again, 5000, NULL));
    /* The weight store goes down as well: only held adapters serve. */
    draft before[8] = {0};
    begin_drafts(before, 8, "a", 10);
    ck_assert_uint_eq(end_drafts(before, 8), 8);
    ck_assert(hn_send_order(hn_find(fleet, "platform"),
                            "{\"order\":\"down\",\"ms\":60000}"));
    ck_assert(hn_restart(again));
    ck_assert(hn_wait_member_ready(again, 10000));
    /* The owners tell in turn which adapters their servers hold. */
    g_usleep(3 * US_PER_S);
    /* The owners tell in turn which adapters their servers hold. */
    g_usleep(3 * US_PER_S);
    draft drafts[8] = {0};
    begin_drafts(drafts, 8, "c", 10);
    ck_assert_uint_eq(end_drafts(drafts, 8), 8);
}
END_TEST

START_TEST(test_lost_answers_double_no_booking)
{
    static const char *const daemons[] = {"a", "b", "c"};
    for (uint32_t i = 0; i < 12; i++) {
        ck_assert(hn_send_order(hn_find(fleet, "platform"),
                                "{\"order\":\"lose_answers\",\"count\":2}"));
        g_autofree char *key = g_strdup_printf("lost-%u", i);
        for (uint32_t try = 0; try < 6; try++) {
            g_auto(ht_response) answer = {0};
            sp_book(fleet, daemons[try % 3], key, "{}", &answer);
            g_autofree char *ran = ht_query_error_field(&answer, "ran");
            if (answer.status == 200) {
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

START_TEST(test_cut_off_zone_goes_on_serving)
{
    draft before[16] = {0};
    begin_drafts(before, 16, "c", 10);
    uint32_t served = end_drafts(before, 16);
    ck_assert_uint_eq(served, 16);
    ck_assert(hn_set_partition(hn_find(fleet, "c"), "{\"zones\":[\"z1\"]}"));
    ck_assert(hn_set_partition(hn_find(fleet, "a"), "{\"zones\":[\"z2\"]}"));
    ck_assert(hn_set_partition(hn_find(fleet, "b"), "{\"zones\":[\"z2\"]}"));
    ck_assert(hn_send_order(hn_find(fleet, "platform"),
                            "{\"order\":\"partition\",\"who\":[\"c\"]}"));
    g_usleep(4 * US_PER_S);
    draft during[32] = {0};
    begin_drafts(during, 16, "c", 10);
    begin_drafts(during + 16, 16, "a", 10);
    ck_assert_uint_eq(end_drafts(during, 32), 32);
}
END_TEST

int
main(void)
{
    /* One case for each, so that CK_RUN_CASE picks one. */
    const struct {
        const char *name;
        const TTest *test;
    } all[] = {
        {"engine_crash_in_mid_stream_is_resumed",
         test_engine_crash_in_mid_stream_is_resumed},
        {"silent_connections_are_replaced",
         test_silent_connections_are_replaced},
        {"leaving_server_gets_nothing_new",
         test_leaving_server_gets_nothing_new},
        {"dead_owner_is_followed_within_five_seconds",
         test_dead_owner_is_followed_within_five_seconds},
        {"killed_owner_cuts_off_no_forwarded_draft",
         test_killed_owner_cuts_off_no_forwarded_draft},
        {"planned_stop_cuts_nothing_off", test_planned_stop_cuts_nothing_off},
        {"frozen_owner_wakes_harmless", test_frozen_owner_wakes_harmless},
        {"platform_down_drafts_go_on_and_bookings_say_so",
         test_platform_down_drafts_go_on_and_bookings_say_so},
        {"planned_stop_ends_without_the_platform",
         test_planned_stop_ends_without_the_platform},
        {"instance_started_without_the_platform_serves",
         test_instance_started_without_the_platform_serves},
        {"lost_answers_double_no_booking",
         test_lost_answers_double_no_booking},
        {"cut_off_zone_goes_on_serving", test_cut_off_zone_goes_on_serving},
    };
    Suite *suite = suite_create("faults");
    for (size_t i = 0; i < G_N_ELEMENTS(all); i++) {
        TCase *tests = tcase_create(all[i].name);
        tcase_set_timeout(tests, 120);
        tcase_add_checked_fixture(tests, start, stop);
        tcase_add_test(tests, all[i].test);
        suite_add_tcase(suite, tests);
    }
    SRunner *runner = srunner_create(suite);
    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_VERBOSE);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
