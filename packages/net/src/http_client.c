#include "lacewing/http_client.h"

#include <string.h>

/* Interval at which timeouts are checked. */
#define _HC_TICK_MS 50
/* Most connections per address, and so most requests at one time. */
#define _HC_POOL_CAPACITY 16
/* Closes connections that no request has used for this long. A connection that
   waits for an answer counts as used. */
#define _HC_IDLE_MS 3000

struct hc_client {
    hc_desc desc;
    GHashTable *pools; /* address -> us_pool */
    GQueue calls;      /* _hc_call in flight */
    tm_timer tick;
};

typedef struct _hc_call {
    hc_client *client;
    us_pool *pool;
    us_conn *conn;
    GList link;
    uint64_t deadline_us; /* of CLOCK_BOOTTIME; 0: not sent, fails */
    hc_head head;
    hc_done done;
    void *user_data;
    GByteArray *body; /* body of the answer, as far as received */
    uint32_t max_answer_bytes;
    bool too_long; /* the body is over its limit; the next tick ends the call
                    */
} _hc_call;

static void
_hc_finish(_hc_call *call, const hc_answer *answer)
{
    g_queue_unlink(&call->client->calls, &call->link);
    hc_done done = call->done;
    void *user_data = call->user_data;
    done(answer, user_data);
    g_byte_array_unref(call->body);
    g_free(call);
}

static void
_hc_on_head(us_conn *conn, const h1_head *head, void *user_data)
{
    (void)conn;
    const _hc_call *call = user_data;
    if (call->head) {
        call->head(head, call->user_data);
    }
}

static void
_hc_on_body(us_conn *conn, const char *bytes, size_t count, void *user_data)
{
    (void)conn;
    _hc_call *call = user_data;
    call->too_long =
        call->too_long || call->body->len + count > call->max_answer_bytes;
    if (!call->too_long) {
        g_byte_array_append(call->body, (const guint8 *)bytes, (guint)count);
    }
}

static void
_hc_on_end(us_conn *conn, us_end end, void *user_data)
{
    _hc_call *call = user_data;
    const h1_head *head = us_query_head(conn);
    hc_answer answer = {.code = ER_CONNECTION, .sent = end != US_NOT_SENT};
    if (end == US_COMPLETE && !call->too_long) {
        answer.code = ER_OK;
        answer.status = head->status;
        answer.head = head;
        answer.bytes = (const char *)call->body->data;
        answer.count = call->body->len;
    }
    _hc_finish(call, &answer);
}

static const us_callbacks _hc_calls = {
    .head = _hc_on_head, .body = _hc_on_body, .end = _hc_on_end};

static void
_hc_check_timeout(_hc_call *call, uint64_t clock_us)
{
    if (clock_us < call->deadline_us && !call->too_long) {
        return;
    }
    hc_answer answer = {.code = call->too_long ? ER_CONNECTION : ER_TIMEOUT,
                        .sent = true};
    if (call->conn) {
        answer.sent = us_query_any_sent(call->conn);
        us_cancel(call->conn);
        /* Other connections to this address may be as unresponsive. */
        us_close_idle(call->pool);
    }
    else { /* us_start() found no connection */
        answer.code = ER_CONNECTION;
        answer.sent = false;
    }
    _hc_finish(call, &answer);
}

static void
_hc_on_tick(uint64_t now_us, void *user_data)
{
    (void)now_us; /* of another clock than the deadlines */
    hc_client *client = user_data;
    uint64_t clock_us = lp_query_now_us(client->desc.loop);
    /* Moves each call from the head to the tail, as any of them may end. Calls
       that a callback starts are checked at the next tick. */
    guint count = client->calls.length;
    for (guint i = 0; i < count; i++) {
        GList *link = g_queue_pop_head_link(&client->calls);
        if (!link) {
            return;
        }
        g_queue_push_tail_link(&client->calls, link);
        _hc_check_timeout(link->data, clock_us);
    }
}

hc_client *
hc_create(const hc_desc *desc)
{
    g_assert(desc->hub && desc->loop && desc->timers);
    hc_client *client = g_new0(hc_client, 1);
    client->desc = *desc;
    client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)us_destroy);
    g_queue_init(&client->calls);
    client->tick =
        tm_make_timer(desc->timers, &(tm_timer_desc){.period_ms = _HC_TICK_MS,
                                                     .call = _hc_on_tick,
                                                     .user_data = client});
    return client;
}

void
hc_destroy(hc_client *client)
{
    if (!client) {
        return;
    }
    tm_destroy_timer(client->desc.timers, client->tick);
    GList *link;
    while ((link = g_queue_pop_head_link(&client->calls))) {
        _hc_call *call = link->data;
        if (call->conn) {
            us_cancel(call->conn);
        }
        g_byte_array_unref(call->body);
        g_free(call);
    }
    g_hash_table_unref(client->pools);
    g_free(client);
}

static us_pool *
_hc_get_pool(hc_client *client, const char *address)
{
    us_pool *pool = g_hash_table_lookup(client->pools, address);
    if (!pool) {
        pool = us_create(&(us_pool_desc){.hub = client->desc.hub,
                                         .loop = client->desc.loop,
                                         .address = address,
                                         .capacity = _HC_POOL_CAPACITY,
                                         .idle_ms = _HC_IDLE_MS});
        g_hash_table_insert(client->pools, g_strdup(address), pool);
    }
    return pool;
}

static void
_hc_write_request(us_conn *conn, const hc_request *request, const char *host)
{
    g_autoptr(GString) text = g_string_sized_new(256);
    g_string_append_printf(text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s",
                           request->method, request->path, host,
                           request->headers ? request->headers : "");
    if (request->body) {
        g_string_append_printf(text,
                               "Content-Type: %s\r\nContent-Length: %zu\r\n",
                               request->type, request->body_count);
    }
    g_string_append(text, "\r\n");
    us_write(conn, text->str, text->len);
    if (request->body) {
        us_write(conn, request->body, request->body_count);
    }
}

void
hc_call(hc_client *client, const hc_request *request)
{
    hc_call_with_host(client, request, request->address);
}

void
hc_call_with_host(hc_client *client, const hc_request *request,
                  const char *host)
{
    _hc_call *call = g_new0(_hc_call, 1);
    call->client = client;
    call->link.data = call;
    call->head = request->head;
    call->done = request->done;
    call->user_data = request->user_data;
    call->body = g_byte_array_new();
    call->max_answer_bytes = request->max_answer_bytes
                                 ? request->max_answer_bytes
                                 : HC_MAX_ANSWER_BYTES;
    /* Not the time of the loop: its iteration may have begun long ago. */
    call->deadline_us = lp_query_clock_us() + request->timeout_ms * 1000ULL;
    g_queue_push_tail_link(&client->calls, &call->link);
    call->pool = _hc_get_pool(client, request->address);
    call->conn = us_start(call->pool,
                          &(us_desc){.calls = &_hc_calls, .user_data = call});
    if (call->conn) {
        _hc_write_request(call->conn, request, host);
    }
    else {
        call->deadline_us = 0; /* the next tick reports the failure */
    }
}
