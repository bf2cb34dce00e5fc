#include "lacewing/counter.h"

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>

typedef struct _ct_meta {
    const char *name;
    const char *kind;
    const char *help;
} _ct_meta;

static const _ct_meta _ct_metas[CT_ITEM_NUM] = {
#define CT_META(code, name, kind, help) [code] = {name, kind, help},
    CT_ITEMS(CT_META)
#undef CT_META
};

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
ct_refused(er_code reason)
{
    atomic_fetch_add_explicit(&_ct_refusals[reason], 1, memory_order_relaxed);
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
        const _ct_meta *meta = &_ct_metas[i];
        g_string_append_printf(page,
                               "# HELP lacewing_%s %s.\n"
                               "# TYPE lacewing_%s %s\n"
                               "lacewing_%s %" PRId64 "\n",
                               meta->name, meta->help, meta->name, meta->kind,
                               meta->name, ct_query((ct_item)i));
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
    return g_string_free(page, FALSE);
}
