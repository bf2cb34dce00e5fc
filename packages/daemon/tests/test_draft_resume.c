/* Tests that a draft that is resumed gives its caller each token once and in
   order: two instances in one process, joined by the Forward messages, and a
   backend server whose runs end where the test says. */
#include "forwards.h"
#include "scheduler.h"
#include <check.h>
#include <json-glib/json-glib.h>
#include <libsoup/soup.h>
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#define RUNS_MAX 8
#define WHOLE UINT32_MAX
#define PATIENCE_US (3 * G_USEC_PER_SEC)

/* An instance. The tests pass it as its mm_members. */
typedef struct node {
    const char *name;
    sc_scheduler *scheduler;
    fw_forwards *forwards;
    GQueue sent;         /* packed envelopes for the other node */
    uint32_t drop_index; /* the piece of this index is lost; 0: none */
    bool drop_credits;
    uint32_t lose_at; /* the link is lost as this piece or, if it is
                         WHOLE, the final is sent; 0: never */
    uint32_t forwards_sent;
    uint32_t resume_from[RUNS_MAX]; /* of each forward sent */
    char forwarded_to[8];           /* server of the last one */
} node;

typedef struct caller {
    dr_sink sink; /* first member */
    uint32_t next_index;
    bool ended;
    er_code code;
    uint32_t tokens;
} caller;

typedef struct fixture {
    tm_service *timers;
    SoupServer *engine;
    char *address;
    node entry;     /* instance "a", where the caller is */
    node owner;     /* instance "b", which owns the servers */
    uint32_t total; /* tokens of the whole answer */
    uint32_t runs;
    uint32_t run_tokens[RUNS_MAX];  /* sent by each run before it is cut */
    uint32_t run_resumed[RUNS_MAX]; /* resume_from that each run was given */
    caller caller;
    uint32_t had_at_loss; /* tokens of the caller as the link was lost */
} fixture;

static fixture fx;

/* -- backend server ------------------------------------------------------- */

static void
append(SoupServerMessage *message, const char *text)
{
    soup_message_body_append(soup_server_message_get_response_body(message),
                             SOUP_MEMORY_COPY, text, strlen(text));
}

static uint32_t
parse_resume_from(SoupServerMessage *message)
{
    g_autoptr(JsonParser) parser = json_parser_new();
    const SoupMessageBody *body =
        soup_server_message_get_request_body(message);
    ck_assert(json_parser_load_from_data(parser, body->data,
                                         (gssize)body->length, NULL));
    return (uint32_t)json_object_get_int_member(
        json_node_get_object(json_parser_get_root(parser)), "resume_from");
}

static void
on_completions(SoupServer *soup, SoupServerMessage *message, const char *path,
               GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    ck_assert_uint_lt(fx.runs, RUNS_MAX);
    uint32_t index = parse_resume_from(message);
    uint32_t limit = fx.run_tokens[fx.runs];
    fx.run_resumed[fx.runs++] = index;
    soup_server_message_set_status(message, 200, NULL);
    soup_message_headers_set_encoding(
        soup_server_message_get_response_headers(message),
        SOUP_ENCODING_CHUNKED);
    uint32_t end = limit == WHOLE ? fx.total : MIN(fx.total, index + limit);
    for (; index < end; index++) {
        g_autofree char *event = g_strdup_printf(
            "data: {\"index\":%u,\"text\":\"t%u\",\"model\":\"m@1\"}\n\n",
            index, index);
        append(message, event);
    }
    if (limit == WHOLE) {
        g_autofree char *event = g_strdup_printf(
            "data: {\"done\":true,\"tokens\":%u}\n\n", fx.total);
        append(message, event);
    }
    soup_message_body_complete(soup_server_message_get_response_body(message));
}

static void
on_order(SoupServer *soup, SoupServerMessage *message, const char *path,
         GHashTable *query, void *data)
{
    (void)soup;
    (void)path;
    (void)query;
    (void)data;
    soup_server_message_set_status(message, 200, NULL);
    append(message, "{\"incarnation\":\"i\",\"adapters\":[\"m@1\"]}");
}

/* -- instances ------------------------------------------------------------ */

static void
lose_link(void)
{
    node *ends[] = {&fx.owner, &fx.entry};
    fx.had_at_loss = fx.caller.next_index;
    for (size_t i = 0; i < G_N_ELEMENTS(ends); i++) {
        while (!g_queue_is_empty(&ends[i]->sent)) {
            g_bytes_unref(g_queue_pop_head(&ends[i]->sent));
        }
        const char *lost = ends[1 - i]->name;
        fw_handle_link_lost(ends[i]->forwards, lost);
        sc_handle_link_lost(ends[i]->scheduler, lost);
    }
}

static bool
is_dropped(node *from, const Lacewing__Envelope *envelope)
{
    if (envelope->body_case == LACEWING__ENVELOPE__BODY_CREDIT) {
        return from->drop_credits;
    }
    bool dropped = from->drop_index &&
                   envelope->body_case == LACEWING__ENVELOPE__BODY_PIECE &&
                   envelope->piece->index == from->drop_index;
    from->drop_index = dropped ? 0 : from->drop_index;
    return dropped;
}

static bool
is_link_lost(node *from, const Lacewing__Envelope *envelope)
{
    bool lost = from->lose_at &&
                ((envelope->body_case == LACEWING__ENVELOPE__BODY_PIECE &&
                  envelope->piece->index == from->lose_at) ||
                 (envelope->body_case == LACEWING__ENVELOPE__BODY_FINAL &&
                  from->lose_at == WHOLE));
    from->lose_at = lost ? 0 : from->lose_at;
    return lost;
}

/* Replaces the function of members.c. */
bool
mm_send(mm_members *members, const char *instance,
        const Lacewing__Envelope *envelope)
{
    (void)instance;
    node *from = (node *)members;
    if (is_link_lost(from, envelope)) {
        lose_link();
        return false;
    }
    if (!is_dropped(from, envelope)) {
        size_t size = lacewing__envelope__get_packed_size(envelope);
        uint8_t *packed = g_malloc(size);
        lacewing__envelope__pack(envelope, packed);
        g_queue_push_tail(&from->sent, g_bytes_new_take(packed, size));
    }
    return true;
}

static void
deliver(node *from, node *to)
{
    while (!g_queue_is_empty(&from->sent)) {
        g_autoptr(GBytes) packed = g_queue_pop_head(&from->sent);
        gsize size = 0;
        const uint8_t *bytes = g_bytes_get_data(packed, &size);
        Lacewing__Envelope *envelope =
            lacewing__envelope__unpack(NULL, size, bytes);
        pe_peer peer = {.instance = from->name, .zone = "z"};
        ck_assert(fw_receive_message(to->forwards, &peer, envelope));
        lacewing__envelope__free_unpacked(envelope, NULL);
    }
}

static bool
send_forward(const sc_forward *forward, void *data)
{
    node *from = data;
    ck_assert_uint_lt(from->forwards_sent, RUNS_MAX);
    from->resume_from[from->forwards_sent++] = forward->resume_from;
    g_strlcpy(from->forwarded_to, forward->server, sizeof(from->forwarded_to));
    return fw_send(from->forwards, forward);
}

static void
cancel_forward(uint64_t draft, uint32_t attempt, const char *instance,
               void *data)
{
    fw_send_cancel(((node *)data)->forwards, draft, attempt, instance);
}

static void
send_credit(uint64_t draft, uint32_t attempt, const char *instance,
            uint32_t tokens, void *data)
{
    fw_send_credit(((node *)data)->forwards, draft, attempt, instance, tokens);
}

static void
publish_summary(const char *server, const lwd_summary *summary, void *data)
{
    (void)server;
    (void)summary;
    (void)data;
}

static void
publish_suspect(uint64_t fingerprint, uint32_t deaths, void *data)
{
    (void)fingerprint;
    (void)deaths;
    (void)data;
}

static void
on_server(const char *server, void *data)
{
    (void)server;
    (void)data;
}

static bool
may_order(const char *server, bool evict, void *data)
{
    (void)server;
    (void)evict;
    (void)data;
    return true;
}

static void
foreign_requests(const char *server, uint32_t count, void *data)
{
    (void)server;
    (void)count;
    (void)data;
}

static void
probe_done(const char *server, bool reached, void *data)
{
    (void)server;
    (void)reached;
    (void)data;
}

static const sc_callbacks callbacks = {
    .send_forward = send_forward,
    .cancel_forward = cancel_forward,
    .publish_summary = publish_summary,
    .publish_suspect = publish_suspect,
    .fenced = on_server,
    .may_order = may_order,
    .send_credit = send_credit,
    .handover_drained = on_server,
    .foreign_requests = foreign_requests,
    .probe_done = probe_done,
    .server_leaving = on_server,
};

static void
set_server(node *at, const char *name)
{
    sc_set_server(at->scheduler, &(sc_server_desc){.name = name,
                                                   .zone = "z",
                                                   .address = fx.address,
                                                   .slots = 4,
                                                   .adapter_slots = 4});
}

static void
node_setup(node *at, const char *name)
{
    at->name = name;
    at->scheduler = sc_create(&(sc_desc){.timers = fx.timers,
                                         .callbacks = &callbacks,
                                         .user_data = at,
                                         .instance = name,
                                         .zone = "z"});
    at->forwards = fw_create(at->scheduler, (mm_members *)at);
    g_queue_init(&at->sent);
    set_server(at, "s1");
    set_server(at, "s2");
    sc_set_model(at->scheduler, "m@1", 0);
}

/* Returns on how many servers the adapter is known to be resident. */
static int64_t
count_resident(const node *at)
{
    g_autoptr(JsonBuilder) json = json_builder_new();
    sc_query_servers(at->scheduler, json);
    g_autoptr(JsonNode) root = json_builder_get_root(json);
    JsonArray *servers = json_node_get_array(root);
    int64_t count = 0;
    for (guint i = 0; i < json_array_get_length(servers); i++) {
        count += json_object_get_int_member(
            json_array_get_object_element(servers, i), "resident");
    }
    return count;
}

static void
setup(void)
{
    memset(&fx, 0, sizeof(fx));
    fx.total = 8;
    memset(fx.run_tokens, 0xff, sizeof(fx.run_tokens));
    fx.engine = soup_server_new(NULL, NULL);
    soup_server_add_handler(fx.engine, "/v1/completions", on_completions, NULL,
                            NULL);
    soup_server_add_handler(fx.engine, NULL, on_order, NULL, NULL);
    soup_server_listen_local(fx.engine, 0, SOUP_SERVER_LISTEN_IPV4_ONLY, NULL);
    GSList *uris = soup_server_get_uris(fx.engine);
    fx.address = g_strdup_printf("127.0.0.1:%d", g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    fx.timers = tm_create(&(tm_desc){0});
    node_setup(&fx.entry, "a");
    node_setup(&fx.owner, "b");
    sc_own(fx.owner.scheduler, "s1", 1, 0);
    sc_own(fx.owner.scheduler, "s2", 1, 0);
    sc_set_owner(fx.entry.scheduler, "s1", "b");
    sc_set_owner(fx.entry.scheduler, "s2", "b");
    while (count_resident(&fx.owner) < 2) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
node_teardown(node *at)
{
    sc_destroy(at->scheduler);
    fw_destroy(at->forwards);
    g_queue_clear_full(&at->sent, (GDestroyNotify)g_bytes_unref);
}

static void
teardown(void)
{
    node_teardown(&fx.entry);
    node_teardown(&fx.owner);
    tm_destroy(fx.timers);
    soup_server_disconnect(fx.engine);
    g_object_unref(fx.engine);
    g_free(fx.address);
}

/* -- the caller ----------------------------------------------------------- */

static void
on_token(dr_sink *sink, uint32_t index, const char *text)
{
    caller *seen = (caller *)sink;
    g_autofree char *wanted = g_strdup_printf("t%u", index);
    ck_assert_uint_eq(index, seen->next_index);
    ck_assert_str_eq(text, wanted);
    seen->next_index++;
}

static void
on_end(dr_sink *sink, const dr_end *end)
{
    caller *seen = (caller *)sink;
    ck_assert(!seen->ended);
    seen->ended = true;
    seen->code = end->code;
    seen->tokens = end->tokens;
}

static const dr_sink_vt sink_vt = {.token = on_token, .end = on_end};

/* Submits a draft of which the caller already has some tokens. */
static uint64_t
submit(node *at, uint32_t resume_from)
{
    fx.caller = (caller){.sink = {.vt = &sink_vt}, .next_index = resume_from};
    er_status status = {0};
    uint64_t draft = sc_submit(at->scheduler,
                               &(sc_draft_desc){.sink = &fx.caller.sink,
                                                .model = "m@1",
                                                .prompt = "p",
                                                .team_weight = 1,
                                                .max_tokens = fx.total,
                                                .resume_from = resume_from},
                               &status);
    ck_assert_uint_ne(draft, 0);
    return draft;
}

static void
step(void)
{
    deliver(&fx.entry, &fx.owner);
    deliver(&fx.owner, &fx.entry);
    if (!g_main_context_iteration(NULL, FALSE)) {
        g_usleep(200);
    }
}

static void
run_to_end(void)
{
    gint64 until_us = g_get_monotonic_time() + PATIENCE_US;
    while (!fx.caller.ended && g_get_monotonic_time() < until_us) {
        step();
    }
    ck_assert_msg(fx.caller.ended, "no end; the caller has %u of %u tokens",
                  fx.caller.next_index, fx.total);
}

static void
check_whole(void)
{
    run_to_end();
    ck_assert_int_eq(fx.caller.code, ER_OK);
    ck_assert_uint_eq(fx.caller.tokens, fx.total);
    ck_assert_uint_eq(fx.caller.next_index, fx.total);
}

/* -- runs on an owned server ---------------------------------------------- */

START_TEST(test_run_that_ends_before_its_first_token_restarts_no_draft)
{
    fx.run_tokens[0] = 0;
    fx.run_tokens[1] = 0;
    submit(&fx.owner, 5);
    check_whole();
    ck_assert_uint_eq(fx.runs, 3);
    for (uint32_t run = 0; run < fx.runs; run++) {
        ck_assert_uint_eq(fx.run_resumed[run], 5);
    }
}
END_TEST

START_TEST(test_second_failure_after_a_resume_restarts_no_draft)
{
    fx.run_tokens[0] = 3;
    fx.run_tokens[1] = 0;
    fx.run_tokens[2] = 2;
    submit(&fx.owner, 0);
    check_whole();
    ck_assert_uint_eq(fx.runs, 4);
    ck_assert_uint_eq(fx.run_resumed[1], 3);
    ck_assert_uint_eq(fx.run_resumed[2], 3);
    ck_assert_uint_eq(fx.run_resumed[3], 5);
}
END_TEST

START_TEST(test_run_cut_after_the_last_token_is_no_whole_answer)
{
    fx.run_tokens[0] = 8;
    submit(&fx.owner, 0);
    check_whole();
    ck_assert_uint_eq(fx.runs, 2);
    ck_assert_uint_eq(fx.run_resumed[1], 8);
}
END_TEST

/* -- versions ------------------------------------------------------------- */

START_TEST(test_version_removed_and_added_while_drafts_run_is_accepted)
{
    submit(&fx.owner, 0);
    while (fx.runs == 0) {
        step();
    }
    ck_assert(!fx.caller.ended);
    sc_remove_model(fx.owner.scheduler, "m@1");
    ck_assert(!sc_query_has_model(fx.owner.scheduler, "m@1"));
    sc_set_model(fx.owner.scheduler, "m@1", 0);
    check_whole();
    submit(&fx.owner, 0);
    check_whole();
    sc_remove_model(fx.owner.scheduler, "m@1");
    ck_assert(!sc_query_has_model(fx.owner.scheduler, "m@1"));
}
END_TEST

/* -- forwards ------------------------------------------------------------- */

START_TEST(test_owner_resumes_a_forward_from_what_it_was_told)
{
    fx.run_tokens[0] = 0;
    fx.run_tokens[1] = 2;
    submit(&fx.entry, 4);
    check_whole();
    ck_assert_uint_eq(fx.entry.resume_from[0], 4);
    ck_assert_uint_eq(fx.run_resumed[0], 4);
    ck_assert_uint_eq(fx.run_resumed[1], 4);
    ck_assert_uint_eq(fx.run_resumed[2], 6);
}
END_TEST

/* Lets step() run until the caller has so many tokens. */
static void
run_to_token(uint32_t tokens)
{
    gint64 until_us = g_get_monotonic_time() + PATIENCE_US;
    while (fx.caller.next_index < tokens &&
           g_get_monotonic_time() < until_us) {
        step();
    }
    ck_assert_uint_ge(fx.caller.next_index, tokens);
}

START_TEST(test_lost_link_resumes_after_what_the_caller_has)
{
    fx.owner.lose_at = 4;
    submit(&fx.entry, 2);
    check_whole();
    ck_assert_uint_eq(fx.entry.forwards_sent, 2);
    ck_assert_uint_eq(fx.entry.resume_from[1], fx.had_at_loss);
    ck_assert_uint_eq(fx.run_resumed[1], fx.had_at_loss);
}
END_TEST

START_TEST(test_removed_server_resumes_after_what_the_caller_has)
{
    fx.total = 2000; /* more than the owner sends without a credit */
    submit(&fx.entry, 0);
    run_to_token(1);
    uint32_t has = fx.caller.next_index;
    sc_remove_server(fx.entry.scheduler, fx.entry.forwarded_to);
    check_whole();
    ck_assert_uint_eq(fx.entry.forwards_sent, 2);
    ck_assert_uint_eq(fx.entry.resume_from[1], has);
}
END_TEST

START_TEST(test_pieces_of_an_old_forward_are_dropped)
{
    fx.run_tokens[0] = 1;
    fx.run_tokens[1] = 1;
    uint64_t draft = submit(&fx.entry, 0);
    sc_receive_piece(fx.entry.scheduler, draft, 1, 0, "not yet forwarded");
    run_to_token(1);
    sc_handle_link_lost(fx.entry.scheduler, "b");
    sc_receive_piece(fx.entry.scheduler, draft, 1, fx.caller.next_index,
                     "of the first forward");
    sc_receive_final(fx.entry.scheduler, draft, 1,
                     &(dr_end){.code = ER_OK, .tokens = fx.caller.next_index});
    ck_assert(!fx.caller.ended);
    check_whole();
}
END_TEST

START_TEST(test_lost_piece_resumes_the_draft_at_once)
{
    fx.total = 2000; /* more than the owner sends without a credit */
    fx.owner.drop_index = 10;
    submit(&fx.entry, 0);
    check_whole();
    ck_assert_uint_eq(fx.entry.resume_from[1], 10);
}
END_TEST

START_TEST(test_link_lost_while_a_piece_is_sent)
{
    fx.total = FW_WINDOW_TOKENS + 1;
    fx.owner.lose_at = FW_WINDOW_TOKENS - 1;
    fx.entry.drop_credits = true; /* the piece is the last one allowed */
    submit(&fx.entry, 0);
    check_whole();
}
END_TEST

START_TEST(test_link_lost_while_the_end_is_sent)
{
    fx.owner.lose_at = WHOLE;
    submit(&fx.entry, 0);
    check_whole();
}
END_TEST

int
main(void)
{
    mallopt(M_PERTURB, 0xff); /* overwrites freed memory */
    Suite *suite = suite_create("draft resume");
    TCase *tests = tcase_create("all");
    tcase_add_checked_fixture(tests, setup, teardown);
    tcase_add_test(
        tests, test_run_that_ends_before_its_first_token_restarts_no_draft);
    tcase_add_test(tests,
                   test_second_failure_after_a_resume_restarts_no_draft);
    tcase_add_test(tests,
                   test_run_cut_after_the_last_token_is_no_whole_answer);
    tcase_add_test(
        tests, test_version_removed_and_added_while_drafts_run_is_accepted);
    tcase_add_test(tests, test_owner_resumes_a_forward_from_what_it_was_told);
    tcase_add_test(tests, test_lost_link_resumes_after_what_the_caller_has);
    tcase_add_test(tests,
                   test_removed_server_resumes_after_what_the_caller_has);
    tcase_add_test(tests, test_pieces_of_an_old_forward_are_dropped);
    tcase_add_test(tests, test_lost_piece_resumes_the_draft_at_once);
    tcase_add_test(tests, test_link_lost_while_a_piece_is_sent);
    tcase_add_test(tests, test_link_lost_while_the_end_is_sent);
    suite_add_tcase(suite, tests);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
