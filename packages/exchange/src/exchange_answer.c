#include "exchange_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

/* -- public: answers of our own ------------------------------------------- */

static void
_xc_log(lg_item item, const xc_exchange *exchange, const char *why)
{
    g_autofree char *age =
        g_strdup_printf("%" G_GUINT64_FORMAT,
                        (xc_now_us(exchange) - exchange->begun_us) / 1000);
    g_autofree char *sends = g_strdup_printf("%u", exchange->sends);
    lg_write(item, "request", exchange->id ? exchange->id : "-", "why", why,
             "route", exchange->route->name, "adapter",
             exchange->adapter ? exchange->adapter->key : "-", "after_ms", age,
             "sends", sends, NULL);
}

void
xc_refuse(xc_exchange *exchange, uint32_t status, uint32_t after_ms,
          const char *why)
{
    g_assert(!exchange->may_have_run && !exchange->begun);
    _xc_log(LG_REFUSED, exchange, why);
    ct_refused(ER_NO_SERVER);
    char headers[64];
    g_snprintf(headers, sizeof(headers), "%s: %.2f\r\n",
               exchange->core->desc.dialect->headers[DL_RETRY_AFTER],
               after_ms / 1000.0);
    cr_conn *caller = exchange->caller;
    xc_free(exchange);
    cr_respond(caller, &(cr_answer){.status = status, .headers = headers});
}

void
xc_fail(xc_exchange *exchange, uint32_t status, const char *why)
{
    bool begun = exchange->begun;
    _xc_log(begun ? LG_BROKEN : LG_FAILED, exchange, why);
    ct_add(begun ? CT_BROKEN : CT_FAILED, 1);
    xc_cancel_send(exchange, FL_OUTCOME_DEFAULT);
    cr_conn *caller = exchange->caller;
    xc_free(exchange);
    if (begun) {
        cr_abort(caller);
    }
    else {
        cr_respond(caller, &(cr_answer){.status = status});
    }
}

/* -- public: the server's answer ------------------------------------------ */

void
xc_begin_answer(xc_exchange *exchange)
{
    exchange->begun = true;
    cr_begin(exchange->caller, exchange->status,
             exchange->answer_headers->str);
}

/* Id of an event, as its last id line says; NULL: none. */
static char *
_xc_event_id(const char *event, size_t count)
{
    char *id = NULL;
    const char *end = event + count;
    for (const char *line = event; line < end;) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        size_t length = (size_t)((stop ? stop : end) - line);
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            g_free(id);
            id = g_strstrip(g_strndup(line + 3, length - 3));
        }
        line += length + 1;
    }
    return id;
}

/* Length of the first whole event; 0: none yet. */
static size_t
_xc_event_length(const GByteArray *bytes)
{
    const char *text = (const char *)bytes->data;
    for (guint i = 1; i < bytes->len; i++) {
        if (text[i] == '\n' &&
            (text[i - 1] == '\n' ||
             (i > 2 && text[i - 1] == '\r' && text[i - 2] == '\n'))) {
            return i + 1;
        }
    }
    return 0;
}

static bool
_xc_seen(const xc_exchange *exchange, const char *id)
{
    return exchange->resumed && id && exchange->last_event &&
           g_ascii_strtoull(id, NULL, 10) <=
               g_ascii_strtoull(exchange->last_event, NULL, 10);
}

/* Whole events only, so that the stream can go on elsewhere behind one. */
static void
_xc_pass_whole(xc_exchange *exchange, const char *bytes, size_t count)
{
    if (!exchange->event) {
        exchange->event = g_byte_array_new();
    }
    g_byte_array_append(exchange->event, (const guint8 *)bytes, (guint)count);
    size_t length;
    while ((length = _xc_event_length(exchange->event)) > 0) {
        char *id = _xc_event_id((const char *)exchange->event->data, length);
        if (!_xc_seen(exchange, id)) {
            cr_piece(exchange->caller, (const char *)exchange->event->data,
                     length);
            if (id) {
                g_free(exchange->last_event);
                exchange->last_event = g_steal_pointer(&id);
            }
        }
        g_free(id);
        g_byte_array_remove_range(exchange->event, 0, (guint)length);
    }
}

void
xc_pass_events(xc_exchange *exchange, const char *bytes, size_t count)
{
    uint64_t now_us = xc_now_us(exchange);
    if (exchange->pieces == 0) {
        exchange->first_us = now_us;
    }
    else {
        exchange->pause_us =
            MAX(exchange->pause_us, now_us - exchange->last_us);
    }
    exchange->last_us = now_us;
    exchange->pieces++;
    if (exchange->route->resumable) {
        _xc_pass_whole(exchange, bytes, count);
    }
    else {
        cr_piece(exchange->caller, bytes, count);
    }
}

static void
_xc_log_done(const xc_exchange *exchange)
{
    uint64_t begun_us = exchange->begun_us;
    g_autofree char *times = g_strdup_printf(
        "%u/%u/%u/%u", (uint32_t)((exchange->sent_us - begun_us) / 1000),
        exchange->pieces ? (uint32_t)((exchange->first_us - begun_us) / 1000)
                         : 0,
        (uint32_t)(exchange->pause_us / 1000),
        (uint32_t)((xc_now_us(exchange) - begun_us) / 1000));
    lg_write(LG_DONE, "request", exchange->id, "route", exchange->route->name,
             "adapter", exchange->adapter ? exchange->adapter->key : "-",
             "server", exchange->answered_by, "sent/first/pause/all_ms", times,
             NULL);
}

void
xc_answer(xc_exchange *exchange)
{
    ct_add(CT_ANSWERED, 1);
    if (lg_query_writes(LG_DONE)) {
        _xc_log_done(exchange);
    }
    cr_conn *caller = exchange->caller;
    if (exchange->begun) {
        if (exchange->event && exchange->event->len) {
            cr_piece(caller, (const char *)exchange->event->data,
                     exchange->event->len);
        }
        xc_free(exchange);
        cr_end(caller);
        return;
    }
    g_autoptr(GString) headers = g_steal_pointer(&exchange->answer_headers);
    g_autoptr(GByteArray) body = g_steal_pointer(&exchange->answer);
    cr_answer answer = {
        .status = exchange->status,
        .headers = headers ? headers->str : NULL,
        .body = body ? (const char *)body->data : NULL,
        .body_count = body ? body->len : 0,
        .no_body = strcmp(exchange->head->method, "HEAD") == 0,
    };
    xc_free(exchange);
    cr_respond(caller, &answer);
}
