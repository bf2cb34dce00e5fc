/* Two sends of one request side by side: a server that falls silent keeps the
   request until another one has begun to answer it, as that one may refuse. */
#include "exchange_private.h"

#include <string.h>

static void
_xc_swap_sends(xc_exchange *exchange)
{
    xc_send_state send = exchange->send;
    exchange->send = exchange->other;
    exchange->other = send;
}

bool
xc_query_has_other(const xc_exchange *exchange)
{
    return exchange->other.upstream != NULL;
}

void
xc_select_send(xc_exchange *exchange, const us_conn *conn)
{
    if (exchange->other.upstream == conn) {
        _xc_swap_sends(exchange);
    }
}

void
xc_select_latest_send(xc_exchange *exchange)
{
    if (xc_query_has_other(exchange) &&
        exchange->other.sent_us > exchange->send.sent_us) {
        _xc_swap_sends(exchange);
    }
}

void
xc_keep_send(xc_exchange *exchange)
{
    g_assert(exchange->send.upstream && !xc_query_has_other(exchange));
    xc_report_if_silent(exchange);
    xc_clear_send(exchange, &exchange->other);
    _xc_swap_sends(exchange);
    exchange->state = XC_NEW;
}

bool
xc_continue_other(xc_exchange *exchange)
{
    g_assert(!exchange->send.upstream);
    if (!xc_query_has_other(exchange)) {
        return false;
    }
    _xc_swap_sends(exchange);
    xc_clear_send(exchange, &exchange->other);
    exchange->state = XC_SENT;
    return true;
}

void
xc_cancel_other(xc_exchange *exchange, const char *why)
{
    if (!xc_query_has_other(exchange)) {
        return;
    }
    /* The earlier one was kept as it was slow. */
    fl_outcome outcome = exchange->other.sent_us < exchange->send.sent_us
                             ? FL_FAILED
                             : FL_OUTCOME_DEFAULT;
    xc_state state = exchange->state;
    _xc_swap_sends(exchange);
    xc_log_send_ended(exchange, why);
    xc_cancel_send(exchange, outcome);
    _xc_swap_sends(exchange);
    xc_clear_send(exchange, &exchange->other);
    exchange->state = state;
}

void
xc_cancel_all_sends(xc_exchange *exchange, fl_outcome outcome)
{
    xc_cancel_other(exchange, "request ended");
    xc_cancel_send(exchange, outcome);
}

/* Returns whether bytes that are added to others at `from` end an event. */
static bool
_xc_ends_event(const GByteArray *bytes, guint from)
{
    for (guint at = MAX(from, 1); at < bytes->len; at++) {
        const guint8 *last = bytes->data + at;
        if (last[0] == '\n' &&
            (last[-1] == '\n' ||
             (at > 1 && last[-1] == '\r' && last[-2] == '\n'))) {
            return true;
        }
    }
    return false;
}

bool
xc_take_piece(xc_exchange *exchange, const char *bytes, size_t count,
              GByteArray **early)
{
    xc_send_state *send = &exchange->send;
    *early = NULL;
    if (!xc_query_has_other(exchange) && !send->early) {
        return true;
    }
    if (send->piece_count == 0 && xc_query_has_events(exchange)) {
        if (!send->early) {
            send->early = g_byte_array_new();
        }
        guint from = send->early->len;
        g_byte_array_append(send->early, (const guint8 *)bytes, (guint)count);
        if (xc_query_has_other(exchange) &&
            !_xc_ends_event(send->early, from) &&
            send->early->len <= SP_MAX_EVENT_BYTES) {
            return false;
        }
        *early = g_steal_pointer(&send->early);
    }
    xc_cancel_other(exchange, "another server answered first");
    return true;
}

void
xc_clear_send(xc_exchange *exchange, xc_send_state *send)
{
    g_assert(!send->upstream);
    if (send->answer_headers) {
        g_string_free(send->answer_headers, TRUE);
    }
    if (send->answer_body) {
        g_clear_pointer(&send->answer_body, g_byte_array_unref);
        xc_count_answer_bodies(exchange);
    }
    g_clear_pointer(&send->early, g_byte_array_unref);
    g_free(send->media_type);
    *send = (xc_send_state){0};
}
