#include "chain_internal.h"

#include <string.h>

/* -- private: changes ----------------------------------------------------- */

void
_cc_change_clear(_cc_change *change)
{
    g_clear_pointer(&change->id, g_free);
    g_clear_pointer(&change->who, g_free);
    g_clear_pointer(&change->text, g_free);
}

/* Fills change from "ID\nWHO\nTEXT"; false when value is malformed. */
static bool
_cc_change_split(const char *value, uint64_t version, _cc_change *change)
{
    g_auto(GStrv) parts = g_strsplit(value, "\n", 3);
    if (g_strv_length(parts) != 3) {
        return false;
    }
    *change = (_cc_change){.version = version,
                           .id = g_strdup(parts[0]),
                           .who = g_strdup(parts[1]),
                           .text = g_strdup(parts[2])};
    return true;
}

bool
_cc_change_parse(const pf_row *row, _cc_change *change)
{
    g_autofree char *value = _co_row_text(row);
    const char *slash = row->key ? strrchr(row->key, '/') : NULL;
    if (!value || !slash) {
        return false;
    }
    uint64_t version = g_ascii_strtoull(slash + 1, NULL, 10);
    return _cc_change_split(value, version, change);
}

const _cc_change *
_cc_find_change(const cc_machine *cc, uint64_t version)
{
    for (const GList *link = cc->recent_changes.head; link;
         link = link->next) {
        const _cc_change *change = link->data;
        if (change->version == version) {
            return change;
        }
    }
    return NULL;
}

/* Takes the change's strings and drops the oldest beyond keep_changes. */
static void
_cc_keep_change(cc_machine *cc, _cc_change *change)
{
    g_queue_push_tail(&cc->recent_changes, g_memdup2(change, sizeof(*change)));
    *change = (_cc_change){0};
    while (cc->recent_changes.length > cc->desc.keep_changes) {
        _cc_change *oldest = g_queue_pop_head(&cc->recent_changes);
        _cc_change_clear(oldest);
        g_free(oldest);
    }
}

bool
_cc_apply_change(cc_machine *cc, _cc_change *change)
{
    bool next = change->version == cc->version + 1;
    if (!next && !cc->desc.unsafe_apply_older) {
        _cc_change_clear(change);
        return false;
    }
    cc->version = change->version;
    cc->newest_known = MAX(cc->newest_known, cc->version);
    cc_action *action = _cc_push_action(cc, CC_ACTION_APPLY);
    action->version = change->version;
    action->text = _co_outbox_copy_text(cc->outbox, change->text);
    action->who = _co_outbox_copy_text(cc->outbox, change->who);
    _cc_keep_change(cc, change);
    return true;
}

/* Replaces the configuration if the version is newer. */
static void
_cc_apply_snapshot(cc_machine *cc, uint64_t version, const char *text)
{
    if (version <= cc->version && !cc->desc.unsafe_apply_older) {
        return;
    }
    cc->version = version;
    cc->newest_known = MAX(cc->newest_known, version);
    cc_action *action = _cc_push_action(cc, CC_ACTION_APPLY_SNAPSHOT);
    action->version = version;
    action->text = _co_outbox_copy_text(cc->outbox, text);
}

/* -- private: polling the table ------------------------------------------- */

static void
_cc_poll(cc_machine *cc, uint64_t now_us)
{
    g_autofree char *after = _cc_version_key(_CC_PREFIX, cc->version);
    _cc_call *open = _cc_call_register(cc, _CC_CALL_SCAN, 0);
    cc->poll_open = true;
    cc->last_poll_us = now_us;
    _cc_push_table_call(
        cc, _co_scan_new(open->number, _CC_PREFIX, after, _CC_SCAN_ROWS));
}

void
_cc_poll_soon(cc_machine *cc, uint64_t now_us)
{
    cc->next_poll_us =
        MIN(cc->next_poll_us,
            MAX(now_us, cc->last_poll_us + _CC_MIN_POLL_INTERVAL_US));
}

void
_cc_scan_result(cc_machine *cc, uint64_t now_us, const co_table_result *result)
{
    cc->poll_open = false;
    if (result->code != ER_OK) {
        cc->next_poll_us = now_us + _co_ms_to_us(cc->desc.retry_ms);
        return;
    }
    for (size_t i = 0; i < result->read->count; i++) {
        _cc_change change = {0};
        if (_cc_change_parse(&result->read->rows[i], &change)) {
            _cc_apply_change(cc, &change);
        }
    }
    bool more = result->read->count == _CC_SCAN_ROWS;
    cc->caught_up = cc->caught_up || !more;
    for (guint i = 0; i < cc->submits->len; i++) {
        ((_cc_submit *)cc->submits->pdata[i])->chain_polled = true;
    }
    cc->next_poll_us =
        more ? now_us
             : now_us + _co_jitter_us(cc->rand, _co_ms_to_us(cc->desc.poll_ms),
                                      cc->desc.poll_jitter_pct);
    if (cc->newest_known > cc->version) {
        _cc_poll_soon(cc, now_us);
    }
}

/* -- private: the snapshot at the start ----------------------------------- */

static void
_cc_read_snapshot_row(cc_machine *cc)
{
    cc->snapshot_row_read = true;
    _cc_call *open = _cc_call_register(cc, _CC_CALL_READ_SNAPSHOT_ROW, 0);
    cc->poll_open = true;
    _cc_push_table_call(cc, _co_read_new(open->number, _CC_SNAPSHOT_KEY));
}

void
_cc_snapshot_row_result(cc_machine *cc, uint64_t now_us,
                        const co_table_result *result)
{
    cc->poll_open = false;
    cc->next_poll_us = now_us;
    if (result->code != ER_OK || result->read->count == 0) {
        cc->snapshot_row_read = false;
        cc->next_poll_us = now_us + _co_ms_to_us(cc->desc.retry_ms);
        return;
    }
    const pf_row *row = &result->read->rows[0];
    cc->snapshot_row_version = row->version;
    g_autofree char *text = _co_row_text(row);
    uint64_t version = text ? g_ascii_strtoull(text, NULL, 10) : 0;
    if (version <= cc->version) {
        return;
    }
    cc->get_version = version;
    cc->get_number = cc->next_number++;
    g_autofree char *key = _cc_version_key("config-", version);
    cc_action *action = _cc_push_action(cc, CC_ACTION_GET_OBJECT);
    action->number = cc->get_number;
    action->key = _co_outbox_copy_text(cc->outbox, key);
}

void
_cc_snapshot_object_result(cc_machine *cc, uint64_t now_us,
                           const cc_event *event)
{
    cc->get_number = 0;
    cc->next_poll_us = now_us;
    /* Without the snapshot the polls read the whole chain. */
    if (event->code == ER_OK && event->text) {
        _cc_apply_snapshot(cc, cc->get_version, event->text);
    }
}

/* -- private: peers ------------------------------------------------------- */

/* Returns the peer with the newest version, NULL when none is newer than the
   own. */
static const char *
_cc_newest_peer(const cc_machine *cc)
{
    GHashTableIter iter;
    void *instance;
    void *version;
    const char *best = NULL;
    uint64_t best_version = cc->version;
    g_hash_table_iter_init(&iter, cc->peers);
    while (g_hash_table_iter_next(&iter, &instance, &version)) {
        if (*(const uint64_t *)version > best_version) {
            best = instance;
            best_version = *(const uint64_t *)version;
        }
    }
    return best;
}

/* Fetches from the newest peer while table calls get no answer. */
static void
_cc_fetch_from_peer(cc_machine *cc, uint64_t now_us)
{
    if (!cc->table_failing || now_us < cc->next_fetch_us) {
        return;
    }
    const char *peer = _cc_newest_peer(cc);
    if (!peer) {
        return;
    }
    cc->next_fetch_us = now_us + _co_ms_to_us(cc->desc.retry_ms);
    cc_action *action = _cc_push_action(cc, CC_ACTION_FETCH_FROM_PEER);
    action->instance = _co_outbox_copy_text(cc->outbox, peer);
    action->version = cc->version + 1;
}

void
_cc_apply_peer_text(cc_machine *cc, uint64_t now_us, const cc_event *event)
{
    if (event->snapshot) {
        _cc_apply_snapshot(cc, event->version, event->text);
    }
    else {
        _cc_change change = {0};
        if (_cc_change_split(event->text, event->version, &change)) {
            _cc_apply_change(cc, &change);
        }
    }
    cc->next_fetch_us =
        MIN(cc->next_fetch_us, now_us + _CC_MIN_POLL_INTERVAL_US);
}

void
_cc_serve_fetch(cc_machine *cc, const cc_event *event)
{
    if (event->version > cc->version) {
        return;
    }
    if (!_cc_find_change(cc, event->version)) {
        g_ptr_array_add(cc->snapshot_requesters, g_strdup(event->instance));
        cc_action *action = _cc_push_action(cc, CC_ACTION_REQUEST_SNAPSHOT);
        action->version = cc->version;
        return;
    }
    for (const GList *link = cc->recent_changes.head; link;
         link = link->next) {
        const _cc_change *change = link->data;
        if (change->version >= event->version) {
            cc_action *action = _cc_push_action(cc, CC_ACTION_SEND_TEXT);
            char *text = g_strdup_printf("%s\n%s\n%s", change->id, change->who,
                                         change->text);
            _co_outbox_take_memory(cc->outbox, text);
            action->instance =
                _co_outbox_copy_text(cc->outbox, event->instance);
            action->version = change->version;
            action->text = text;
        }
    }
}

void
_cc_serve_snapshot(cc_machine *cc, uint64_t version, const char *text)
{
    for (guint i = 0; i < cc->snapshot_requesters->len; i++) {
        cc_action *action = _cc_push_action(cc, CC_ACTION_SEND_TEXT);
        action->instance = _co_outbox_copy_text(
            cc->outbox, cc->snapshot_requesters->pdata[i]);
        action->version = version;
        action->text = _co_outbox_copy_text(cc->outbox, text);
        action->snapshot = true;
    }
    g_ptr_array_set_size(cc->snapshot_requesters, 0);
}

/* -- due work ------------------------------------------------------------- */

/* Turns ready once a version is in force that is not older than any known, and
   the chain was read to its end or, with the table failing, peer_wait_ms have
   passed. */
static void
_cc_update_ready(cc_machine *cc, uint64_t now_us)
{
    bool waited = now_us >= cc->start_us + _co_ms_to_us(cc->desc.peer_wait_ms);
    bool knows_newest = cc->caught_up || (cc->table_failing && waited);
    cc->ready = cc->ready || (knows_newest && cc->version > 0 &&
                              cc->version >= cc->newest_known);
}

void
_cc_sync(cc_machine *cc, uint64_t now_us)
{
    bool due =
        !cc->poll_open && cc->get_number == 0 && now_us >= cc->next_poll_us;
    if (due && !cc->snapshot_row_read) {
        _cc_read_snapshot_row(cc);
    }
    else if (due) {
        _cc_poll(cc, now_us);
    }
    _cc_fetch_from_peer(cc, now_us);
    _cc_update_ready(cc, now_us);
}
