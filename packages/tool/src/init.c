/* Writes the first configuration as the first changes of the chain. */
#include "init.h"

#include "lacewing/admin.h"
#include "lacewing/chain.h"
#include "lacewing/timer.h"
#include <stdio.h>
#include <string.h>

#define ID_DIGITS 16 /* hex digits of the hash in a change's id */
#define TIMEOUT_MS_DEFAULT 15000
#define TICK_MS 20             /* interval of the chain's timer */
#define EDIT_OVERHEAD_BYTES 40 /* per edit, beside its strings */

/* A part of the configuration, written as one change. */
typedef struct tl_part {
    dc_edits *edits;
    char *id;    /* the same when the same configuration is written again */
    char *text;  /* of the edits */
    char *audit; /* audit record */
} tl_part;

typedef struct tl_run_state {
    const tl_init_desc *desc;
    GPtrArray *parts; /* tl_part */
    cc_machine *chain;
    uint32_t next;          /* index of the part to submit next */
    uint32_t pending_calls; /* to the table */
    bool done;
    er_code code;
    er_status *status;
} tl_run_state;

/* A call to the table that has not returned yet. */
typedef struct tl_pending_call {
    tl_run_state *run;
    uint64_t number; /* of the chain's request */
} tl_pending_call;

/* -- private: parts ------------------------------------------------------- */

static void
_tl_part_free(void *data)
{
    tl_part *part = data;
    dc_edits_destroy(part->edits);
    g_free(part->id);
    g_free(part->text);
    g_free(part->audit);
    g_free(part);
}

static size_t
_tl_edit_bytes(const dc_edit *edit)
{
    return strlen(edit->group) + (edit->key ? strlen(edit->key) : 0) +
           (edit->value ? strlen(edit->value) : 0) + EDIT_OVERHEAD_BYTES;
}

/* Splits the edits into parts at group boundaries only, because a change is
   applied by itself and each group is checked as a whole. */
static GPtrArray *
_tl_split_edits(const dc_edits *all)
{
    GPtrArray *parts = g_ptr_array_new_with_free_func(_tl_part_free);
    tl_part *part = NULL;
    const char *group = "";
    size_t bytes = 0;
    for (uint32_t i = 0; i < dc_edits_query_count(all); i++) {
        const dc_edit *edit = dc_edits_query_at(all, i);
        bool full = bytes > TL_INIT_PART_BYTES;
        if (!part || (full && strcmp(group, edit->group) != 0)) {
            part = g_new0(tl_part, 1);
            part->edits = dc_edits_create();
            g_ptr_array_add(parts, part);
            bytes = 0;
        }
        dc_edits_add(part->edits, edit->group, edit->key, edit->value);
        bytes += _tl_edit_bytes(edit);
        group = edit->group;
    }
    return parts;
}

static void
_tl_fill_part(const tl_init_desc *desc, tl_part *part, uint64_t version,
              const dc_config *before, const dc_config *after)
{
    part->text = dc_edits_query_text(part->edits);
    const ad_record record = {.version = version,
                              .when_ms = tm_query_wall_ms(),
                              .id = part->id,
                              .who = desc->who,
                              .team = "",
                              .note = "first configuration",
                              .before = before,
                              .after = after,
                              .edits = part->edits};
    part->audit = ad_record_query_text(&record);
}

static er_code
_tl_fill_parts(const tl_init_desc *desc, GPtrArray *parts, er_status *status)
{
    g_autofree char *text = dc_query_text(desc->config);
    g_autofree char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, text, -1);
    g_autoptr(dc_config) before = NULL;
    for (uint32_t i = 0; i < parts->len; i++) {
        tl_part *part = g_ptr_array_index(parts, i);
        dc_config *after = NULL;
        er_code code = dc_apply_edits(before, part->edits, &after, status);
        if (code != ER_OK) {
            return code;
        }
        part->id = g_strdup_printf("init-%.*s-%u", ID_DIGITS, hash, i + 1);
        _tl_fill_part(desc, part, i + 1, before, after);
        g_clear_pointer(&before, dc_unref);
        before = after;
    }
    return ER_OK;
}

/* -- private: driving the chain ------------------------------------------- */

static void _tl_execute_actions(tl_run_state *run);

static void
_tl_feed_result(tl_pending_call *pending, co_table_result *result)
{
    tl_run_state *run = pending->run;
    result->number = pending->number;
    g_free(pending);
    run->pending_calls--;
    cc_feed(run->chain, (uint64_t)g_get_monotonic_time(),
            &(cc_event){.type = CC_EVENT_TABLE, .table = result});
    _tl_execute_actions(run);
}

static void
_tl_on_commit(const pf_commit_result *commit, void *data)
{
    _tl_feed_result(
        data, &(co_table_result){.code = commit->code, .commit = commit});
}

static void
_tl_on_read(const pf_read_result *read, void *data)
{
    _tl_feed_result(data,
                    &(co_table_result){.code = read->code, .read = read});
}

static void
_tl_call_table(tl_run_state *run, const co_table_call *call)
{
    pf_table *table = run->desc->table;
    tl_pending_call *pending = g_new0(tl_pending_call, 1);
    pending->run = run;
    pending->number = call->number;
    run->pending_calls++;
    switch (call->kind) {
    case CO_TABLE_READ:
        pf_table_read(table, call->key, _tl_on_read, pending);
        return;
    case CO_TABLE_SCAN:
        pf_table_scan(table, call->key, call->after, call->limit, _tl_on_read,
                      pending);
        return;
    default:
        pf_table_commit(table, call->ops, call->op_count, _tl_on_commit,
                        pending);
    }
}

static void
_tl_submit_next(tl_run_state *run)
{
    if (run->next == run->parts->len) {
        run->done = true;
        return;
    }
    const tl_part *part = g_ptr_array_index(run->parts, run->next);
    if (run->desc->progress) {
        fprintf(stderr, "writing part %u of %u\n", run->next + 1,
                run->parts->len);
    }
    cc_submit(run->chain, (uint64_t)g_get_monotonic_time(),
              &(cc_submit_desc){.expect = run->next,
                                .id = part->id,
                                .who = run->desc->who,
                                .text = part->text,
                                .audit = part->audit});
    run->next++;
}

static void
_tl_on_submit_result(tl_run_state *run, const cc_action *action)
{
    if (action->code == ER_OK) {
        _tl_submit_next(run);
        return;
    }
    run->done = true;
    run->code = action->code;
    if (action->code == ER_CONFLICT) {
        er_set(run->status, ER_CONFLICT,
               "the table holds another configuration, started by %s",
               action->who ? action->who : "another author");
    }
    else {
        er_set(run->status, action->code,
               "the table does not respond; run it again with the same file");
    }
}

static void
_tl_execute_action(tl_run_state *run, const cc_action *action)
{
    switch (action->type) {
    case CC_ACTION_TABLE:
        _tl_call_table(run, &action->table);
        return;
    case CC_ACTION_SUBMIT_RESULT:
        _tl_on_submit_result(run, action);
        return;
    case CC_ACTION_PUT_OBJECT:
    case CC_ACTION_GET_OBJECT:
        /* Snapshots are left to the daemons. */
        cc_feed(run->chain, (uint64_t)g_get_monotonic_time(),
                &(cc_event){.type = CC_EVENT_OBJECT,
                            .number = action->number,
                            .code = ER_NOT_FOUND});
        return;
    default:
        return;
    }
}

static void
_tl_execute_actions(tl_run_state *run)
{
    cc_action action;
    while (!run->done && cc_next_action(run->chain, &action)) {
        _tl_execute_action(run, &action);
    }
}

static gboolean
_tl_on_tick(void *data)
{
    tl_run_state *run = data;
    cc_feed(run->chain, (uint64_t)g_get_monotonic_time(),
            &(cc_event){.type = CC_EVENT_TICK});
    _tl_execute_actions(run);
    return G_SOURCE_CONTINUE;
}

/* -- public --------------------------------------------------------------- */

er_code
tl_init(const tl_init_desc *desc, uint64_t *version, er_status *status)
{
    g_autoptr(dc_edits) all = dc_diff(NULL, desc->config);
    g_autoptr(GPtrArray) parts = _tl_split_edits(all);
    er_code code = _tl_fill_parts(desc, parts, status);
    if (code != ER_OK) {
        return code;
    }
    const cc_desc chain = {.instance = "init",
                           .submit_timeout_ms = desc->timeout_ms
                                                    ? desc->timeout_ms
                                                    : TIMEOUT_MS_DEFAULT};
    tl_run_state run = {.desc = desc,
                        .parts = parts,
                        .chain = cc_create(&chain),
                        .status = status};
    _tl_submit_next(&run);
    guint tick = g_timeout_add(TICK_MS, _tl_on_tick, &run);
    _tl_execute_actions(&run);
    while (!run.done) {
        g_main_context_iteration(NULL, TRUE);
    }
    g_source_remove(tick);
    while (run.pending_calls > 0) {
        g_main_context_iteration(NULL, TRUE);
    }
    cc_destroy(run.chain);
    *version = parts->len;
    return run.code;
}
