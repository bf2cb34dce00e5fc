#include "exchange_private.h"

#include <string.h>
#include <strings.h>

/* The scheme of RFC 6750; its case does not matter. */
#define _XC_KEY_HEADER "authorization"
#define _XC_KEY_SCHEME "bearer"

/* Returns the key that the value of an Authorization header names, or NULL. */
static const char *
_xc_read_key(const char *value)
{
    size_t scheme_length = strlen(_XC_KEY_SCHEME);
    if (!value ||
        g_ascii_strncasecmp(value, _XC_KEY_SCHEME, scheme_length) != 0 ||
        value[scheme_length] != ' ') {
        return NULL;
    }
    const char *key = value + scheme_length;
    key += strspn(key, " ");
    return *key ? key : NULL;
}

static uint32_t
_xc_count_headers(const h1_head *head, const char *name)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < head->header_count; i++) {
        count += strcasecmp(head->headers[i].name, name) == 0;
    }
    return count;
}

/* Refuses a request without a valid key. A configuration that may be out of
   date lacks keys that were added since. */
static void
_xc_refuse_key(xc_exchange *exchange, ct_unserved_reason why)
{
    const xc_desc *desc = &exchange->core->desc;
    bool known = desc->callbacks->config_fresh(desc->user_data);
    xc_refuse(exchange, known ? 401 : 503, XC_RETRY_AFTER_MS, why);
}

bool
xc_find_workspace(xc_exchange *exchange)
{
    const wp_table *workspaces = rc_query_workspaces(exchange->table);
    if (!workspaces || exchange->route->is_public) {
        return true;
    }
    uint32_t count = _xc_count_headers(exchange->head, _XC_KEY_HEADER);
    if (count > 1) {
        xc_refuse(exchange, 400, XC_RETRY_AFTER_MS, CT_UNSERVED_AMBIGUOUS_KEY);
        return false;
    }
    const char *key =
        _xc_read_key(h1_query_header(exchange->head, _XC_KEY_HEADER));
    exchange->workspace = key ? wp_query_by_key(workspaces, key) : NULL;
    if (!exchange->workspace) {
        _xc_refuse_key(exchange,
                       key ? CT_UNSERVED_UNKNOWN_KEY : CT_UNSERVED_NO_KEY);
        return false;
    }
    return true;
}

static uint32_t
_xc_query_amount(const xc_exchange *exchange)
{
    if (!exchange->workspace->in_tokens) {
        return 1;
    }
    const char *name = exchange->core->desc.dialect->headers[DL_TOKENS];
    if (!h1_query_header(exchange->head, name)) {
        return exchange->workspace->plain_tokens;
    }
    uint64_t tokens = (uint64_t)exchange->prompt_tokens + exchange->max_tokens;
    return (uint32_t)MIN(tokens, UINT32_MAX);
}

bool
xc_take_quota(xc_exchange *exchange)
{
    xc_core *core = exchange->core;
    if (!exchange->workspace) {
        return true;
    }
    uint32_t amount = _xc_query_amount(exchange);
    qt_verdict verdict =
        qt_admit(core->desc.quotas, exchange->workspace->name, amount,
                 g_rand_double(core->random), exchange->received_us);
    if (!verdict.admitted) {
        xc_refuse(exchange, 429, verdict.retry_ms, CT_UNSERVED_QUOTA);
        return false;
    }
    exchange->quota_amount = amount;
    return true;
}

void
xc_return_quota(xc_exchange *exchange)
{
    if (exchange->quota_amount) {
        qt_refund(exchange->core->desc.quotas, exchange->workspace->name,
                  exchange->quota_amount, xc_now_us(exchange));
        exchange->quota_amount = 0;
    }
}

bool
xc_hides_header(const xc_exchange *exchange, const char *name)
{
    const char *const *names = exchange->core->desc.dialect->headers;
    return rc_query_workspaces(exchange->table) &&
           (strcasecmp(name, _XC_KEY_HEADER) == 0 ||
            strcasecmp(name, names[DL_WORKSPACE]) == 0);
}

uint32_t
xc_query_priority(const xc_exchange *exchange)
{
    const wp_workspace *workspace = exchange->workspace;
    return workspace && workspace->has_priority ? workspace->priority
                                                : exchange->route->priority;
}
