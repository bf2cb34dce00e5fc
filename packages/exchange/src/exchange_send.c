#include "exchange_private.h"

#include "hear.h"
#include <string.h>
#include <strings.h>

/* Connecting within a zone or across takes some ms. */
#define _XC_CONNECT_US 300000
/* Part of a server's connections that one instance leaves to those it cannot
   see. */
#define _XC_POOL_SHARE 0.85
#define _XC_POOL_LEAST 3
/* A caller that takes nothing holds up its own stream only. */
#define _XC_UNSENT_BYTES (256 * 1024)
/* Largest plain answer that is gathered. */
#define _XC_GATHER_BYTES (8 * 1024 * 1024)

static void _xc_go_on(xc_exchange *exchange, us_end end);

/* -- private: the answer comes -------------------------------------------- */

static bool
_xc_is_stream(const xc_exchange *exchange)
{
    return exchange->route->kind == RC_STREAM && exchange->status == 200;
}

static bool
_xc_own_header(const xc_exchange *exchange, const char *name)
{
    const char *const *names = exchange->core->desc.dialect->headers;
    return strcasecmp(name, "content-length") == 0 ||
           strcasecmp(name, names[DL_SERVER_LOAD]) == 0;
}

static void
_xc_keep_headers(xc_exchange *exchange, const h1_head *head)
{
    if (!exchange->answer_headers) {
        exchange->answer_headers = g_string_sized_new(256);
    }
    GString *text = exchange->answer_headers;
    g_string_truncate(text, 0);
    for (uint32_t i = 0; i < head->header_count; i++) {
        const h1_header *header = &head->headers[i];
        if (!h1_query_hop_by_hop(head, header->name) &&
            !_xc_own_header(exchange, header->name)) {
            g_string_append(text, header->name);
            g_string_append(text, ": ");
            g_string_append(text, header->value);
            g_string_append(text, "\r\n");
        }
    }
}

static void
_xc_hear(xc_exchange *exchange, const h1_head *head)
{
    const xc_desc *desc = &exchange->core->desc;
    fl_server_notice heard;
    if (hr_read_notice(&(hr_desc){.dialect = desc->dialect,
                                  .fleet = desc->fleet,
                                  .server = exchange->server->id,
                                  .born_ms = exchange->born_ms,
                                  .now_us = xc_now_us(exchange)},
                       head, &heard)) {
        exchange->asked_pause = heard.notice.pause_ms != 0;
        desc->calls->heard(&heard, desc->user_data);
    }
}

static void
_xc_on_head(us_line *line, const h1_head *head, void *user_data)
{
    (void)line;
    xc_exchange *exchange = user_data;
    const dl_dialect *dialect = exchange->core->desc.dialect;
    _xc_hear(exchange, head);
    dl_load load;
    if (dialect->read_load(
            h1_query_header(head, dialect->headers[DL_SERVER_LOAD]), &load)) {
        fl_set_reported_load(exchange->server, &load, xc_now_us(exchange));
    }
    exchange->refused = dialect->read_refusal(
        head->status,
        h1_query_header(head, dialect->headers[DL_NOT_EXECUTED]));
    exchange->status = head->status;
    bool sealed =
        h1_query_header(head, dialect->headers[DL_SIGNATURE]) != NULL;
    bool named =
        h1_query_header(head, dialect->headers[DL_REQUEST_ID]) != NULL;
    exchange->spoilt =
        !exchange->refused &&
        (!sealed || !named || h1_query_header(head, "content-encoding"));
    if (exchange->begun) {
        /* The caller has the first server's head already. */
        exchange->spoilt = exchange->spoilt || head->status != 200;
        return;
    }
    if (exchange->refused || exchange->spoilt) {
        return;
    }
    _xc_keep_headers(exchange, head);
    if (_xc_is_stream(exchange)) {
        xc_begin_answer(exchange);
    }
}

static void
_xc_on_body(us_line *line, const char *bytes, size_t count, void *user_data)
{
    xc_exchange *exchange = user_data;
    if (exchange->refused || exchange->spoilt) {
        return;
    }
    if (exchange->begun) {
        xc_pass_events(exchange, bytes, count);
        if (cr_query_unsent(exchange->caller) > _XC_UNSENT_BYTES) {
            us_pause(line, true);
        }
        return;
    }
    if (!exchange->answer) {
        exchange->answer = g_byte_array_new();
    }
    if (exchange->answer->len + count > _XC_GATHER_BYTES) {
        exchange->spoilt = true;
        exchange->overrun = true;
        return;
    }
    g_byte_array_append(exchange->answer, (const guint8 *)bytes, (guint)count);
}

/* -- private: the send has ended ------------------------------------------ */

void
xc_end_read(xc_exchange *exchange, double first_ms)
{
    if (exchange->unread) {
        fl_end_prefill(exchange->server, exchange->unread, exchange->ahead,
                       first_ms);
        exchange->unread = 0;
    }
}

static void
_xc_forget_send(xc_exchange *exchange, fl_outcome outcome)
{
    uint64_t now_us = xc_now_us(exchange);
    fl_result result = {.outcome = outcome, .now_us = now_us};
    /* The time of one that tries a server says little of those that follow. */
    bool measured = outcome == FL_SUCCEEDED && !exchange->tries;
    if (measured && exchange->pieces > 4) {
        result.event_ms = (double)(exchange->last_us - exchange->first_us) /
                          1000.0 / (exchange->pieces - 1);
    }
    else if (measured && !exchange->adapter) {
        result.latency_ms = (double)(now_us - exchange->sent_us) / 1000.0;
    }
    xc_end_read(exchange, 0);
    fl_end_request(exchange->server, exchange->adapter, &result);
    if (exchange->tried_count < FL_MAX_TRIED) {
        exchange->tried[exchange->tried_count++] = exchange->server;
    }
    exchange->line = NULL;
    exchange->server = NULL;
}

void
xc_cancel_send(xc_exchange *exchange, fl_outcome outcome)
{
    if (!exchange->line) {
        return;
    }
    bool sent = us_query_sent(exchange->line);
    exchange->may_have_run = exchange->may_have_run || sent;
    us_cancel(exchange->line);
    _xc_forget_send(exchange, outcome);
    exchange->state = XC_NEW;
    if (!sent && exchange->ran_at > 0) {
        exchange->ran_at--;
    }
}

static fl_outcome
_xc_outcome(const xc_exchange *exchange, us_end end)
{
    if (end == US_NOT_SENT) {
        return FL_UNREACHABLE;
    }
    if (end == US_BROKEN || exchange->spoilt) {
        return FL_FAILED;
    }
    if (exchange->refused || exchange->asked_pause) {
        return FL_REFUSED;
    }
    return exchange->status >= 500 ? FL_FAILED : FL_SUCCEEDED;
}

static void
_xc_on_end(us_line *line, us_end end, void *user_data)
{
    (void)line;
    xc_exchange *exchange = user_data;
    if (exchange->refused && exchange->status == 421 && exchange->adapter) {
        /* The server does not hold it, or is another one. */
        exchange->core->desc.calls->mismatch(exchange->server,
                                             exchange->adapter,
                                             exchange->core->desc.user_data);
    }
    if (exchange->refused || end == US_NOT_SENT) {
        exchange->ran_at--;
    }
    else {
        exchange->may_have_run = true;
    }
    g_autofree char *server = g_strdup(exchange->server->id);
    _xc_forget_send(exchange, _xc_outcome(exchange, end));
    bool good = end == US_COMPLETE && !exchange->refused && !exchange->spoilt;
    bool again_better =
        good && exchange->may_repeat && exchange->status >= 500;
    exchange->state = XC_NEW;
    if (good && !again_better) {
        xc_answer(exchange);
        return;
    }
    exchange->told = true; /* what comes of it is logged whole */
    lg_write(LG_SEND_ENDED, "request", exchange->id, "server", server, "why",
             end == US_NOT_SENT  ? "not connected"
             : exchange->refused ? "not run there"
             : exchange->spoilt  ? "spoilt answer"
             : end == US_BROKEN  ? "answer broken off"
                                 : "server's error",
             NULL);
    _xc_go_on(exchange, end);
}

/* A send without a good answer: again elsewhere, or the end. */
static void
_xc_go_on(xc_exchange *exchange, us_end end)
{
    xc_core *core = exchange->core;
    uint64_t now_us = xc_now_us(exchange);
    bool arrived = end != US_NOT_SENT;
    bool not_run = !arrived || exchange->refused;
    bool resumes = exchange->route->resumable;
    bool allowed = not_run || exchange->may_repeat || resumes;
    bool servers_left = exchange->ran_at < exchange->route->max_servers;
    if (allowed && servers_left && exchange->sends < XC_SENDS &&
        now_us < exchange->end_us &&
        (!arrived ||
         bg_take_resend(xc_budget(core, exchange->service->name), now_us,
                        core->desc.calls->live(core->desc.user_data)))) {
        exchange->resumed = exchange->begun;
        ct_add(CT_SENT_AGAIN, 1);
        xc_dispatch(exchange);
        return;
    }
    bool has_answer = end == US_COMPLETE && !exchange->refused &&
                      !exchange->spoilt && !exchange->begun;
    if (has_answer) {
        xc_answer(exchange);
    }
    else {
        xc_give_up(exchange, exchange->may_have_run ? CT_END_SERVER_FAILED
                                                    : CT_END_NOT_RUN);
    }
}

void
xc_end_overrun(xc_exchange *exchange)
{
    exchange->told = true;
    lg_write(LG_SEND_ENDED, "request", exchange->id, "server",
             exchange->server->id, "why", "answer without end", NULL);
    xc_cancel_send(exchange, FL_FAILED);
    _xc_go_on(exchange, US_BROKEN);
}

static const us_calls _xc_line_calls = {
    .head = _xc_on_head, .body = _xc_on_body, .end = _xc_on_end};

/* -- private: the request goes out ---------------------------------------- */

/* Headers that only the system may set, and those that are written anew. */
static bool
_xc_replaced(const xc_exchange *exchange, const char *name)
{
    static const dl_header own[] = {
        DL_DEADLINE,     DL_EXPECT_SERVER, DL_PRIORITY,  DL_EXPECT_VERSION,
        DL_PIN,          DL_RESERVED_SLOT, DL_KV_BACKUP, DL_KV_RESUME_FROM,
        DL_KV_FETCH_FROM};
    const char *const *names = exchange->core->desc.dialect->headers;
    for (size_t i = 0; i < G_N_ELEMENTS(own); i++) {
        if (strcasecmp(name, names[own[i]]) == 0) {
            return true;
        }
    }
    if (exchange->resumed && strcasecmp(name, names[DL_LAST_EVENT]) == 0) {
        return true;
    }
    return strcasecmp(name, "content-length") == 0 ||
           strcasecmp(name, "expect") == 0;
}

static void
_xc_append_number(GString *text, const char *name, uint64_t value)
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
            !_xc_replaced(exchange, header->name)) {
            g_string_append(text, header->name);
            g_string_append(text, ": ");
            g_string_append(text, header->value);
            g_string_append(text, "\r\n");
        }
    }
    uint64_t now_us = xc_now_us(exchange);
    uint64_t left_us =
        exchange->end_us > now_us ? exchange->end_us - now_us : 0;
    _xc_append_number(text, names[DL_DEADLINE], MAX(left_us / 1000, 1));
    g_string_append_printf(text, "%s: %s\r\n", names[DL_EXPECT_SERVER],
                           exchange->server->id);
    if (exchange->adapter) {
        _xc_append_number(text, names[DL_PRIORITY],
                          MIN(exchange->route->priority * 2 + 1, 9));
    }
    if (version) {
        _xc_append_number(text, names[DL_EXPECT_VERSION], version);
    }
    if (exchange->resumed && exchange->last_event) {
        g_string_append_printf(text, "%s: %s\r\n", names[DL_LAST_EVENT],
                               exchange->last_event);
    }
    if (exchange->body_count || head->chunked ||
        head->length != H1_LENGTH_NONE) {
        _xc_append_number(text, "Content-Length", exchange->body_count);
    }
    g_string_append(text, "\r\n");
    us_write(exchange->line, text->str, text->len);
    us_write(exchange->line, exchange->body, exchange->body_count);
}

static us_pool *
_xc_pool(xc_exchange *exchange, fl_server *server)
{
    xc_core *core = exchange->core;
    if (!server->pool) {
        server->pool = us_create(&(us_pool_desc){.hub = core->desc.hub,
                                                 .loop = core->desc.loop,
                                                 .address = server->address});
    }
    uint32_t live = core->desc.calls->live(core->desc.user_data);
    uint32_t capacity = (uint32_t)(exchange->service->max_connections *
                                   _XC_POOL_SHARE / MAX(live, 1));
    us_set_capacity(server->pool, MAX(capacity, _XC_POOL_LEAST));
    return server->pool;
}

/* Which server and what spoke for it. */
static void
_xc_log_sent(const xc_exchange *exchange, uint64_t version)
{
    const fl_server *server = exchange->server;
    char numbers[64];
    g_snprintf(numbers, sizeof(numbers), "%u/%u/%.0f/%.0f/%.2f",
               fl_query_in_flight(server, exchange->sent_us), server->slots,
               server->event_ms, server->latency_ms, server->failure_rate);
    char times[64];
    g_snprintf(times, sizeof(times), "%u/%u",
               (uint32_t)((exchange->sent_us - exchange->begun_us) / 1000),
               (uint32_t)((exchange->end_us - exchange->sent_us) / 1000));
    char held[24];
    g_snprintf(held, sizeof(held), "%" G_GUINT64_FORMAT, version);
    lg_write(LG_SENT, "request", exchange->id, "server", server->id, "adapter",
             exchange->adapter ? exchange->adapter->key : "-", "version", held,
             "busy/slots/event_ms/latency_ms/failing", numbers,
             "waited/left_ms", times, NULL);
}

bool
xc_send(xc_exchange *exchange, fl_server *server, uint64_t version)
{
    us_line *line = us_start(
        _xc_pool(exchange, server),
        &(us_desc){.calls = &_xc_line_calls,
                   .user_data = exchange,
                   .id_header =
                       exchange->core->desc.dialect->headers[DL_REQUEST_ID],
                   .id = exchange->id,
                   .head_only = strcmp(exchange->head->method, "HEAD") == 0});
    if (!line) {
        return false;
    }
    exchange->line = line;
    exchange->server = server;
    exchange->born_ms = server->born_ms;
    exchange->asked_pause = false;
    g_strlcpy(exchange->answered_by, server->id,
              sizeof(exchange->answered_by));
    exchange->sent_us = xc_now_us(exchange);
    /* The turn may have begun long before. */
    exchange->connect_until_us = lp_query_clock_us() + _XC_CONNECT_US;
    exchange->version = version;
    exchange->waits_since_us = 0;
    exchange->refused = false;
    exchange->spoilt = false;
    exchange->overrun = false;
    if (exchange->answer) {
        g_byte_array_set_size(exchange->answer, 0);
    }
    if (exchange->event) {
        g_byte_array_set_size(exchange->event, 0);
    }
    exchange->state = XC_SENT;
    if (exchange->sends == 0) {
        bg_count_first_send(xc_budget(exchange->core, exchange->service->name),
                            exchange->sent_us);
        hg_observe(HG_WAIT, xc_query_label(exchange),
                   exchange->sent_us - exchange->begun_us);
    }
    exchange->sends++;
    exchange->ran_at++;
    ct_add(CT_SENT, 1);
    if (exchange->told) {
        _xc_log_sent(exchange, version);
    }
    fl_begin_request(server, exchange->adapter, exchange->sent_us);
    exchange->tries = server->notice.probe_sent_us == exchange->sent_us;
    if (exchange->adapter) {
        exchange->unread = exchange->prompt_tokens;
        exchange->ahead =
            fl_begin_prefill(server, exchange->unread, exchange->sent_us);
    }
    _xc_write_request(exchange, version);
    return true;
}
