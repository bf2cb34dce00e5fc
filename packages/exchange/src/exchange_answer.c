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
               _xc_elapsed_ms(exchange, exchange->send.sent_us),
               _xc_elapsed_ms(exchange, exchange->first_piece_us),
               _xc_elapsed_ms(exchange, now_us));
    char copies[64];
    g_snprintf(copies, sizeof(copies), "%u/%u/%u/%u/%u",
               adapter ? adapter->copies->len : 0, _xc_count_loading(adapter),
               load.servers, load.busy, load.slots);
    char counts[64];
    g_snprintf(counts, sizeof(counts), "%u/%u", exchange->send_count,
               exchange->piece_count);
    const char *resumes = h1_query_header(
        exchange->head, exchange->core->desc.dialect->headers[DL_RESUMES]);
    lg_write(item, "request", exchange->id ? exchange->id : "-", "why", why,
             "route", exchange->route->name, "workspace",
             exchange->workspace ? exchange->workspace->name : "-", "adapter",
             adapter ? adapter->key : "-", "server",
             exchange->send_count ? exchange->send.server_id : "-", "resumes",
             resumes ? resumes : "-", "source_ended",
             exchange->source_end ? exchange->source_end : "-",
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
    xc_return_quota(exchange);
    char headers[64] = "";
    if (status == 429 || status == 503) {
        g_snprintf(headers, sizeof(headers), "%s: %.2f\r\n",
                   exchange->core->desc.dialect->headers[DL_RETRY_AFTER],
                   after_ms / 1000.0);
    }
    else if (status == 401) {
        g_strlcpy(headers, "WWW-Authenticate: Bearer\r\n", sizeof(headers));
    }
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
    xc_cancel_all_sends(exchange, FL_OUTCOME_DEFAULT);
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
    exchange->media_type = g_strdup(exchange->send.media_type);
    exchange->software_hash = exchange->send.software_hash;
    xc_note_origin(exchange);
    cr_begin_stream(exchange->caller, exchange->send.status,
                    exchange->send.answer_headers->str);
}

/* Logs the first event of a send that was asked to go on after an event. */
static void
_xc_log_first_event(const xc_exchange *exchange, const sp_event *event)
{
    char first[XC_EVENT_ID_LOG_BYTES];
    g_strlcpy(first, event->id ? event->id : "-", sizeof(first));
    lg_write(LG_REQUEST_RESUMED, "request", exchange->id, "server",
             exchange->send.server_id, "resume_after",
             exchange->send.resume_after, "first_event", first, "forwarded",
             event->repeated ? "no" : "yes", NULL);
}

static void
_xc_on_event(const sp_event *event, void *user_data)
{
    xc_exchange *exchange = user_data;
    if (event->number == 1 && exchange->logged &&
        strcmp(exchange->send.resume_after, "-") != 0) {
        _xc_log_first_event(exchange, event);
    }
    if (event->repeated) {
        ct_add(CT_PIECES_DROPPED, 1);
    }
    else {
        cr_write_piece(exchange->caller, event->bytes, event->count);
    }
}

static const sp_callbacks _xc_position_callbacks = {.event = _xc_on_event};

void
xc_create_position(xc_exchange *exchange)
{
    const char *name = exchange->core->desc.dialect->headers[DL_LAST_EVENT];
    exchange->position = sp_create(
        &(sp_desc){.caller_event_id = h1_query_header(exchange->head, name),
                   .calls = &_xc_position_callbacks,
                   .user_data = exchange});
}

bool
xc_query_can_resume(const xc_exchange *exchange)
{
    return exchange->position && sp_query_can_continue(exchange->position);
}

bool
xc_query_ends_with_event(const xc_exchange *exchange)
{
    const char *last = exchange->send.last_bytes;
    return last[2] == '\n' &&
           (last[1] == '\n' || (last[1] == '\r' && last[0] == '\n'));
}

static void
_xc_keep_last_bytes(xc_exchange *exchange, const char *bytes, size_t count)
{
    const size_t kept = sizeof(exchange->send.last_bytes);
    size_t added = MIN(count, kept);
    memmove(exchange->send.last_bytes, exchange->send.last_bytes + added,
            kept - added);
    memcpy(exchange->send.last_bytes + kept - added, bytes + count - added,
           added);
}

void
xc_forward_events(xc_exchange *exchange, const char *bytes, size_t count)
{
    uint64_t now_us = xc_now_us(exchange);
    xc_end_prompt_read(exchange,
                       (double)(now_us - exchange->send.sent_us) / 1000.0);
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
    if (exchange->send.piece_count++ == 0) {
        exchange->send.first_piece_us = now_us;
        if (exchange->position) {
            sp_begin_send(exchange->position);
        }
    }
    if (xc_query_under_way(exchange)) {
        xc_note_good(exchange);
    }
    _xc_keep_last_bytes(exchange, bytes, count);
    if (!exchange->position) {
        cr_write_piece(exchange->caller, bytes, count);
    }
    else if (!sp_feed(exchange->position, bytes, count)) {
        exchange->send.answer_invalid = true;
        exchange->send.answer_too_long = true;
    }
}

static void
_xc_log_done(const xc_exchange *exchange)
{
    char times[80];
    g_snprintf(times, sizeof(times), "%u/%u/%u/%u",
               _xc_elapsed_ms(exchange, exchange->send.sent_us),
               _xc_elapsed_ms(exchange, exchange->first_piece_us),
               (uint32_t)(exchange->max_gap_us / 1000),
               _xc_elapsed_ms(exchange, xc_now_us(exchange)));
    char status[16];
    g_snprintf(status, sizeof(status), "%u", exchange->send.status);
    lg_write(LG_REQUEST_ANSWERED, "request", exchange->id, "route",
             exchange->route->name, "adapter",
             exchange->adapter ? exchange->adapter->key : "-", "server",
             exchange->send.server_id, "status", status,
             "sent/first/pause/all_ms", times, NULL);
}

void
xc_finish_answer(xc_exchange *exchange)
{
    ct_add(CT_ANSWERED, 1);
    hg_observe(HG_ANSWER, xc_query_label(exchange),
               xc_now_us(exchange) - exchange->received_us);
    if (exchange->send.status >= 200 && exchange->send.status < 300) {
        xc_note_good(exchange);
    }
    if (exchange->logged) {
        _xc_log_done(exchange);
    }
    cr_conn *caller = exchange->caller;
    if (exchange->answer_begun) {
        xc_note_stream_done(exchange);
        if (exchange->position && exchange->send.piece_count > 0) {
            sp_end(exchange->position);
        }
        xc_free(exchange);
        cr_end_stream(caller);
        return;
    }
    g_autoptr(GString) headers =
        g_steal_pointer(&exchange->send.answer_headers);
    g_autoptr(GByteArray) body =
        exchange->send.answer_body
            ? g_byte_array_ref(exchange->send.answer_body)
            : NULL;
    cr_answer answer = {
        .status = exchange->send.status,
        .headers = headers ? headers->str : NULL,
        .body = body ? (const char *)body->data : NULL,
        .body_count = body ? body->len : 0,
        .no_body = strcmp(exchange->head->method, "HEAD") == 0,
    };
    xc_free(exchange);
    cr_respond(caller, &answer);
}
