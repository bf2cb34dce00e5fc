#include "exchange_private.h"

#include "notice_read.h"
#include <string.h>
#include <strings.h>

/* Connecting takes some ms, within a zone or across zones. */
#define _XC_CONNECT_TIMEOUT_US 300000
/* Share of a server's max_connections that the known instances divide among
   them; the rest is left to instances that this one cannot see. */
#define _XC_POOL_SHARE 0.85
#define _XC_POOL_MIN_CONNECTIONS 3
/* Bytes of a stream that wait for a slow caller count toward the memory for
   answers from this many on. */
#define _XC_COUNTED_UNSENT_BYTES (64 * 1024)
/* Longest plain answer; it is buffered whole. */
#define _XC_MAX_ANSWER_BYTES (8 * 1024 * 1024)

static void _xc_retry_or_end(xc_exchange *exchange, us_end end);

/* -- private: answers of servers ------------------------------------------ */

static bool
_xc_is_head_only(const xc_exchange *exchange)
{
    return strcmp(exchange->head->method, "HEAD") == 0;
}

static bool
_xc_is_stream(const xc_exchange *exchange)
{
    return exchange->route->kind == RC_STREAM &&
           exchange->send.status == 200 && !_xc_is_head_only(exchange);
}

/* Returns true for headers of the server that are not passed to the caller. */
static bool
_xc_drops_answer_header(const xc_exchange *exchange, const char *name)
{
    const char *const *names = exchange->core->desc.dialect->headers;
    return strcasecmp(name, "content-length") == 0 ||
           strcasecmp(name, names[DL_SERVER_LOAD]) == 0;
}

static void
_xc_store_answer_headers(xc_exchange *exchange, const h1_head *head)
{
    if (!exchange->send.answer_headers) {
        exchange->send.answer_headers = g_string_sized_new(256);
    }
    GString *text = exchange->send.answer_headers;
    g_string_truncate(text, 0);
    for (uint32_t i = 0; i < head->header_count; i++) {
        const h1_header *header = &head->headers[i];
        if (!h1_query_hop_by_hop(head, header->name) &&
            !_xc_drops_answer_header(exchange, header->name)) {
            g_string_append(text, header->name);
            g_string_append(text, ": ");
            g_string_append(text, header->value);
            g_string_append(text, "\r\n");
        }
    }
}

/* Reports what the head says about the server itself: leaving or a pause. */
static void
_xc_read_notice(xc_exchange *exchange, const h1_head *head)
{
    const xc_desc *desc = &exchange->core->desc;
    /* An answer with the id of another request was skipped before; one without
       an id may be anything. */
    bool is_answer =
        h1_query_header(head, desc->dialect->headers[DL_REQUEST_ID]) != NULL;
    fl_server_notice notice;
    if (nr_read_notice(
            &(nr_desc){.dialect = desc->dialect,
                       .fleet = desc->fleet,
                       .server = exchange->send.server->id,
                       .born_ms = exchange->send.server_started_ms,
                       .sent_us = is_answer ? exchange->send.sent_us : 0,
                       .now_us = xc_now_us(exchange)},
            head, &notice)) {
        exchange->send.pause_requested = notice.notice.pause_ms != 0;
        desc->callbacks->server_notice(&notice, desc->user_data);
    }
}

/* Returns the media type of an answer, without parameters; "": it has none. */
static char *
_xc_read_media_type(const h1_head *head)
{
    const char *type = h1_query_header(head, "content-type");
    return type ? g_strndup(type, strcspn(type, "; \t")) : g_strdup("");
}

/* Returns whether an answer can go on with the stream that has begun: an error
   may come with any status. */
static bool
_xc_continues_stream(const xc_exchange *exchange)
{
    const char *media_type = exchange->send.media_type;
    return media_type &&
           g_ascii_strcasecmp(media_type, exchange->media_type) == 0;
}

bool
xc_query_has_events(const xc_exchange *exchange)
{
    return g_ascii_strcasecmp(exchange->send.media_type,
                              "text/event-stream") == 0;
}

/* Returns whether the current send, of which no event has come yet, asked the
   server to go on after an event. */
static bool
_xc_resumes_stream(const xc_exchange *exchange)
{
    const char *name = exchange->core->desc.dialect->headers[DL_LAST_EVENT];
    return exchange->position ? sp_query_last_id(exchange->position) != NULL
                              : h1_query_header(exchange->head, name) != NULL;
}

static void
_xc_on_head(us_conn *conn, const h1_head *head, void *user_data)
{
    xc_exchange *exchange = user_data;
    xc_select_send(exchange, conn);
    const dl_dialect *dialect = exchange->core->desc.dialect;
    _xc_read_notice(exchange, head);
    dl_load load;
    if (dialect->read_load(
            h1_query_header(head, dialect->headers[DL_SERVER_LOAD]), &load)) {
        fl_set_reported_load(exchange->send.server, &load,
                             xc_now_us(exchange));
    }
    bool has_signature =
        h1_query_header(head, dialect->headers[DL_SIGNATURE]) != NULL;
    /* Answers with the id of another request are skipped before. */
    bool has_request_id =
        h1_query_header(head, dialect->headers[DL_REQUEST_ID]) != NULL;
    exchange->send.refused =
        has_request_id &&
        dialect->read_refusal(
            head->status,
            h1_query_header(head, dialect->headers[DL_NOT_EXECUTED]));
    exchange->send.status = head->status;
    exchange->send.answer_invalid =
        !exchange->send.refused && (!has_signature || !has_request_id ||
                                    h1_query_header(head, "content-encoding"));
    if (_xc_is_stream(exchange)) {
        exchange->send.media_type = _xc_read_media_type(head);
    }
    if (exchange->answer_begun) {
        /* The caller already has the head that the first server sent. */
        exchange->send.answer_invalid =
            exchange->send.answer_invalid || !_xc_continues_stream(exchange);
        return;
    }
    if (exchange->send.refused || exchange->send.answer_invalid) {
        return;
    }
    /* The head of a stream goes to the caller with the first bytes of the
       body: until then the request can still end with another answer. */
    _xc_store_answer_headers(exchange, head);
}

/* Returns the memory of an array with this many bytes: GLib doubles it. */
static uint64_t
_xc_array_bytes(size_t count)
{
    return count ? UINT64_C(1) << g_bit_storage(count - 1) : 0;
}

static uint64_t
_xc_body_bytes(const xc_send_state *send)
{
    return send->answer_body ? _xc_array_bytes(send->answer_body->len) : 0;
}

static void
_xc_set_answer_bytes(xc_exchange *exchange, uint64_t bytes)
{
    ct_add(CT_ANSWER_BYTES,
           (int64_t)bytes - (int64_t)exchange->answer_bytes.bytes);
    bb_set(&exchange->core->answer_bytes, &exchange->answer_bytes, exchange,
           bytes);
}

void
xc_count_answer_bodies(xc_exchange *exchange)
{
    _xc_set_answer_bytes(exchange, _xc_body_bytes(&exchange->send) +
                                       _xc_body_bytes(&exchange->other));
}

void
xc_drop_answer_body(xc_exchange *exchange)
{
    _xc_set_answer_bytes(exchange, 0);
    g_clear_pointer(&exchange->send.answer_body, g_byte_array_unref);
    g_clear_pointer(&exchange->other.answer_body, g_byte_array_unref);
}

/* Gives up a plain answer; xc_tick() ends its send. */
static void
_xc_drop_long_answer(xc_exchange *exchange)
{
    xc_cancel_other(exchange, "no memory for a longer answer");
    exchange->send.answer_invalid = true;
    exchange->send.answer_too_long = true;
    xc_drop_answer_body(exchange);
}

static void
_xc_pause_reading(xc_exchange *exchange)
{
    if (exchange->answer_begun && exchange->send.upstream &&
        !exchange->send.paused) {
        us_pause(exchange->send.upstream, true);
        exchange->send.paused = true;
        ct_add(CT_STREAMS_SLOWED, 1);
    }
}

/* Where all answers take more memory than they may have, slows this stream and
   the largest one, and gives up the largest plain answer. From half as much
   again on, the largest stream ends too; that may free the exchange. */
static void
_xc_limit_answer_bytes(xc_exchange *exchange)
{
    bb_budget *budget = &exchange->core->answer_bytes;
    uint64_t hard_max_bytes = budget->max_bytes + budget->max_bytes / 2;
    xc_exchange *largest = bb_query_excess(budget);
    if (largest) {
        _xc_pause_reading(exchange);
    }
    for (; largest; largest = bb_query_excess(budget)) {
        if (!largest->answer_begun) {
            largest->send.answer_crowded_out = true;
            _xc_drop_long_answer(largest);
        }
        else if (budget->used_bytes > hard_max_bytes) {
            _xc_set_answer_bytes(largest, 0);
            cr_drop(largest->caller, CR_NO_MEMORY);
        }
        else {
            _xc_pause_reading(largest);
            return;
        }
    }
}

/* Buffers a piece of a plain answer. */
static void
_xc_buffer(xc_exchange *exchange, const char *bytes, size_t count)
{
    if (!exchange->send.answer_body) {
        exchange->send.answer_body = g_byte_array_new();
    }
    if (exchange->send.answer_body->len + count > _XC_MAX_ANSWER_BYTES) {
        _xc_drop_long_answer(exchange);
        return;
    }
    g_byte_array_append(exchange->send.answer_body, (const guint8 *)bytes,
                        (guint)count);
    xc_count_answer_bodies(exchange);
    _xc_limit_answer_bytes(exchange);
}

/* Counts what waits for the caller to read it. The server is read on
   meanwhile, as it cuts off an answer that stays unread. */
static void
_xc_count_unsent(xc_exchange *exchange)
{
    size_t unsent = cr_query_unsent_bytes(exchange->caller);
    _xc_set_answer_bytes(exchange,
                         unsent >= _XC_COUNTED_UNSENT_BYTES ? unsent : 0);
    _xc_limit_answer_bytes(exchange);
}

void
xc_resume_reading(xc_exchange *exchange)
{
    if (exchange->answer_begun) {
        _xc_set_answer_bytes(exchange, 0);
    }
    if (exchange->send.upstream && exchange->send.paused) {
        us_pause(exchange->send.upstream, false);
        exchange->send.paused = false;
        exchange->send.unpaused_us = xc_now_us(exchange);
    }
}

static void
_xc_on_body(us_conn *conn, const char *bytes, size_t count, void *user_data)
{
    xc_exchange *exchange = user_data;
    xc_select_send(exchange, conn);
    if (exchange->send.refused || exchange->send.answer_invalid) {
        return;
    }
    if (!_xc_is_stream(exchange)) {
        _xc_buffer(exchange, bytes, count);
        return;
    }
    g_autoptr(GByteArray) early = NULL;
    if (!xc_take_piece(exchange, bytes, count, &early)) {
        return;
    }
    if (!exchange->answer_begun) {
        xc_begin_answer(exchange);
    }
    xc_forward_events(exchange, early ? (const char *)early->data : bytes,
                      early ? early->len : count);
    _xc_count_unsent(exchange);
}

/* -- private: end of a send ----------------------------------------------- */

/* Writes an event's id for a log line; "-": there is none. */
static void
_xc_format_last_id(const xc_exchange *exchange,
                   char text[XC_EVENT_ID_LOG_BYTES])
{
    const char *id =
        exchange->position ? sp_query_last_id(exchange->position) : NULL;
    g_strlcpy(text, id ? id : "-", XC_EVENT_ID_LOG_BYTES);
}

void
xc_log_send_ended(xc_exchange *exchange, const char *why)
{
    exchange->logged = true; /* the rest of the request is logged */
    if (exchange->send.piece_count > 0) {
        exchange->source_end = why;
    }
    char last_event[XC_EVENT_ID_LOG_BYTES];
    _xc_format_last_id(exchange, last_event);
    char counts[64];
    /* The position is at the events of an earlier send until then. */
    bool counted = exchange->position && exchange->send.piece_count > 0;
    g_snprintf(counts, sizeof(counts), "%u/%u/%u", exchange->send.status,
               exchange->piece_count,
               counted ? sp_query_event_count(exchange->position) : 0);
    char content[24];
    g_snprintf(content, sizeof(content), "%016" G_GINT64_MODIFIER "x",
               xc_get_fingerprint(exchange));
    lg_write(LG_REQUEST_SEND_ENDED, "request", exchange->id, "server",
             exchange->send.server_id, "why", why, "content", content,
             "status/pieces/events", counts, "resume_after",
             exchange->send.resume_after, "last_event", last_event,
             "can_resume", xc_query_can_resume(exchange) ? "yes" : "no", NULL);
}

void
xc_end_prompt_read(xc_exchange *exchange, double first_ms)
{
    if (exchange->send.unread_tokens) {
        fl_end_prefill(exchange->send.server, exchange->send.unread_tokens,
                       exchange->send.queued_tokens, first_ms);
        exchange->send.unread_tokens = 0;
    }
}

/* Reports the result of the send to the fleet and detaches the server. */
static void
_xc_end_send(xc_exchange *exchange, fl_outcome outcome)
{
    uint64_t now_us = xc_now_us(exchange);
    fl_result result = {.outcome = outcome,
                        .held_ms =
                            (double)(now_us - exchange->send.sent_us) / 1000.0,
                        .now_us = now_us};
    /* The time of a probe after a pause says little about later requests. */
    bool measured = outcome == FL_SUCCEEDED && !exchange->send.is_probe;
    /* The mean time between very few pieces says little. */
    if (measured && exchange->send.piece_count > 4) {
        result.event_ms =
            (double)(exchange->last_piece_us - exchange->send.first_piece_us) /
            1000.0 / (exchange->send.piece_count - 1);
    }
    else if (measured && !exchange->adapter) {
        result.latency_ms = (double)(now_us - exchange->send.sent_us) / 1000.0;
    }
    xc_end_prompt_read(exchange, 0);
    fl_end_request(exchange->send.server, exchange->adapter, &result);
    if (exchange->tried_count < FL_MAX_TRIED) {
        exchange->tried[exchange->tried_count++] = exchange->send.server;
    }
    exchange->send.upstream = NULL;
    exchange->send.server = NULL;
}

void
xc_cancel_send(xc_exchange *exchange, fl_outcome outcome)
{
    if (!exchange->send.upstream) {
        return;
    }
    bool sent = us_query_any_sent(exchange->send.upstream);
    exchange->may_have_run = exchange->may_have_run || sent;
    if (sent) {
        xc_report_if_silent(exchange);
    }
    us_cancel(exchange->send.upstream);
    _xc_end_send(exchange, outcome);
    exchange->state = XC_NEW;
    if (!sent && exchange->possible_runs > 0) {
        exchange->possible_runs--;
    }
}

static fl_outcome
_xc_classify_outcome(const xc_exchange *exchange, us_end end)
{
    if (end == US_NOT_SENT) {
        return FL_UNREACHABLE;
    }
    if (end == US_BROKEN || exchange->send.answer_invalid) {
        return FL_FAILED;
    }
    if (exchange->send.refused || exchange->send.pause_requested) {
        return FL_REFUSED;
    }
    return exchange->send.status >= 500 ? FL_FAILED : FL_SUCCEEDED;
}

/* Returns true if the body of a stream ended before the end of an event: the
   server failed, however the body was framed. */
static bool
_xc_is_cut_short(const xc_exchange *exchange, const h1_head *head)
{
    bool streamed = _xc_is_stream(exchange) && !exchange->send.refused &&
                    !exchange->send.answer_invalid;
    bool framed = head->chunked || head->length != H1_LENGTH_NONE;
    /* Only its type tells a framed body of events from another one. */
    if (!streamed || (framed && !xc_query_has_events(exchange)) ||
        xc_query_ends_with_event(exchange)) {
        return false;
    }
    /* After the event that the caller named as its last one, there may be no
       event left. Without framing, the server may as well have failed. */
    return !framed || exchange->send.piece_count > 0 ||
           !_xc_resumes_stream(exchange);
}

static void
_xc_on_end(us_conn *conn, us_end end, void *user_data)
{
    xc_exchange *exchange = user_data;
    xc_select_send(exchange, conn);
    if (end == US_COMPLETE &&
        _xc_is_cut_short(exchange, us_query_head(conn))) {
        end = US_BROKEN;
    }
    if (end == US_BROKEN) {
        xc_report_broken(exchange);
    }
    else if (end == US_COMPLETE && !exchange->send.refused) {
        const xc_desc *desc = &exchange->core->desc;
        desc->callbacks->answer_good(exchange->send.server,
                                     exchange->send.server_started_ms,
                                     desc->user_data);
    }
    if (exchange->send.refused && exchange->send.status == 421 &&
        exchange->adapter) {
        /* The server does not hold the adapter, or another server has the
           address. */
        exchange->core->desc.callbacks->mismatch(
            exchange->send.server, exchange->adapter,
            exchange->core->desc.user_data);
    }
    if (exchange->send.refused || end == US_NOT_SENT) {
        exchange->possible_runs--;
    }
    else {
        exchange->may_have_run = true;
    }
    _xc_end_send(exchange, _xc_classify_outcome(exchange, end));
    bool good = end == US_COMPLETE && !exchange->send.refused &&
                !exchange->send.answer_invalid;
    bool better_elsewhere =
        good && exchange->send.status >= 500 &&
        (exchange->may_repeat || xc_query_has_other(exchange));
    exchange->state = XC_NEW;
    if (good && !better_elsewhere) {
        xc_cancel_other(exchange, "another server answered first");
        xc_finish_answer(exchange);
        return;
    }
    xc_log_send_ended(exchange,
                      end == US_NOT_SENT       ? "no connection to the server"
                      : exchange->send.refused ? "not run by the server"
                      : exchange->send.answer_invalid ? "invalid answer"
                      : end == US_BROKEN              ? "answer broken off"
                                                      : "server error");
    _xc_retry_or_end(exchange, end);
}

/* Handles a send without a good answer: goes on with the other send, sends the
   request to another server, or ends it with the answer at hand or an error.
   Only a send that reached the server uses up retry budget. */
static void
_xc_retry_or_end(xc_exchange *exchange, us_end end)
{
    if (xc_continue_other(exchange)) {
        return;
    }
    if (exchange->answer_begun) {
        xc_wait_for_slot(exchange);
    }
    uint64_t now_us = xc_now_us(exchange);
    bool arrived = end != US_NOT_SENT;
    bool not_run = !arrived || exchange->send.refused;
    bool allowed =
        not_run || exchange->may_repeat || xc_query_can_resume(exchange);
    bool may_send_elsewhere =
        exchange->possible_runs < exchange->route->max_servers;
    bool may_send = allowed && may_send_elsewhere &&
                    exchange->send_count < XC_MAX_SENDS &&
                    now_us < exchange->deadline_us;
    bool paid = !arrived || (may_send && xc_take_resend(exchange, now_us));
    exchange->owes_resend = !paid && now_us < exchange->slot_wait_until_us;
    if (may_send && (paid || exchange->owes_resend)) {
        ct_add(CT_SENT_AGAIN, 1);
        xc_dispatch(exchange);
        return;
    }
    bool has_answer = end == US_COMPLETE && !exchange->send.refused &&
                      !exchange->send.answer_invalid &&
                      !exchange->answer_begun;
    if (has_answer) {
        xc_finish_answer(exchange);
    }
    else {
        xc_give_up(exchange, exchange->may_have_run ? CT_UNSERVED_SERVER_FAILED
                                                    : CT_UNSERVED_NOT_RUN);
    }
}

void
xc_end_long_answer(xc_exchange *exchange)
{
    ct_add(CT_ANSWERS_TOO_LONG, 1);
    xc_log_send_ended(exchange, exchange->send.answer_crowded_out
                                    ? "no memory for a longer answer"
                                    : "answer too long");
    xc_cancel_send(exchange, FL_FAILED);
    _xc_retry_or_end(exchange, US_BROKEN);
}

static const us_callbacks _xc_upstream_callbacks = {
    .head = _xc_on_head, .body = _xc_on_body, .end = _xc_on_end};

/* -- private: sending ----------------------------------------------------- */

/* Returns true for headers that only the system may set, and those that are
   written anew for the server. */
static bool
_xc_drops_request_header(const xc_exchange *exchange, const char *name)
{
    static const dl_header dropped[] = {
        DL_DEADLINE,     DL_EXPECT_SERVER, DL_PRIORITY,  DL_EXPECT_VERSION,
        DL_PIN,          DL_RESERVED_SLOT, DL_KV_BACKUP, DL_KV_RESUME_FROM,
        DL_KV_FETCH_FROM};
    const char *const *names = exchange->core->desc.dialect->headers;
    for (size_t i = 0; i < G_N_ELEMENTS(dropped); i++) {
        if (strcasecmp(name, names[dropped[i]]) == 0) {
            return true;
        }
    }
    if (exchange->position && strcasecmp(name, names[DL_LAST_EVENT]) == 0) {
        return true;
    }
    return strcasecmp(name, "content-length") == 0 ||
           strcasecmp(name, "expect") == 0 || xc_hides_header(exchange, name);
}

static void
_xc_append_header_u64(GString *text, const char *name, uint64_t value)
{
    g_string_append_printf(text, "%s: %" G_GUINT64_FORMAT "\r\n", name, value);
}

static void
_xc_write_request(xc_exchange *exchange, uint64_t version)
{
    const h1_head *head = exchange->head;
    const char *const *names = exchange->core->desc.dialect->headers;
    g_autoptr(GString) text = g_string_sized_new(768);
    g_string_append(text, head->method);
    g_string_append_c(text, ' ');
    g_string_append(text, head->target);
    g_string_append(text, " HTTP/1.1\r\n");
    for (uint32_t i = 0; i < head->header_count; i++) {
        const h1_header *header = &head->headers[i];
        if (!h1_query_hop_by_hop(head, header->name) &&
            !_xc_drops_request_header(exchange, header->name)) {
            g_string_append(text, header->name);
            g_string_append(text, ": ");
            g_string_append(text, header->value);
            g_string_append(text, "\r\n");
        }
    }
    uint64_t now_us = xc_now_us(exchange);
    uint64_t left_us =
        exchange->deadline_us > now_us ? exchange->deadline_us - now_us : 0;
    _xc_append_header_u64(text, names[DL_DEADLINE], MAX(left_us / 1000, 1));
    g_string_append_printf(text, "%s: %s\r\n", names[DL_EXPECT_SERVER],
                           exchange->send.server->id);
    if (exchange->workspace) {
        g_string_append_printf(text, "%s: %s\r\n", names[DL_WORKSPACE],
                               exchange->workspace->name);
    }
    if (exchange->adapter) {
        /* The header's range is 0 to 9, and 0 is the highest. */
        _xc_append_header_u64(text, names[DL_PRIORITY],
                              MIN(xc_query_priority(exchange) * 2 + 1, 9));
    }
    if (version) {
        _xc_append_header_u64(text, names[DL_EXPECT_VERSION], version);
    }
    const char *last_id =
        exchange->position ? sp_query_last_id(exchange->position) : NULL;
    if (last_id) {
        g_string_append_printf(text, "%s: %s\r\n", names[DL_LAST_EVENT],
                               last_id);
    }
    if (exchange->body_count || head->chunked ||
        head->length != H1_LENGTH_NONE) {
        _xc_append_header_u64(text, "Content-Length", exchange->body_count);
    }
    g_string_append(text, "\r\n");
    us_write(exchange->send.upstream, text->str, text->len);
    us_write(exchange->send.upstream, exchange->body, exchange->body_count);
}

/* Returns the server's connection pool, sized to this instance's share of the
   server's connections. */
static us_pool *
_xc_get_pool(xc_exchange *exchange, fl_server *server)
{
    xc_core *core = exchange->core;
    if (!server->pool) {
        server->pool = us_create(&(us_pool_desc){.hub = core->desc.hub,
                                                 .loop = core->desc.loop,
                                                 .address = server->address});
    }
    uint32_t live = core->desc.callbacks->count_live(core->desc.user_data);
    uint32_t capacity = (uint32_t)(exchange->service->max_connections *
                                   _XC_POOL_SHARE / MAX(live, 1));
    us_set_capacity(server->pool, MAX(capacity, _XC_POOL_MIN_CONNECTIONS));
    return server->pool;
}

/* Logs the chosen server with the figures behind the choice. */
static void
_xc_log_sent(const xc_exchange *exchange, uint64_t version)
{
    const fl_server *server = exchange->send.server;
    char numbers[64];
    g_snprintf(numbers, sizeof(numbers), "%u/%u/%.0f/%.0f/%.2f",
               fl_query_in_flight(server, exchange->send.sent_us),
               server->slots, server->event_ms, server->latency_ms,
               server->failure_rate);
    char times[64];
    g_snprintf(
        times, sizeof(times), "%u/%u",
        (uint32_t)((exchange->send.sent_us - exchange->received_us) / 1000),
        (uint32_t)((exchange->deadline_us - exchange->send.sent_us) / 1000));
    char version_text[24];
    g_snprintf(version_text, sizeof(version_text), "%" G_GUINT64_FORMAT,
               version);
    const char *resumes = h1_query_header(
        exchange->head, exchange->core->desc.dialect->headers[DL_RESUMES]);
    lg_write(LG_REQUEST_SENT, "request", exchange->id, "server", server->id,
             "software", server->software, "adapter",
             exchange->adapter ? exchange->adapter->key : "-", "version",
             version_text, "busy/slots/event_ms/latency_ms/failing", numbers,
             "waited/left_ms", times, "resume_after",
             exchange->send.resume_after, "resumes", resumes ? resumes : "-",
             NULL);
}

static bool
_xc_was_sent_to(const xc_exchange *exchange, const fl_server *server)
{
    for (uint32_t i = 0; i < MIN(exchange->send_count, XC_MAX_SENDS); i++) {
        if (exchange->sent_to[i] == server) {
            return true;
        }
    }
    return false;
}

bool
xc_send(xc_exchange *exchange, const fl_choice *choice)
{
    fl_server *server = choice->server;
    us_conn *conn = us_start(
        _xc_get_pool(exchange, server),
        &(us_desc){.calls = &_xc_upstream_callbacks,
                   .user_data = exchange,
                   .id_header =
                       exchange->core->desc.dialect->headers[DL_REQUEST_ID],
                   .id = exchange->id,
                   /* On a connection that carried this request before, the
                      answer to that send may come once more. */
                   .fresh = _xc_was_sent_to(exchange, server),
                   .head_only = _xc_is_head_only(exchange)});
    if (!conn) {
        return false;
    }
    xc_clear_send(exchange, &exchange->send);
    exchange->send.upstream = conn;
    exchange->send.server = server;
    exchange->send.server_started_ms = server->born_ms;
    exchange->send.software_hash = server->software_hash;
    g_strlcpy(exchange->send.server_id, server->id,
              sizeof(exchange->send.server_id));
    exchange->send.sent_us = xc_now_us(exchange);
    /* Reads the clock itself, as the loop's time is that of the start of its
       iteration, which may be long ago. */
    exchange->send.connect_deadline_us =
        lp_query_clock_us() + _XC_CONNECT_TIMEOUT_US;
    exchange->send.copy_version = choice->copy_version;
    exchange->waiting_since_us = 0;
    exchange->wanted_permit = false;
    _xc_format_last_id(exchange, exchange->send.resume_after);
    exchange->state = XC_SENT;
    if (exchange->send_count == 0) {
        bg_count_first_send(
            xc_get_retry_budget(exchange->core, exchange->service->name),
            exchange->send.sent_us);
        hg_observe(HG_WAIT, xc_query_label(exchange),
                   exchange->send.sent_us - exchange->received_us);
    }
    if (exchange->send_count < XC_MAX_SENDS) {
        exchange->sent_to[exchange->send_count] = server;
    }
    exchange->send_count++;
    exchange->possible_runs++;
    ct_add(CT_SENT, 1);
    ct_add(CT_SENT_TO_LIMITED, server->limit.limited);
    if (exchange->logged) {
        _xc_log_sent(exchange, choice->version);
    }
    fl_begin_request(server, exchange->adapter, exchange->send.sent_us);
    exchange->send.is_probe =
        server->notice.probe_sent_us == exchange->send.sent_us;
    if (exchange->adapter) {
        exchange->send.unread_tokens = exchange->prompt_tokens;
        exchange->send.queued_tokens = fl_begin_prefill(
            server, exchange->send.unread_tokens, exchange->send.sent_us);
    }
    _xc_write_request(exchange, choice->version);
    return true;
}
