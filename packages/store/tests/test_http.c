/* Tests of the HTTP adapters against a server with fixed responses. */
#include "lacewing/store.h"
#include <check.h>
#include <libsoup/soup.h>
#include <stdlib.h>
#include <string.h>

/* Timeout of calls that are expected to time out. */
#define SHORT_TIMEOUT_MS 150

/* The fixed response of the server, and the last request it received. */
typedef struct canned_response {
    uint32_t status; /* 0: no answer; 1: closes the connection */
    const char *answer;
    uint32_t requests;
    char seen[256]; /* method, path, query, identity, body */
} canned_response;

typedef struct outcome {
    uint32_t calls;
    er_code code;
    size_t count;
    char text[128];
} outcome;

static void
on_request(SoupServer *server, SoupServerMessage *message, const char *path,
           GHashTable *query, void *user_data)
{
    (void)server;
    (void)query;
    canned_response *response = user_data;
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    const char *identity = soup_message_headers_get_one(
        soup_server_message_get_request_headers(message),
        "X-Lacewing-Instance");
    const char *query_text =
        g_uri_get_query(soup_server_message_get_uri(message));
    response->requests++;
    g_snprintf(response->seen, sizeof(response->seen), "%s %s?%s %s %.*s",
               soup_server_message_get_method(message), path,
               query_text ? query_text : "", identity ? identity : "-",
               (int)body->length, body->data);
    if (response->status == 0) {
        soup_server_message_pause(message);
        return;
    }
    if (response->status == 1) {
        g_autoptr(GIOStream) stream =
            soup_server_message_steal_connection(message);
        g_io_stream_close(stream, NULL, NULL);
        return;
    }
    soup_server_message_set_status(message, response->status, NULL);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_COPY, response->answer,
                                     strlen(response->answer));
}

static SoupServer *
serve(canned_response *response, char **url)
{
    SoupServer *server = soup_server_new(NULL, NULL);
    soup_server_add_handler(server, NULL, on_request, response, NULL);
    ck_assert(soup_server_listen_local(server, 0, SOUP_SERVER_LISTEN_IPV4_ONLY,
                                       NULL));
    GSList *uris = soup_server_get_uris(server);
    *url = g_strdup_printf("http://127.0.0.1:%d", g_uri_get_port(uris->data));
    g_slist_free_full(uris, (GDestroyNotify)g_uri_unref);
    return server;
}

static void
append_row(outcome *out, const pf_row *row)
{
    gsize size = 0;
    const char *data = row->value ? g_bytes_get_data(row->value, &size) : "-";
    g_autofree char *part = g_strdup_printf(
        "%s=%.*s/%" G_GUINT64_FORMAT " ", row->key ? row->key : "-",
        row->value ? (int)size : 1, data, row->version);
    g_strlcat(out->text, part, sizeof(out->text));
}

static void
on_commit(const pf_commit_result *result, void *user_data)
{
    outcome *out = user_data;
    out->calls++;
    out->code = result->code;
    out->count = result->count;
    for (size_t i = 0; i < result->count; i++) {
        if (result->code == ER_CONFLICT) {
            append_row(out, &result->rows[i]);
        }
        else {
            g_snprintf(out->text, sizeof(out->text), "%" G_GUINT64_FORMAT,
                       result->versions[i]);
        }
    }
}

static void
on_read(const pf_read_result *result, void *user_data)
{
    outcome *out = user_data;
    out->calls++;
    out->code = result->code;
    out->count = result->count;
    for (size_t i = 0; i < result->count; i++) {
        append_row(out, &result->rows[i]);
    }
}

static void
on_list(const pf_instances_result *result, void *user_data)
{
    outcome *out = user_data;
    out->calls++;
    out->code = result->code;
    out->count = result->count;
    for (size_t i = 0; i < result->count; i++) {
        const pf_instance *instance = &result->instances[i];
        g_autofree char *part = g_strdup_printf(
            "%s %s %s %d%d ", instance->name, instance->zone,
            instance->address, instance->kind == PF_INSTANCE_SERVER,
            instance->leaving);
        g_strlcat(out->text, part, sizeof(out->text));
    }
}

static void
wait_for(const outcome *out, uint32_t calls)
{
    while (out->calls < calls) {
        g_main_context_iteration(NULL, TRUE);
    }
}

static void
send_commit(pf_table *table, outcome *out)
{
    g_autoptr(GBytes) value = g_bytes_new("v\"", 2);
    pf_op ops[] = {{.key = "a", .expect = 3, .value = value},
                   {.key = "b", .expect = PF_VERSION_ANY}};
    pf_table_commit(table, ops, 2, on_commit, out);
}

typedef struct answer_case {
    uint32_t status;
    const char *answer;
    er_code code;
    const char *text;
} answer_case;

START_TEST(test_commit)
{
    static const answer_case cases[] = {
        {200, "{\"versions\":[7,8]}", ER_OK, "8"},
        {200, "{\"versions\":[7]}", ER_INTERNAL, ""},
        {200, "{\"versions\":", ER_INTERNAL, ""},
        {409,
         "{\"rows\":[{\"key\":\"a\",\"version\":4,\"value\":\"w\"},null]}",
         ER_CONFLICT, "a=w/4 -=-/0 "},
        {409, "{\"rows\":[{\"key\":\"a\",\"version\":0,\"value\":null},null]}",
         ER_CONFLICT, "a=-/0 -=-/0 "},
        {409, "{\"rows\":[null]}", ER_INTERNAL, ""},
        {409, "{\"rows\":[{\"key\":\"a\",\"version\":4},null]}", ER_INTERNAL,
         ""},
        {503, "{}", ER_PLATFORM_DOWN, ""},
        {500, "{}", ER_PLATFORM_DOWN, ""},
        {400, "{}", ER_BAD_REQUEST, ""},
        {1, "", ER_PLATFORM_DOWN, ""},
        {0, "", ER_TIMEOUT, ""},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        canned_response response = {.status = cases[i].status,
                                    .answer = cases[i].answer};
        g_autofree char *url = NULL;
        SoupServer *server = serve(&response, &url);
        pf_table *table = pf_http_table_create(&(pf_http_desc){
            .base_url = url,
            .identity = "me",
            .timeout_ms = cases[i].status ? 0 : SHORT_TIMEOUT_MS});
        outcome out = {0};
        send_commit(table, &out);
        wait_for(&out, 1);
        ck_assert_int_eq(out.code, cases[i].code);
        ck_assert_str_eq(out.text, cases[i].text);
        ck_assert_uint_eq(response.requests, 1);
        ck_assert_str_eq(response.seen,
                         "POST /table/commit? me {\"ops\":[{\"key\":\"a\","
                         "\"expect\":3,\"value\":\"v\\\"\"},"
                         "{\"key\":\"b\",\"value\":null}]}");
        pf_table_destroy(table);
        ck_assert_uint_eq(out.calls, 1);
        g_object_unref(server);
    }
}
END_TEST

START_TEST(test_read_and_scan)
{
    canned_response response = {
        .status = 200,
        .answer = "{\"key\":\"a b\",\"version\":3,\"value\":\"x\"}"};
    g_autofree char *url = NULL;
    SoupServer *server = serve(&response, &url);
    pf_table *table = pf_http_table_create(&(pf_http_desc){.base_url = url});
    outcome row = {0};
    pf_table_read(table, "a b", on_read, &row);
    wait_for(&row, 1);
    ck_assert_int_eq(row.code, ER_OK);
    ck_assert_str_eq(row.text, "a b=x/3 ");
    ck_assert_str_eq(response.seen, "GET /table/row?key=a%20b - ");
    response.answer = "{\"rows\":[{\"key\":\"p\",\"version\":1,"
                      "\"value\":\"\"}]}";
    outcome scan = {0};
    pf_table_scan(table, "p", "o", 5, on_read, &scan);
    wait_for(&scan, 1);
    ck_assert_str_eq(scan.text, "p=/1 ");
    ck_assert_str_eq(response.seen,
                     "GET /table/scan?prefix=p&after=o&limit=5 - ");
    pf_table_destroy(table);
    g_object_unref(server);
}
END_TEST

START_TEST(test_new_connection_after_silence)
{
    canned_response response = {.status = 0, .answer = "{\"versions\":[1,2]}"};
    g_autofree char *url = NULL;
    SoupServer *server = serve(&response, &url);
    pf_table *table = pf_http_table_create(&(pf_http_desc){
        .base_url = url, .timeout_ms = SHORT_TIMEOUT_MS, .connections = 1});
    outcome silent = {0};
    send_commit(table, &silent);
    wait_for(&silent, 1);
    ck_assert_int_eq(silent.code, ER_TIMEOUT);
    response.status = 200;
    outcome next = {0};
    send_commit(table, &next);
    wait_for(&next, 1);
    ck_assert_int_eq(next.code, ER_OK);
    pf_table_destroy(table);
    g_object_unref(server);
}
END_TEST

START_TEST(test_objects_and_instances)
{
    canned_response response = {.status = 404, .answer = "{}"};
    g_autofree char *url = NULL;
    SoupServer *server = serve(&response, &url);
    pf_http_desc desc = {.base_url = url};
    pf_objects *objects = pf_http_objects_create(&desc);
    outcome out = {0};
    pf_objects_get(objects, "x/y", on_read, &out);
    wait_for(&out, 1);
    ck_assert_int_eq(out.code, ER_NOT_FOUND);
    response.status = 200;
    response.answer = "value";
    pf_objects_get(objects, "x", on_read, &out);
    wait_for(&out, 2);
    ck_assert_str_eq(out.text, "x=value/1 ");
    g_autoptr(GBytes) value = g_bytes_new("v", 1);
    pf_objects_put(objects, "x", value, on_commit, &out);
    wait_for(&out, 3);
    ck_assert_int_eq(out.code, ER_OK);
    ck_assert_str_eq(response.seen, "PUT /objects/x? - v");
    pf_objects_destroy(objects);

    response.answer =
        "{\"instances\":[{\"name\":\"s\",\"zone\":\"z\",\"address\":"
        "\"h:1\",\"kind\":\"server\",\"leaving\":true}]}";
    pf_instances *instances = pf_http_instances_create(&desc);
    outcome list = {0};
    pf_instances_list(instances, on_list, &list);
    wait_for(&list, 1);
    ck_assert_str_eq(list.text, "s z h:1 11 ");
    response.answer = "{\"instances\":[{\"name\":\"s\"}]}";
    pf_instances_list(instances, on_list, &list);
    wait_for(&list, 2);
    ck_assert_int_eq(list.code, ER_INTERNAL);
    pf_instances_destroy(instances);
    g_object_unref(server);
}
END_TEST

START_TEST(test_destroy_and_refused_connection)
{
    canned_response response = {.status = 0};
    g_autofree char *url = NULL;
    SoupServer *server = serve(&response, &url);
    pf_table *table = pf_http_table_create(&(pf_http_desc){.base_url = url});
    outcome open = {0};
    send_commit(table, &open);
    pf_table_destroy(table);
    ck_assert_uint_eq(open.calls, 1);
    ck_assert_int_eq(open.code, ER_CANCELLED);
    g_object_unref(server);

    table = pf_http_table_create(&(pf_http_desc){.base_url = url});
    outcome refused = {0};
    send_commit(table, &refused);
    wait_for(&refused, 1);
    ck_assert_int_eq(refused.code, ER_PLATFORM_DOWN);
    pf_table_destroy(table);
}
END_TEST

int
main(void)
{
    TCase *tcase = tcase_create("http");
    tcase_set_timeout(tcase, 30);
    tcase_add_test(tcase, test_commit);
    tcase_add_test(tcase, test_read_and_scan);
    tcase_add_test(tcase, test_new_connection_after_silence);
    tcase_add_test(tcase, test_objects_and_instances);
    tcase_add_test(tcase, test_destroy_and_refused_connection);
    Suite *suite = suite_create("http");
    suite_add_tcase(suite, tcase);
    SRunner *runner = srunner_create(suite);
    srunner_run_all(runner, CK_NORMAL);
    int failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
