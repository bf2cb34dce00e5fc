#include "exchange_private.h"

#include "lacewing/hash.h"
#include <string.h>

/* An answer has only just begun for this long after its first piece. A server
   that a request crashes ends some ms after it has begun to answer. */
#define _XC_JUST_BEGUN_US 250000
/* A send that is given up after so long without a piece of its answer may be
   at a server that has fallen silent. */
#define _XC_SILENT_US 1000000
/* Most time, at random, that is added to the time after which a caller whose
   content was blocked may come again. */
#define _XC_PROBE_SPREAD_MS 1000

/* -- the content ---------------------------------------------------------- */

uint64_t
xc_get_fingerprint(xc_exchange *exchange)
{
    if (exchange->content.fingerprint) {
        return exchange->content.fingerprint;
    }
    static const dl_header content_headers[] = {DL_MODEL, DL_TOKENS,
                                                DL_PROMPT_PARTS};
    const h1_head *head = exchange->head;
    const char *host = h1_query_header(head, "host");
    g_autoptr(GString) text = g_string_sized_new(256);
    g_string_printf(text, "%s %s %s\n", head->method, host ? host : "",
                    head->target);
    for (size_t i = 0; i < G_N_ELEMENTS(content_headers); i++) {
        const char *value = h1_query_header(
            head, exchange->core->desc.dialect->headers[content_headers[i]]);
        g_string_append(text, value ? value : "");
        g_string_append_c(text, '\n');
    }
    uint64_t hashes[] = {hs_u64(text->str),
                         hs_u64_bytes(exchange->body, exchange->body_count)};
    exchange->content.fingerprint =
        MAX(hs_u64_bytes(hashes, sizeof(hashes)), 1);
    return exchange->content.fingerprint;
}

static void
_xc_read_parts(xc_exchange *exchange)
{
    if (exchange->parts_read) {
        return;
    }
    exchange->parts_read = true;
    const dl_dialect *dialect = exchange->core->desc.dialect;
    exchange->content.part_count = dialect->read_prompt_parts(
        h1_query_header(exchange->head, dialect->headers[DL_PROMPT_PARTS]),
        exchange->content.parts, SU_MAX_PARTS);
}

const su_content *
xc_get_content(xc_exchange *exchange)
{
    xc_get_fingerprint(exchange);
    _xc_read_parts(exchange);
    return &exchange->content;
}

/* -- blocked contents --------------------------------------------------- */

/* Allows a request to probe its blocked content if one is due. */
static bool
_xc_begin_probe(xc_exchange *exchange)
{
    const xc_desc *desc = &exchange->core->desc;
    if (!desc->callbacks->may_probe(desc->user_data)) {
        return false;
    }
    su_note_probe(desc->suspects, xc_get_content(exchange),
                  xc_now_us(exchange));
    exchange->probes_content = true;
    exchange->logged = true;
    xc_log_outcome(LG_CONTENT_PROBED, exchange,
                   ct_query_unserved_text(CT_UNSERVED_CRASHES_SERVERS));
    return true;
}

bool
xc_end_if_blocked(xc_exchange *exchange)
{
    su_suspects *suspects = exchange->core->desc.suspects;
    su_verdict verdict;
    if (exchange->probes_content || su_query_blocked_count(suspects) == 0) {
        return false;
    }
    su_status status = su_check(suspects, xc_get_content(exchange),
                                xc_now_us(exchange), &verdict);
    if (status == SU_FREE ||
        (status == SU_PROBE && _xc_begin_probe(exchange))) {
        return false;
    }
    uint32_t spread_ms = (uint32_t)g_rand_int_range(exchange->core->random, 0,
                                                    _XC_PROBE_SPREAD_MS);
    xc_cancel_all_sends(exchange, FL_OUTCOME_DEFAULT);
    xc_refuse_or_fail(exchange, verdict.retry_ms + spread_ms,
                      CT_UNSERVED_CRASHES_SERVERS);
    return true;
}

void
xc_end_blocked(xc_core *core)
{
    GList *next;
    for (GList *at = core->active.head; at; at = next) {
        next = at->next;
        xc_exchange *exchange = at->data;
        if (exchange->state == XC_SENT && exchange->send.status == 0 &&
            exchange->other.status == 0 && !exchange->answer_begun) {
            xc_end_if_blocked(exchange);
        }
    }
}

/* -- reports to the suspects ---------------------------------------------- */

bool
xc_query_under_way(const xc_exchange *exchange)
{
    return exchange->send.piece_count > 0 &&
           xc_now_us(exchange) >=
               exchange->send.first_piece_us + _XC_JUST_BEGUN_US;
}

void
xc_note_good(xc_exchange *exchange)
{
    su_suspects *suspects = exchange->core->desc.suspects;
    if (exchange->send.good_noted) {
        return;
    }
    exchange->send.good_noted = true;
    _xc_read_parts(exchange);
    if (su_query_active(suspects)) {
        xc_get_fingerprint(exchange);
    }
    su_note_good(suspects, &exchange->content,
                 exchange->send.piece_count ? exchange->send.first_piece_us
                                            : exchange->send.sent_us);
}

static cw_progress
_xc_query_progress(const xc_exchange *exchange)
{
    if (exchange->send.status == 0) {
        return CW_NO_HEAD;
    }
    if (exchange->send.piece_count == 0) {
        return CW_HEAD_ONLY;
    }
    return xc_query_under_way(exchange) ? CW_PROGRESS_DEFAULT : CW_JUST_BEGUN;
}

static void
_xc_report(xc_exchange *exchange, bool gave_up)
{
    cw_broken broken = {
        .server = exchange->send.server,
        .born_ms = exchange->send.server_started_ms,
        .gave_up = gave_up,
        .request = {.content = *xc_get_content(exchange),
                    .progress = _xc_query_progress(exchange)},
    };
    const xc_desc *desc = &exchange->core->desc;
    desc->callbacks->answer_broken(&broken, desc->user_data);
}

void
xc_report_broken(xc_exchange *exchange)
{
    _xc_report(exchange, false);
}

void
xc_report_if_silent(xc_exchange *exchange)
{
    uint64_t heard_us = exchange->send.piece_count ? exchange->last_piece_us
                                                   : exchange->send.sent_us;
    if (xc_now_us(exchange) >= heard_us + _XC_SILENT_US &&
        !exchange->send.silence_reported) {
        exchange->send.silence_reported = true;
        _xc_report(exchange, true);
    }
}
