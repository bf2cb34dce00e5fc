#include "exchange_private.h"

#include <string.h>

/* -- public: refusals and errors ------------------------------------------ */

/* Returns the time from the request's arrival to at_us; 0 if that is not set.
 */
static uint32_t
_xc_elapsed_ms(const xc_exchange *exchange, uint64_t at_us)
{
    return at_us ? (uint32_t)((at_us - exchange->received_us) / 1000) : 0;
}

static uint32_t
_xc_count_loading(const fl_adapter *adapter)
{
    uint32_t loading_count = 0;
    for (guint i = 0; adapter && i < adapter->copies->len; i++) {
        loading_count += ((const fl_copy *)adapter->copies->pdata[i])->loading;
    }
    return loading_count;
}

/* Sums over the ready servers of a service: requests in flight and slots. */
typedef struct _xc_service_load {
    const rc_service *service;
    uint64_t now_us;
    uint32_t servers;
    uint32_t busy;
    uint32_t slots;
} _xc_service_load;

static void
_xc_add_server_load(fl_server *server, void *user_data)
{
    _xc_service_load *load = user_data;
    if (server->state == FL_READY &&
        strcmp(server->service, load->service->name) == 0) {
        load->servers++;
        load->busy += fl_query_in_flight(server, load->now_us);
        load->slots += server->slots;
    }
}

void
xc_log_outcome(lg_item item, const xc_exchange *exchange, const char *why)
{
    const fl_adapter *adapter = exchange->adapter;
    uint64_t now_us = xc_now_us(exchange);
    _xc_service_load load = {.service = exchange->service, .now_us = now_us};
    if (load.service) {
        fl_each_server(exchange->core->desc.fleet, _xc_add_server_load, &load);
    }
    char times[64];
    g_snprintf(times, sizeof(times), "%u/%u/%u",
               _xc_elapsed_ms(exchange, exchange->sent_us),
               _xc_elapsed_ms(exchange, exchange->first_piece_us),
               _xc_elapsed_ms(exchange, now_us));
    char copies[64];
    g_snprintf(copies, sizeof(copies), "%u/%u/%u/%u/%u",
               adapter ? adapter->copies->len : 0, _xc_count_loading(adapter),
               load.servers, load.busy, load.slots);
    char counts[64];
    g_snprintf(counts, sizeof(counts), "%u/%u", exchange->send_count,
               exchange->piece_count);
    lg_write(item, "request", exchange->id ? exchange->id : "-", "why", why,
             "route", exchange->route->name, "adapter",
             adapter ? adapter->key : "-", "server",
             exchange->send_count ? exchange->last_server_id : "-",
             "sent/first/after_ms", times, "sends/pieces", counts,
             "copies/coming/servers/busy/slots", copies, NULL);
}

void
xc_refuse(xc_exchange *exchange, uint32_t status, uint32_t after_ms,
          ct_unserved_reason why)
{
    g_assert(!exchange->may_have_run && !exchange->answer_begun);
    xc_log_outcome(LG_REQUEST_REFUSED, exchange, ct_query_unserved_text(why));
    ct_count_refused(ER_NO_SERVER);
    ct_count_unserved(CT_OUTCOME_REFUSED, why);
    char headers[64];
    g_snprintf(headers, sizeof(headers), "%s: %.2f\r\n",
               exchange->core->desc.dialect->headers[DL_RETRY_AFTER],
               after_ms / 1000.0);
    cr_conn *caller = exchange->caller;
    xc_free(exchange);
    cr_respond(caller, &(cr_answer){.status = status, .headers = headers});
}

void
xc_fail(xc_exchange *exchange, uint32_t status, ct_unserved_reason why)
{
    bool begun = exchange->answer_begun;
    xc_log_outcome(begun ? LG_REQUEST_BROKEN : LG_REQUEST_FAILED, exchange,
                   ct_query_unserved_text(why));
    ct_add(begun ? CT_BROKEN : CT_FAILED, 1);
    ct_count_unserved(begun ? CT_OUTCOME_BROKEN : CT_OUTCOME_FAILED, why);
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
    exchange->answer_begun = true;
    cr_begin_stream(exchange->caller, exchange->status,
                    exchange->answer_headers->str);
}

/* Returns the id of an event from its last id line, or NULL if it has none;
   free with g_free(). */
static char *
_xc_parse_event_id(const char *event, size_t count)
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

/* Returns the length of the first whole event; 0: none is whole yet. */
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

/* Returns true if a resumed stream repeats an event that the caller has; event
   ids are numbers that grow. */
static bool
_xc_already_forwarded(const xc_exchange *exchange, const char *id)
{
    return exchange->resumed && id && exchange->last_event_id &&
           g_ascii_strtoull(id, NULL, 10) <=
               g_ascii_strtoull(exchange->last_event_id, NULL, 10);
}

/* Forwards whole events only, so that another server can resume the stream
   after any of them. Events that the caller already has are dropped. */
static void
_xc_forward_whole_events(xc_exchange *exchange, const char *bytes,
                         size_t count)
{
    if (!exchange->partial_event) {
        exchange->partial_event = g_byte_array_new();
    }
    g_byte_array_append(exchange->partial_event, (const guint8 *)bytes,
                        (guint)count);
    size_t length;
    while ((length = _xc_event_length(exchange->partial_event)) > 0) {
        char *id = _xc_parse_event_id(
            (const char *)exchange->partial_event->data, length);
        bool repeated = _xc_already_forwarded(exchange, id);
        if (exchange->send_event_count++ == 0) {
            xc_log_first_event(exchange, id, !repeated);
        }
        if (!repeated) {
            cr_write_piece(exchange->caller,
                           (const char *)exchange->partial_event->data,
                           length);
            if (id) {
                g_free(exchange->last_event_id);
                exchange->last_event_id = g_steal_pointer(&id);
            }
        }
        g_free(id);
        g_byte_array_remove_range(exchange->partial_event, 0, (guint)length);
    }
    if (exchange->partial_event->len > XC_MAX_EVENT_BYTES) {
        exchange->answer_invalid = true;
        exchange->answer_too_long = true;
    }
}

void
xc_forward_events(xc_exchange *exchange, const char *bytes, size_t count)
{
    uint64_t now_us = xc_now_us(exchange);
    xc_end_prompt_read(exchange,
                       (double)(now_us - exchange->sent_us) / 1000.0);
    if (exchange->piece_count == 0) {
        exchange->first_piece_us = now_us;
        hg_observe(HG_FIRST_PIECE, xc_query_label(exchange),
                   now_us - exchange->received_us);
    }
    else {
        exchange->max_gap_us =
            MAX(exchange->max_gap_us, now_us - exchange->last_piece_us);
    }
    exchange->last_piece_us = now_us;
    exchange->piece_count++;
    if (exchange->route->resumable) {
        _xc_forward_whole_events(exchange, bytes, count);
    }
    else {
        cr_write_piece(exchange->caller, bytes, count);
    }
}

static void
_xc_log_done(const xc_exchange *exchange)
{
    char times[80];
    g_snprintf(times, sizeof(times), "%u/%u/%u/%u",
               _xc_elapsed_ms(exchange, exchange->sent_us),
               _xc_elapsed_ms(exchange, exchange->first_piece_us),
               (uint32_t)(exchange->max_gap_us / 1000),
               _xc_elapsed_ms(exchange, xc_now_us(exchange)));
    char status[16];
    g_snprintf(status, sizeof(status), "%u", exchange->status);
    lg_write(LG_REQUEST_ANSWERED, "request", exchange->id, "route",
             exchange->route->name, "adapter",
             exchange->adapter ? exchange->adapter->key : "-", "server",
             exchange->last_server_id, "status", status,
             "sent/first/pause/all_ms", times, NULL);
}

void
xc_finish_answer(xc_exchange *exchange)
{
    ct_add(CT_ANSWERED, 1);
    hg_observe(HG_ANSWER, xc_query_label(exchange),
               xc_now_us(exchange) - exchange->received_us);
    if (exchange->logged) {
        _xc_log_done(exchange);
    }
    cr_conn *caller = exchange->caller;
    if (exchange->answer_begun) {
        if (exchange->partial_event && exchange->partial_event->len) {
            cr_write_piece(caller, (const char *)exchange->partial_event->data,
                           exchange->partial_event->len);
        }
        xc_free(exchange);
        cr_end_stream(caller);
        return;
    }
    g_autoptr(GString) headers = g_steal_pointer(&exchange->answer_headers);
    g_autoptr(GByteArray) body = g_steal_pointer(&exchange->answer_body);
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
