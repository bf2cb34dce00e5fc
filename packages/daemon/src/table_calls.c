#include "table_calls.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <glib.h>

struct tb_table {
    uint32_t references; /* the owner's and one for each call in flight */
    pf_table *table;
    bool closed; /* tb_destroy() was called */
    bool down;   /* see tb_query_down() */
};

typedef struct _tb_pending_call {
    tb_table *table;
    uint64_t number;
    tb_result_call on_result;
    void *user_data;
} _tb_pending_call;

static void
_tb_unref(tb_table *table)
{
    table->references--;
    if (table->references == 0) {
        g_free(table);
    }
}

tb_table *
tb_create(pf_table *pf)
{
    tb_table *table = g_new0(tb_table, 1);
    table->references = 1;
    table->table = pf;
    return table;
}

void
tb_destroy(tb_table *table)
{
    if (table) {
        table->closed = true;
        _tb_unref(table);
    }
}

static void
_tb_track_availability(tb_table *table, er_code code)
{
    bool down = code != ER_OK && code != ER_CONFLICT;
    if (down) {
        ct_add(CT_TABLE_FAILURES, 1);
    }
    if (down != table->down) {
        table->down = down;
        lg_write(down ? LG_PLATFORM_DOWN : LG_PLATFORM_UP, "why",
                 er_query_name(code), NULL);
    }
}

static void
_tb_finish(_tb_pending_call *pending, co_table_result *result)
{
    tb_table *table = pending->table;
    _tb_track_availability(table, result->code);
    result->number = pending->number;
    if (!table->closed) {
        pending->on_result(result, pending->user_data);
    }
    _tb_unref(table);
    g_free(pending);
}

static void
_tb_on_commit(const pf_commit_result *commit, void *data)
{
    _tb_finish(data,
               &(co_table_result){.code = commit->code, .commit = commit});
}

static void
_tb_on_read(const pf_read_result *read, void *data)
{
    _tb_finish(data, &(co_table_result){.code = read->code, .read = read});
}

void
tb_call(tb_table *table, const co_table_call *call, tb_result_call on_result,
        void *user_data)
{
    _tb_pending_call *pending = g_new0(_tb_pending_call, 1);
    pending->table = table;
    pending->number = call->number;
    pending->on_result = on_result;
    pending->user_data = user_data;
    table->references++;
    if (call->kind == CO_TABLE_READ) {
        ct_add(CT_TABLE_READS, 1);
        pf_table_read(table->table, call->key, _tb_on_read, pending);
    }
    else if (call->kind == CO_TABLE_SCAN) {
        ct_add(CT_TABLE_READS, 1);
        pf_table_scan(table->table, call->key, call->after, call->limit,
                      _tb_on_read, pending);
    }
    else {
        ct_add(CT_TABLE_WRITES, 1);
        pf_table_commit(table->table, call->ops, call->op_count, _tb_on_commit,
                        pending);
    }
}

bool
tb_query_down(const tb_table *table)
{
    return table->down;
}
