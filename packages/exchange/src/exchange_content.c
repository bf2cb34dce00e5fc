#include "exchange_private.h"

#include "lacewing/hash.h"
#include <string.h>

/* An answer has only just begun for this long after its first piece. A server
   that a request crashes ends some ms after it has begun to answer. */
#define _XC_JUST_BEGUN_US 250000

uint64_t
xc_get_fingerprint(xc_exchange *exchange)
{
    if (exchange->fingerprint) {
        return exchange->fingerprint;
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
    exchange->fingerprint = MAX(hs_u64_bytes(hashes, sizeof(hashes)), 1);
    return exchange->fingerprint;
}

static cw_progress
_xc_query_progress(const xc_exchange *exchange)
{
    if (exchange->status == 0) {
        return CW_NO_HEAD;
    }
    if (exchange->send_piece_count == 0) {
        return CW_HEAD_ONLY;
    }
    bool just_begun = xc_now_us(exchange) <
                      exchange->send_first_piece_us + _XC_JUST_BEGUN_US;
    return just_begun ? CW_JUST_BEGUN : CW_PROGRESS_DEFAULT;
}

void
xc_report_broken(xc_exchange *exchange)
{
    cw_broken broken = {
        .server = exchange->server,
        .born_ms = exchange->server_started_ms,
        .request = {.fingerprint = xc_get_fingerprint(exchange),
                    .progress = _xc_query_progress(exchange)},
    };
    const xc_desc *desc = &exchange->core->desc;
    desc->callbacks->answer_broken(&broken, desc->user_data);
}
