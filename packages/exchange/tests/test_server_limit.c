/* Tests of the record of a server's rate limit. */
#include "run.h"
#include "server_limit.h"

START_TEST(test_limit_starts_changes_and_ends)
{
    sl_limit limit = {0};
    ck_assert_uint_eq(sl_apply_named(&limit, 9.4, 100), SL_STARTED);
    ck_assert_uint_eq(sl_apply_named(&limit, 9.4, 110), 0);
    ck_assert_uint_eq(sl_apply_named(&limit, 2, 120), SL_CHANGED);
    ck_assert_double_eq(limit.per_s, 2);
    ck_assert_uint_eq(limit.started_us, 100);
    ck_assert_uint_eq(sl_apply_absent(&limit, 130), SL_ENDED);
    ck_assert(!limit.limited);
    ck_assert_uint_eq(sl_apply_named(&limit, 2, 140), SL_STARTED);
}
END_TEST

/* The answers to requests sent before the limit was named say nothing. */
START_TEST(test_overtaken_answers_end_no_limit)
{
    sl_limit limit = {0};
    sl_apply_named(&limit, 9.4, 100);
    ck_assert_uint_eq(sl_apply_absent(&limit, 90), 0);
    ck_assert_uint_eq(sl_apply_absent(&limit, 100), 0);
    ck_assert(limit.limited);
    /* An answer that is not known to belong to a request. */
    ck_assert_uint_eq(sl_apply_absent(&limit, 0), 0);
    ck_assert(limit.limited);
}
END_TEST

/* Another instance's news, older than what is known here. */
START_TEST(test_old_news_starts_no_limit)
{
    sl_limit limit = {0};
    sl_apply_absent(&limit, 200);
    ck_assert_uint_eq(sl_apply_named(&limit, 9.4, 190), 0);
    ck_assert(!limit.limited);
    sl_apply_named(&limit, 5, 300);
    ck_assert_uint_eq(sl_apply_named(&limit, 9.4, 250), 0);
    ck_assert_double_eq(limit.per_s, 5);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("server_limit");
    tcase_add_test(tcase, test_limit_starts_changes_and_ends);
    tcase_add_test(tcase, test_overtaken_answers_end_no_limit);
    tcase_add_test(tcase, test_old_news_starts_no_limit);
    return run_case("server_limit", tcase);
}
