#include "lacewing/counter.h"

#include "lacewing/histogram.h"
#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>

typedef struct _ct_item {
    const char *name;
    const char *kind; /* type of the metric: "counter" or "gauge" */
    const char *help;
} _ct_item;

static const _ct_item _ct_items[CT_ITEM_NUM] = {
#define CT_ITEM(code, name, kind, help) [code] = {name, kind, help},
    CT_ITEMS(CT_ITEM)
#undef CT_ITEM
};

static const struct {
    const char *label;
    const char *text;
} _ct_reasons[CT_UNSERVED_NUM] = {
#define CT_REASON(code, label, text) [code] = {label, text},
    CT_UNSERVED_REASONS(CT_REASON)
#undef CT_REASON
};

static const char *const _ct_outcomes[CT_OUTCOME_NUM] = {
    [CT_OUTCOME_REFUSED] = "refused",
    [CT_OUTCOME_FAILED] = "failed",
    [CT_OUTCOME_BROKEN] = "broken",
};

static _Atomic int64_t _ct_unserved[CT_OUTCOME_NUM][CT_UNSERVED_NUM];
static _Atomic int64_t _ct_values[CT_ITEM_NUM];
static _Atomic int64_t _ct_refusals[ER_NUM];

void
ct_add(ct_item item, int64_t amount)
{
    atomic_fetch_add_explicit(&_ct_values[item], amount, memory_order_relaxed);
}

void
ct_set(ct_item item, int64_t value)
{
    atomic_store_explicit(&_ct_values[item], value, memory_order_relaxed);
}

void
ct_count_refused(er_code reason)
{
    atomic_fetch_add_explicit(&_ct_refusals[reason], 1, memory_order_relaxed);
}

void
ct_count_unserved(ct_outcome outcome, ct_unserved_reason reason)
{
    atomic_fetch_add_explicit(&_ct_unserved[outcome][reason], 1,
                              memory_order_relaxed);
}

int64_t
ct_query_unserved(ct_outcome outcome, ct_unserved_reason reason)
{
    return atomic_load_explicit(&_ct_unserved[outcome][reason],
                                memory_order_relaxed);
}

const char *
ct_query_unserved_text(ct_unserved_reason reason)
{
    return _ct_reasons[reason].text;
}

int64_t
ct_query(ct_item item)
{
    return atomic_load_explicit(&_ct_values[item], memory_order_relaxed);
}

int64_t
ct_query_refused(er_code reason)
{
    return atomic_load_explicit(&_ct_refusals[reason], memory_order_relaxed);
}

char *
ct_query_text(void)
{
    GString *page = g_string_new(NULL);
    for (uint32_t i = 0; i < CT_ITEM_NUM; i++) {
        const _ct_item *item = &_ct_items[i];
        g_string_append_printf(page,
                               "# HELP lacewing_%s %s.\n"
                               "# TYPE lacewing_%s %s\n"
                               "lacewing_%s %" PRId64 "\n",
                               item->name, item->help, item->name, item->kind,
                               item->name, ct_query((ct_item)i));
    }
    g_string_append(page, "# TYPE lacewing_refused_total counter\n");
    for (uint32_t i = 1; i < ER_NUM; i++) {
        int64_t count = ct_query_refused((er_code)i);
        if (count) {
            g_string_append_printf(
                page, "lacewing_refused_total{reason=\"%s\"} %" PRId64 "\n",
                er_query_name((er_code)i), count);
        }
    }
    g_string_append(page, "# TYPE lacewing_unserved_total counter\n");
    for (uint32_t i = 0; i < CT_OUTCOME_NUM * CT_UNSERVED_NUM; i++) {
        ct_outcome outcome = (ct_outcome)(i / CT_UNSERVED_NUM);
        ct_unserved_reason reason = (ct_unserved_reason)(i % CT_UNSERVED_NUM);
        int64_t count = ct_query_unserved(outcome, reason);
        if (count) {
            g_string_append_printf(page,
                                   "lacewing_unserved_total{outcome=\"%s\","
                                   "why=\"%s\"} %" PRId64 "\n",
                                   _ct_outcomes[outcome],
                                   _ct_reasons[reason].label, count);
        }
    }
    hg_append_text(page);
    return g_string_free(page, FALSE);
}

static void
_ct_reference_row(GString *page, const char *name, const char *kind,
                  const char *help)
{
    g_string_append_printf(page, "| `lacewing_%s` | %s | %s |\n", name, kind,
                           help);
}

char *
ct_query_reference(void)
{
    GString *page = g_string_new(
        "| name | kind | what it counts |\n| --- | --- | --- |\n");
    for (uint32_t i = 0; i < CT_ITEM_NUM; i++) {
        _ct_reference_row(page, _ct_items[i].name, _ct_items[i].kind,
                          _ct_items[i].help);
    }
    _ct_reference_row(page, "refused_total{reason}", "counter",
                      "Refusals by the error type that callers get");
    _ct_reference_row(page, "unserved_total{outcome,why}", "counter",
                      "Requests on a platform with its own protocol that "
                      "were not served");
    for (uint32_t i = 0; i < HG_ITEM_NUM; i++) {
        _ct_reference_row(page, hg_query_name((hg_item)i), "histogram",
                          hg_query_help((hg_item)i));
    }
    g_string_append(page, "\n| why | text in the logs |\n| --- | --- |\n");
    for (uint32_t i = 0; i < CT_UNSERVED_NUM; i++) {
        g_string_append_printf(page, "| `%s` | %s |\n", _ct_reasons[i].label,
                               _ct_reasons[i].text);
    }
    return g_string_free(page, FALSE);
}
