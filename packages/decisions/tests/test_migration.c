/* Tests that long work on a server too slow for its deadline moves to a faster
   server of another instance, and only then. */
#include "lacewing/decisions.h"
#include <check.h>
#include <glib.h>
#include <stdlib.h>

#define SECOND_US 1000000ULL
#define MAX_TOKENS 2560
#define DEADLINE_US (145 * SECOND_US) /* too early at the slow interval */
#define SLOW_TOKENS_PER_S 10
#define FAST_INTERVAL_US 20000
#define SLOW_INTERVAL_US 100000

static lwd_policy *policy;
static lwd_server own;
static lwd_server slow; /* of instance 1 */
static lwd_server fast; /* of instance 2; rated as the others, but its summary
                           reports a shorter token interval */
static lwd_adapter adapter;

static lwd_server
make_server(uint32_t owner, uint32_t tokens_per_s)
{
    static uint64_t tag;
    return lwd_make_server(policy, 0,
                           &(lwd_server_desc){.tag = ++tag,
                                              .owner = owner,
                                              .owned = owner == 0,
                                              .tokens_per_s = tokens_per_s});
}

static void
feed_summary(lwd_server server, uint64_t sequence, uint32_t interval_us)
{
    lwd_summary summary = {.sequence = sequence,
                           .token_interval_us = interval_us};
    ck_assert_int_eq(lwd_feed(policy, 0,
                              &(lwd_event){.type = LWD_EVENT_SUMMARY,
                                           .server = server,
                                           .summary = &summary}),
                     ER_OK);
}

/* Feeds the summary of a slow server that holds the adapter. */
static void
feed_resident_summary(lwd_server server, uint64_t sequence)
{
    lwd_summary held = {.sequence = sequence,
                        .token_interval_us = SLOW_INTERVAL_US,
                        .change_count = 1,
                        .changes = {{.adapter_tag = 7, .resident = true}}};
    lwd_feed(policy, 0,
             &(lwd_event){.type = LWD_EVENT_SUMMARY,
                          .server = server,
                          .summary = &held});
}

static void
setup(void)
{
    policy = lwd_create(&(lwd_desc){.seed = 3, .instance = 0});
    own = make_server(0, SLOW_TOKENS_PER_S);
    slow = make_server(1, SLOW_TOKENS_PER_S);
    fast = make_server(2, SLOW_TOKENS_PER_S);
    adapter = lwd_make_adapter(policy, 0, &(lwd_adapter_desc){.tag = 7});
    feed_summary(slow, 1, SLOW_INTERVAL_US);
    feed_summary(fast, 1, FAST_INTERVAL_US);
}

static void
teardown(void)
{
    lwd_destroy(policy);
}

/* Takes actions up to the next of the type; returns false when none is left.
 */
static bool
take_action(lwd_action_type type, lwd_action *action)
{
    while (lwd_next_action(policy, action)) {
        if (action->type == type) {
            return true;
        }
    }
    return false;
}

/* Starts a forwarded long request on the own server. */
static lwd_action
start_forwarded(uint32_t resume_from)
{
    lwd_feed(policy, 0,
             &(lwd_event){.type = LWD_EVENT_RESIDENT,
                          .server = own,
                          .adapter = adapter,
                          .resident = true});
    lwd_make_request(policy, 0,
                     &(lwd_request_desc){.tag = 5,
                                         .adapter = adapter,
                                         .max_tokens = MAX_TOKENS,
                                         .resume_from = resume_from,
                                         .deadline_us = DEADLINE_US,
                                         .server = own,
                                         .forwarded = true});
    lwd_action send;
    ck_assert(take_action(LWD_ACTION_SEND, &send));
    return send;
}

/* Reports progress of an attempt at the slow pace for a time; returns whether
   its request was refused. */
static bool
run_slowly(const lwd_action *send, uint32_t from, uint32_t seconds,
           lwd_action *refusal)
{
    lwd_feed(policy, SLOW_INTERVAL_US,
             &(lwd_event){.type = LWD_EVENT_FIRST_TOKEN,
                          .attempt = send->attempt,
                          .tokens = from + 1});
    for (uint32_t tokens = 2; tokens <= seconds * SLOW_TOKENS_PER_S;
         tokens++) {
        uint64_t now_us = (uint64_t)tokens * SLOW_INTERVAL_US;
        lwd_feed(policy, now_us,
                 &(lwd_event){.type = LWD_EVENT_PROGRESS,
                              .attempt = send->attempt,
                              .tokens = from + tokens});
        lwd_feed(policy, now_us, &(lwd_event){.type = LWD_EVENT_TICK});
        if (take_action(LWD_ACTION_REFUSE, refusal)) {
            return true;
        }
    }
    return false;
}

START_TEST(test_owner_hands_late_work_back)
{
    lwd_action send = start_forwarded(0);
    lwd_action refusal = {0};
    ck_assert(run_slowly(&send, 0, 60, &refusal));
    ck_assert_uint_eq(refusal.tag, 5);
    ck_assert_int_eq(refusal.reason, ER_SERVER_FAILED);
    ck_assert(refusal.ran);
}
END_TEST

START_TEST(test_owner_keeps_work_that_moved_with_many_tokens)
{
    lwd_action send = start_forwarded(MAX_TOKENS / 4);
    lwd_action refusal = {0};
    ck_assert(!run_slowly(&send, MAX_TOKENS / 4, 60, &refusal));
}
END_TEST

START_TEST(test_owner_keeps_work_without_a_faster_server)
{
    feed_summary(fast, 2, SLOW_INTERVAL_US);
    lwd_action send = start_forwarded(0);
    lwd_action refusal = {0};
    ck_assert(!run_slowly(&send, 0, 60, &refusal));
}
END_TEST

START_TEST(test_entry_forwards_to_another_owner)
{
    lwd_feed(policy, 0,
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = own,
                          .server_state = LWD_SERVER_DOWN});
    /* The request goes to a slow server that holds the adapter. The fastest
       server belongs to the instance that hands the request back, so it must
       not be chosen. */
    feed_resident_summary(slow, 2);
    lwd_server fastest = make_server(1, SLOW_TOKENS_PER_S);
    feed_summary(fastest, 1, FAST_INTERVAL_US / 2);
    lwd_request request =
        lwd_make_request(policy, 0,
                         &(lwd_request_desc){.adapter = adapter,
                                             .max_tokens = MAX_TOKENS,
                                             .deadline_us = DEADLINE_US});
    lwd_action forward;
    ck_assert(take_action(LWD_ACTION_FORWARD, &forward));
    ck_assert_uint_eq(forward.server.id, slow.id);
    feed_resident_summary(make_server(3, SLOW_TOKENS_PER_S), 1);
    lwd_feed(policy, 30 * SECOND_US,
             &(lwd_event){.type = LWD_EVENT_FORWARD_FAILED,
                          .request = request,
                          .reason = ER_SERVER_FAILED,
                          .failure = LWD_FAILURE_BROKEN,
                          .tokens = 320});
    lwd_feed(policy, 31 * SECOND_US, &(lwd_event){.type = LWD_EVENT_TICK});
    ck_assert(take_action(LWD_ACTION_FORWARD, &forward));
    ck_assert_uint_eq(forward.server.id, fast.id);
    ck_assert_uint_eq(forward.resume_from, 320);
}
END_TEST

#define MOVED_TAG 9

/* What of the request MOVED_TAG is open, by the actions so far. */
static uint32_t open_streams;
static uint32_t hedges;
static bool forwarded;

static void
track_actions(lwd_action *last_send)
{
    lwd_action action;
    while (lwd_next_action(policy, &action)) {
        if (action.type == LWD_ACTION_SEND) {
            *last_send = action;
        }
        if (action.tag != MOVED_TAG) {
            continue;
        }
        open_streams += action.type == LWD_ACTION_SEND;
        open_streams -= action.type == LWD_ACTION_CANCEL;
        hedges += action.type == LWD_ACTION_SEND && action.hedge;
        forwarded = forwarded || action.type == LWD_ACTION_FORWARD;
    }
}

static lwd_action
send_long_request(uint64_t now_us, uint64_t tag)
{
    lwd_action send = {0};
    lwd_make_request(policy, now_us,
                     &(lwd_request_desc){.tag = tag,
                                         .adapter = adapter,
                                         .max_tokens = MAX_TOKENS,
                                         .deadline_us = DEADLINE_US});
    track_actions(&send);
    ck_assert_uint_eq(send.tag, tag);
    return send;
}

static void
report(const lwd_action *send, lwd_event_type type, uint64_t now_us,
       uint32_t tokens)
{
    lwd_feed(policy, now_us,
             &(lwd_event){
                 .type = type, .attempt = send->attempt, .tokens = tokens});
}

START_TEST(test_hedged_work_that_moves_leaves_no_stream_behind)
{
    feed_summary(fast, 2, SLOW_INTERVAL_US); /* faster after the hedge */
    lwd_server both[] = {own, make_server(0, SLOW_TOKENS_PER_S)};
    for (size_t i = 0; i < G_N_ELEMENTS(both); i++) {
        lwd_feed(policy, 0,
                 &(lwd_event){.type = LWD_EVENT_RESIDENT,
                              .server = both[i],
                              .adapter = adapter,
                              .resident = true});
    }
    lwd_action moved = send_long_request(0, MOVED_TAG);
    lwd_action refusal = {0};
    uint32_t made = MAX_TOKENS / 8 - 1; /* one less than is judged */
    ck_assert(!run_slowly(&moved, 0, made / SLOW_TOKENS_PER_S, &refusal));
    uint64_t now_us = (uint64_t)made * SLOW_INTERVAL_US;
    lwd_feed(policy, now_us,
             &(lwd_event){.type = LWD_EVENT_FAILED,
                          .attempt = moved.attempt,
                          .tokens = made + 1,
                          .failure = LWD_FAILURE_BROKEN});
    open_streams = 0;
    now_us += SLOW_INTERVAL_US;
    lwd_feed(policy, now_us, &(lwd_event){.type = LWD_EVENT_TICK});
    track_actions(&moved);
    ck_assert_uint_eq(open_streams, 1);
    /* Its new stream sends nothing; the progress of others keeps the servers
       from being taken for silent. */
    lwd_action others[4];
    for (uint32_t i = 0; i < G_N_ELEMENTS(others); i++) {
        others[i] = send_long_request(now_us, 1 + i);
        report(&others[i], LWD_EVENT_FIRST_TOKEN, now_us, 1);
    }
    for (uint32_t tokens = 2; tokens < 50 && !forwarded; tokens++) {
        now_us += SLOW_INTERVAL_US;
        for (uint32_t i = 0; i < G_N_ELEMENTS(others); i++) {
            report(&others[i], LWD_EVENT_PROGRESS, now_us, tokens);
        }
        lwd_feed(policy, now_us, &(lwd_event){.type = LWD_EVENT_TICK});
        lwd_action last;
        track_actions(&last);
        if (hedges == 1) {
            feed_summary(fast, 2 + tokens, FAST_INTERVAL_US);
        }
    }
    ck_assert_uint_eq(hedges, 1);
    ck_assert(forwarded);
    ck_assert_uint_eq(open_streams, 0);
}
END_TEST

START_TEST(test_tokens_of_a_lost_forward_are_no_pace_of_the_next_server)
{
    lwd_server owner = make_server(3, SLOW_TOKENS_PER_S);
    lwd_feed(policy, 0,
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = own,
                          .server_state = LWD_SERVER_DOWN});
    feed_resident_summary(owner, 1);
    lwd_make_request(policy, 0,
                     &(lwd_request_desc){.tag = MOVED_TAG,
                                         .adapter = adapter,
                                         .max_tokens = MAX_TOKENS,
                                         .deadline_us = DEADLINE_US});
    lwd_action action;
    ck_assert(take_action(LWD_ACTION_FORWARD, &action));
    ck_assert_uint_eq(action.server.id, owner.id);
    lwd_feed(policy, SECOND_US,
             &(lwd_event){.type = LWD_EVENT_SERVER_STATE,
                          .server = own,
                          .server_state = LWD_SERVER_READY});
    lwd_feed(policy, SECOND_US,
             &(lwd_event){.type = LWD_EVENT_RESIDENT,
                          .server = own,
                          .adapter = adapter,
                          .resident = true});
    /* The caller has 300 tokens of the forward, which ends without a word. */
    lwd_destroy_server(policy, 30 * SECOND_US, owner);
    ck_assert(take_action(LWD_ACTION_SEND, &action));
    lwd_server_info info = {0};
    lwd_query_server_info(policy, own, &info);
    uint32_t interval_us = info.token_interval_us;
    uint64_t now_us = 31 * SECOND_US;
    report(&action, LWD_EVENT_FIRST_TOKEN, now_us, 301);
    report(&action, LWD_EVENT_PROGRESS, now_us + SLOW_INTERVAL_US, 302);
    lwd_query_server_info(policy, own, &info);
    ck_assert_uint_eq(info.token_interval_us, interval_us);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("migration");
    TCase *tests = tcase_create("long work");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(tests, test_owner_hands_late_work_back);
    tcase_add_test(tests, test_owner_keeps_work_that_moved_with_many_tokens);
    tcase_add_test(tests, test_owner_keeps_work_without_a_faster_server);
    tcase_add_test(tests, test_entry_forwards_to_another_owner);
    tcase_add_test(tests, test_hedged_work_that_moves_leaves_no_stream_behind);
    tcase_add_test(
        tests, test_tokens_of_a_lost_forward_are_no_pace_of_the_next_server);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
