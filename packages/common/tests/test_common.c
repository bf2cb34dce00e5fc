/* Tests of settings, errors, timers, counters, histograms and the log. */
#include "lacewing/counter.h"
#include "lacewing/error.h"
#include "lacewing/histogram.h"
#include "lacewing/log.h"
#include "lacewing/settings.h"
#include "lacewing/timer.h"
#include <check.h>
#include <stdbool.h>
#include <stdlib.h>
#include <unistd.h>

typedef struct sample_settings {
    uint32_t period_ms;
    char *name;
    bool strict;
    uint32_t mode;
    char **zones;
} sample_settings;

static const char *const modes[] = {"ignore", "check", NULL};

static const st_key keys[] = {
    {"daemon", "period_ms", ST_U32, offsetof(sample_settings, period_ms), "ms",
     10, 1000, NULL, "200", "Period."},
    {"daemon", "name", ST_STRING, offsetof(sample_settings, name), NULL, 0, 0,
     NULL, NULL, "Name."},
    {"daemon", "strict", ST_BOOL, offsetof(sample_settings, strict), NULL, 0,
     0, NULL, "false", "Strict."},
    {"daemon", "mode", ST_ENUM, offsetof(sample_settings, mode), NULL, 0, 0,
     modes, "check", "Mode."},
    {"daemon", "zones", ST_LIST, offsetof(sample_settings, zones), NULL, 0, 0,
     NULL, "", "Zones."},
};

static er_code
load(const char *text, sample_settings *out, er_status *status)
{
    g_autoptr(GKeyFile) parsed = g_key_file_new();
    g_key_file_load_from_data(parsed, text, (gsize)-1, 0, NULL);
    er_code code =
        st_check_unknown(parsed, "test.ini", keys, G_N_ELEMENTS(keys), status);
    if (code != ER_OK) {
        return code;
    }
    return st_load(&(st_load_desc){.file = "test.ini",
                                   .parsed = parsed,
                                   .keys = keys,
                                   .key_count = G_N_ELEMENTS(keys),
                                   .out = out},
                   status);
}

START_TEST(test_settings_accepted)
{
    sample_settings out = {0};
    er_status status = {0};
    er_code code =
        load("[daemon]\nname=a\nperiod_ms=50\nmode=ignore\nzones=x; y;\n",
             &out, &status);
    ck_assert_int_eq(code, ER_OK);
    ck_assert_uint_eq(out.period_ms, 50);
    ck_assert_str_eq(out.name, "a");
    ck_assert_uint_eq(out.mode, 0);
    ck_assert_uint_eq(g_strv_length(out.zones), 2);
    st_clear(keys, G_N_ELEMENTS(keys), &out);
}
END_TEST

START_TEST(test_settings_refused)
{
    static const struct {
        const char *text;
        er_code code;
        const char *message_part;
    } cases[] = {
        {"[daemon]\n", ER_SETTING_MISSING, "name"},
        {"[daemon]\nname=a\nperiod_ms=5\n", ER_SETTING_RANGE, "10 to 1000"},
        {"[daemon]\nname=a\nperiod_ms=1s\n", ER_SETTING_TYPE, "period_ms"},
        {"[daemon]\nname=a\nstrict=yes\n", ER_SETTING_TYPE, "true or false"},
        {"[daemon]\nname=a\nmode=x\n", ER_SETTING_RANGE, "ignore, check"},
        {"[daemon]\nname=a\nnmae=b\n", ER_SETTING_UNKNOWN, "nmae"},
        {"[demon]\nname=a\n", ER_SETTING_UNKNOWN, "demon"},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        sample_settings out = {0};
        er_status status = {0};
        ck_assert_int_eq(load(cases[i].text, &out, &status), cases[i].code);
        ck_assert_ptr_nonnull(strstr(status.message, cases[i].message_part));
        ck_assert_ptr_nonnull(strstr(status.message, "test.ini"));
        st_clear(keys, G_N_ELEMENTS(keys), &out);
    }
}
END_TEST

START_TEST(test_error_names_round_trip)
{
    for (uint32_t i = 0; i < ER_NUM; i++) {
        ck_assert_int_eq(er_query_code(er_query_name((er_code)i)), i);
    }
    ck_assert_int_eq(er_query_code("no such name"), ER_INTERNAL);
}
END_TEST

static void
count_call(uint64_t now_us, void *user_data)
{
    (void)now_us;
    *(uint32_t *)user_data += 1;
}

START_TEST(test_timer_once_and_destroyed)
{
    uint32_t fired = 0;
    uint32_t never_fired = 0;
    tm_service *timers = tm_create(&(tm_desc){0});
    tm_timer once =
        tm_make_timer(timers, &(tm_timer_desc){1, true, count_call, &fired});
    tm_timer destroyed = tm_make_timer(
        timers, &(tm_timer_desc){1, false, count_call, &never_fired});
    tm_destroy_timer(timers, destroyed);
    while (!fired) {
        g_main_context_iteration(NULL, TRUE);
    }
    ck_assert(!tm_is_valid(timers, once));
    ck_assert_uint_eq(never_fired, 0);
    tm_destroy(timers);
}
END_TEST

START_TEST(test_counters_page)
{
    ct_add(CT_REQUESTS, 3);
    ct_count_refused(ER_DEADLINE);
    g_autofree char *page = ct_query_text();
    ck_assert_ptr_nonnull(strstr(page, "lacewing_requests_total 3\n"));
    ck_assert_ptr_nonnull(
        strstr(page, "reason=\"deadline_cannot_be_met\"} 1"));
}
END_TEST

/* Writing to a full pipe must not block. Lines that do not fit are counted,
   and none are dropped once the pipe is read again. */
START_TEST(test_log_never_blocks)
{
    int pipe_fds[2];
    ck_assert_int_eq(pipe(pipe_fds), 0);
    int saved_stdout = dup(STDOUT_FILENO);
    dup2(pipe_fds[1], STDOUT_FILENO);
    lg_setup(&(lg_desc){.bounded = true});
    for (int i = 0; i < 20000; i++) {
        lg_write(LG_STANDIN, "filler", "0123456789012345678901234567890",
                 NULL);
    }
    uint64_t dropped = lg_query_dropped();
    ck_assert_uint_gt(dropped, 0);
    char output[65536];
    for (int i = 0; i < 12; i++) {
        ck_assert_int_gt(read(pipe_fds[0], output, sizeof(output)), 0);
        lg_write(LG_STANDIN, "after", "1", NULL);
    }
    ck_assert_uint_eq(lg_query_dropped(), dropped);
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    lg_shutdown();
}
END_TEST

/* About as many requests per second are logged as set, and the decision
   depends only on the request's id. */
START_TEST(test_log_samples_whole_requests)
{
    lg_setup(&(lg_desc){.bounded = true, .requests_per_s = 10});
    char id[16];
    int64_t second = g_get_monotonic_time() / G_USEC_PER_SEC;
    for (int i = 0; i < 1000; i++) {
        g_snprintf(id, sizeof(id), "r%d", i);
        lg_sample(id);
    }
    while (g_get_monotonic_time() / G_USEC_PER_SEC < second + 1) {
        g_usleep(1000);
    }
    uint32_t logged_count = 0;
    for (int i = 0; i < 1000; i++) {
        g_snprintf(id, sizeof(id), "r%d", i);
        bool once = lg_sample(id);
        ck_assert_int_eq(once, lg_sample(id));
        logged_count += once;
    }
    ck_assert_uint_ge(logged_count, 1);
    ck_assert_uint_le(logged_count, 30);
    lg_shutdown();
}
END_TEST

START_TEST(test_histogram_page)
{
    hg_observe(HG_ANSWER, HG_SAFE, 150000);
    hg_observe(HG_ANSWER, HG_SAFE, 150001);
    hg_observe(HG_ANSWER, HG_SAFE, 90000000);
    g_autofree char *page = ct_query_text();
    static const char *const lines[] = {
        "# TYPE lacewing_answer_seconds histogram\n",
        "lacewing_answer_seconds_bucket{kind=\"safe\",le=\"0.1\"} 0\n",
        "lacewing_answer_seconds_bucket{kind=\"safe\",le=\"0.15\"} 1\n",
        "lacewing_answer_seconds_bucket{kind=\"safe\",le=\"0.25\"} 2\n",
        "lacewing_answer_seconds_bucket{kind=\"safe\",le=\"30\"} 2\n",
        "lacewing_answer_seconds_bucket{kind=\"safe\",le=\"+Inf\"} 3\n",
        "lacewing_answer_seconds_sum{kind=\"safe\"} 90.300001\n",
        "lacewing_answer_seconds_count{kind=\"safe\"} 3\n"};
    for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
        ck_assert_msg(strstr(page, lines[i]) != NULL, "%s in:\n%s", lines[i],
                      page);
    }
    ck_assert_ptr_null(strstr(page, "answer_seconds_count{kind=\"stream\"}"));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("common");
    TCase *tests = tcase_create("all");
    tcase_add_test(tests, test_settings_accepted);
    tcase_add_test(tests, test_log_never_blocks);
    tcase_add_test(tests, test_settings_refused);
    tcase_add_test(tests, test_error_names_round_trip);
    tcase_add_test(tests, test_timer_once_and_destroyed);
    tcase_add_test(tests, test_counters_page);
    tcase_add_test(tests, test_histogram_page);
    tcase_add_test(tests, test_log_samples_whole_requests);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
