#include "exchange_private.h"

#include <string.h>

/* -- public: answers of our own ------------------------------------------- */

static uint32_t
_xc_after_ms(const xc_exchange *exchange, uint64_t at_us)
{
    return at_us ? (uint32_t)((at_us - exchange->begun_us) / 1000) : 0;
}

static uint32_t
_xc_coming(const fl_adapter *adapter)
{
    uint32_t coming = 0;
    for (guint i = 0; adapter && i < adapter->copies->len; i++) {
        coming += ((const fl_copy *)adapter->copies->pdata[i])->loading;
    }
    return coming;
}

/* Requests under way and slots of the servers that could be used. */
typedef struct _xc_room {
    const rc_service *service;
    uint64_t now_us;
    uint32_t servers;
    uint32_t busy;
    uint32_t slots;
} _xc_room;

static void
_xc_add_room(fl_server *server, void *user_data)
{
    _xc_room *room = user_data;
    if (server->state == FL_READY &&
        strcmp(server->service, room->service->name) == 0) {
        room->servers++;
        room->busy += fl_query_in_flight(server, room->now_us);
        room->slots += server->slots;
    }
}

void
xc_log(lg_item item, const xc_exchange *exchange, const char *why)
{
    const fl_adapter *adapter = exchange->adapter;
    uint64_t now_us = xc_now_us(exchange);
    _xc_room room = {.service = exchange->service, .now_us = now_us};
    if (room.service) {
        fl_each_server(exchange->core->desc.fleet, _xc_add_room, &room);
    }
    char times[64];
    g_snprintf(times, sizeof(times), "%u/%u/%u",
               _xc_after_ms(exchange, exchange->sent_us),
               _xc_after_ms(exchange, exchange->first_us),
               _xc_after_ms(exchange, now_us));
    char copies[64];
    g_snprintf(copies, sizeof(copies), "%u/%u/%u/%u/%u",
               adapter ? adapter->copies->len : 0, _xc_coming(adapter),
               room.servers, room.busy, room.slots);
    char counts[64];
    g_snprintf(counts, sizeof(counts), "%u/%u", exchange->sends,
               exchange->pieces);
    lg_write(item, "request", exchange->id ? exchange->id : "-", "why", why,
             "route", exchange->route->name, "adapter",
             adapter ? adapter->key : "-", "server",
             exchange->sends ? exchange->answered_by : "-",
             "sent/first/after_ms", times, "sends/pieces", counts,
             "copies/coming/servers/busy/slots", copies, NULL);
}

void
xc_refuse(xc_exchange *exchange, uint32_t status, uint32_t after_ms,
          ct_end why)
{
    g_assert(!exchange->may_have_run && !exchange->begun);
    xc_log(LG_REFUSED, exchange, ct_query_end_words(why));
    ct_refused(ER_NO_SERVER);
    ct_unserved(CT_OUTCOME_REFUSED, why);
    char headers[64];
    g_snprintf(headers, sizeof(headers), "%s: %.2f\r\n",
               exchange->core->desc.dialect->headers[DL_RETRY_AFTER],
               after_ms / 1000.0);
    cr_conn *caller = exchange->caller;
    xc_free(exchange);
    cr_respond(caller, &(cr_answer){.status = status, .headers = headers});
}

void
xc_fail(xc_exchange *exchange, uint32_t status, ct_end why)
{
    bool begun = exchange->begun;
    xc_log(begun ? LG_BROKEN : LG_FAILED, exchange, ct_query_end_words(why));
    ct_add(begun ? CT_BROKEN : CT_FAILED, 1);
    ct_unserved(begun ? CT_OUTCOME_BROKEN : CT_OUTCOME_FAILED, why);
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
    if (exchange->event->len > XC_EVENT_BYTES) {
        exchange->spoilt = true;
        exchange->overrun = true;
    }
}

void
xc_pass_events(xc_exchange *exchange, const char *bytes, size_t count)
{
    uint64_t now_us = xc_now_us(exchange);
    xc_end_read(exchange, (double)(now_us - exchange->sent_us) / 1000.0);
    if (exchange->pieces == 0) {
        exchange->first_us = now_us;
        hg_observe(HG_FIRST_PIECE, xc_query_label(exchange),
                   now_us - exchange->begun_us);
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
    char times[80];
    g_snprintf(times, sizeof(times), "%u/%u/%u/%u",
               _xc_after_ms(exchange, exchange->sent_us),
               _xc_after_ms(exchange, exchange->first_us),
               (uint32_t)(exchange->pause_us / 1000),
               _xc_after_ms(exchange, xc_now_us(exchange)));
    char status[16];
    g_snprintf(status, sizeof(status), "%u", exchange->status);
    lg_write(LG_DONE, "request", exchange->id, "route", exchange->route->name,
             "adapter", exchange->adapter ? exchange->adapter->key : "-",
             "server", exchange->answered_by, "status", status,
             "sent/first/pause/all_ms", times, NULL);
}

void
xc_answer(xc_exchange *exchange)
{
    ct_add(CT_ANSWERED, 1);
    hg_observe(HG_ANSWER, xc_query_label(exchange),
               xc_now_us(exchange) - exchange->begun_us);
    if (exchange->told) {
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
