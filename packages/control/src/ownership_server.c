#include "ownership_internal.h"

#include <stdio.h>
#include <string.h>

static const char *const _ow_acquisition_names[_OW_ACQUIRED_NUM] = {
    [_OW_ACQUIRED_FIRST] = "first",
    [_OW_ACQUIRED_TAKEN] = "taken",
    [_OW_ACQUIRED_HANDOVER] = "planned",
    [_OW_ACQUIRED_HANDOVER_UNDRAINED] = "unsettled",
};

/* -- private: owner rows -------------------------------------------------- */

void
_ow_row_clear(_ow_row *row)
{
    g_free(row->instance);
    g_free(row->zone);
    g_free(row->from);
    *row = (_ow_row){0};
}

static bool
_ow_row_parse(const char *text, _ow_row *row)
{
    /* A row has 7 words; splitting at most into 8 shows a surplus one. */
    g_auto(GStrv) words = g_strsplit(text, " ", 8);
    if (g_strv_length(words) != 7) {
        return false;
    }
    row->instance = g_strdup(words[0]);
    row->zone = g_strdup(words[1]);
    row->incarnation = g_ascii_strtoull(words[2], NULL, 10);
    row->fence = g_ascii_strtoull(words[3], NULL, 10);
    row->from = g_strdup(words[4]);
    row->from_fence = g_ascii_strtoull(words[5], NULL, 10);
    for (uint32_t i = 0; i < _OW_ACQUIRED_NUM; i++) {
        if (g_str_equal(words[6], _ow_acquisition_names[i])) {
            row->acquisition = (_ow_acquisition)i;
        }
    }
    return true;
}

static char *
_ow_row_format(const _ow_row *row)
{
    return g_strdup_printf("%s %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
                           " %s %" G_GUINT64_FORMAT " %s",
                           row->instance, row->zone, row->incarnation,
                           row->fence, row->from, row->from_fence,
                           _ow_acquisition_names[row->acquisition]);
}

static char *
_ow_owner_key(const _ow_server *server)
{
    return g_strdup_printf("owner/%s/%s", server->zone, server->name);
}

static bool
_ow_row_is_ours(const ow_machine *ow, const _ow_server *server)
{
    return server->row.version != 0 &&
           server->row.incarnation == ow->incarnation &&
           g_str_equal(server->row.instance, ow->instance);
}

/* -- private: acquiring and losing ---------------------------------------- */

void
_ow_set_evict_after(ow_machine *ow, _ow_server *server,
                    uint64_t evict_after_us)
{
    if (server->evict_after_us == evict_after_us) {
        return;
    }
    server->evict_after_us = evict_after_us;
    ow_action *action = _ow_push_action(ow, OW_ACTION_EVICT_AFTER, server);
    action->fence = server->fence;
    action->evict_after_us = evict_after_us;
}

static void
_ow_acquire(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    bool evictions_allowed = server->row.acquisition == _OW_ACQUIRED_FIRST ||
                             ow->desc.unsafe_skip_evict_wait;
    server->state = _OW_SERVER_OWNED;
    server->fence = server->row.fence;
    server->evict_after_us =
        evictions_allowed ? now_us
                          : now_us + _co_ms_to_us(ow->desc.order_lifetime_ms);
    g_clear_pointer(&server->handed_to, g_free);
    ow->assignment_stale = true;
    ow_action *action = _ow_push_action(ow, OW_ACTION_ACQUIRED, server);
    action->fence = server->fence;
    action->evict_after_us = server->evict_after_us;
}

void
_ow_server_lose(ow_machine *ow, _ow_server *server, bool planned)
{
    bool was_owned = server->state == _OW_SERVER_OWNED ||
                     server->state == _OW_SERVER_HANDING_OVER;
    server->state = _OW_SERVER_OTHER;
    server->retry_us = 0;
    if (!was_owned) {
        return;
    }
    if (planned) {
        g_free(server->handed_to);
        server->handed_to = g_strdup(server->row.instance);
        server->handed_fence = server->fence;
    }
    ow_action *action = _ow_push_action(ow, OW_ACTION_LOST, server);
    action->fence = server->fence;
    action->planned = planned;
}

/* Applies a newer owner row: loses the server, acquires it, or reports the new
   owner. */
static void
_ow_row_changed(ow_machine *ow, uint64_t now_us, _ow_server *server)
{
    bool was_owned = server->state == _OW_SERVER_OWNED ||
                     server->state == _OW_SERVER_HANDING_OVER;
    bool ours = _ow_row_is_ours(ow, server);
    if (was_owned && ours && server->row.fence == server->fence) {
        return;
    }
    if (was_owned) {
        bool planned = server->row.acquisition >= _OW_ACQUIRED_HANDOVER &&
                       server->row.from_fence == server->fence &&
                       g_str_equal(server->row.from, ow->instance);
        _ow_server_lose(ow, server, planned);
    }
    server->state = _OW_SERVER_OTHER;
    if (ours) {
        _ow_acquire(ow, server, now_us);
    }
    if (server->row.version != 0) {
        ow_action *action =
            _ow_push_action(ow, OW_ACTION_OWNER_CHANGED, server);
        action->instance =
            _co_outbox_copy_text(ow->outbox, server->row.instance);
        action->fence = server->row.fence;
    }
}

/* Notes that the owner named by a row had a live row. An owner that took the
   server itself had one before that; one that got it by a hand-over may not
   have one. */
static void
_ow_note_row_owner(ow_machine *ow, uint64_t now_us, const _ow_row *row)
{
    _ow_peer *peer =
        _ow_peer_get(ow, row->instance, row->zone, row->incarnation);
    bool handed_over = row->acquisition >= _OW_ACQUIRED_HANDOVER;
    if (peer && !peer->row_existed && !handed_over) {
        peer->row_existed = true;
        _ow_peer_unmark_ended(peer, now_us);
    }
}

void
_ow_row_update(ow_machine *ow, uint64_t now_us, _ow_server *server,
               const pf_row *row)
{
    server->row_known = true;
    if (row->version <= server->row.version) {
        return;
    }
    g_autofree char *text = _co_row_text(row);
    _ow_row parsed = {.version = row->version};
    if (!text || !_ow_row_parse(text, &parsed)) {
        return;
    }
    _ow_row_clear(&server->row);
    server->row = parsed;
    server->free_since_us = 0;
    _ow_note_row_owner(ow, now_us, &server->row);
    _ow_row_changed(ow, now_us, server);
}

/* -- private: taking ------------------------------------------------------ */

/* Returns whether the owner's incarnation has ended and nothing was heard of
   it for the lease time. */
static bool
_ow_owner_ended(ow_machine *ow, const _ow_server *server, uint64_t now_us)
{
    const _ow_row *row = &server->row;
    _ow_peer *peer =
        _ow_peer_get(ow, row->instance, row->zone, row->incarnation);
    /* A daemon that has just started may not have heard the owner yet. */
    bool just_started = now_us < ow->started_us + ow->lease_us;
    if (just_started || !peer || !peer->ended || _ow_peer_alive(peer)) {
        return false;
    }
    return peer->instance_gone || peer->heard_us == 0 ||
           now_us >= peer->heard_us + ow->lease_us;
}

/* Returns whether the server has no owner, or one that has ended. */
static bool
_ow_is_free(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (!server->row_known || _ow_row_is_ours(ow, server)) {
        return false;
    }
    return server->row.version == 0 ||
           g_str_equal(server->row.instance, _OW_NO_INSTANCE) ||
           _ow_owner_ended(ow, server, now_us);
}

/* Returns whether a server of a zone without daemons may be taken without harm
   if its owner still runs and was only cut off. */
static bool
_ow_may_take_other_zone(ow_machine *ow, const _ow_server *server)
{
    const _ow_row *row = &server->row;
    bool unowned =
        row->version == 0 || g_str_equal(row->instance, _OW_NO_INSTANCE);
    const _ow_peer *peer =
        unowned ? NULL : _ow_peer_find(ow, row->instance, row->incarnation);
    bool gone = peer && peer->instance_gone;
    return server->checks_fence || unowned || gone;
}

/* Returns whether a probe reached the server within the last
   _OW_PROBE_VALID_US; requests one if not. */
static bool
_ow_is_reachable(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (server->probe_ok_us &&
        now_us < server->probe_ok_us + _OW_PROBE_VALID_US) {
        return true;
    }
    if (now_us >= server->next_probe_us) {
        server->next_probe_us = now_us + _OW_PROBE_INTERVAL_US;
        _ow_push_action(ow, OW_ACTION_PROBE, server);
    }
    return false;
}

static void
_ow_commit_row(ow_machine *ow, _ow_server *server, uint64_t now_us,
               _ow_call_kind kind, const _ow_row *row)
{
    g_autofree char *key = _ow_owner_key(server);
    g_autofree char *value = _ow_row_format(row);
    _ow_call *open = _ow_call_open(ow, now_us, kind, server->name);
    server->open_call = open->number;
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, server->row.version, value);
    g_free(server->committed_value);
    server->committed_value = g_steal_pointer(&value);
    _ow_call_send(ow, call);
}

/* Commits a row that makes this daemon the owner. A server that its owner
   released without a successor keeps that owner as FROM. */
static void
_ow_take(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    const _ow_row *old = &server->row;
    bool first = old->version == 0;
    bool released = !first && g_str_equal(old->instance, _OW_NO_INSTANCE);
    _ow_row row = {
        .instance = ow->instance,
        .zone = ow->zone,
        .incarnation = ow->incarnation,
        .fence = old->fence + 1,
        .from = first ? (char *)_OW_NO_INSTANCE
                      : (released ? old->from : old->instance),
        .from_fence = released ? old->from_fence : old->fence,
        .acquisition =
            first ? _OW_ACQUIRED_FIRST
                  : (released ? old->acquisition : _OW_ACQUIRED_TAKEN),
    };
    server->state = _OW_SERVER_TAKING;
    if (row.acquisition == _OW_ACQUIRED_TAKEN) {
        _ow_refuse_acks(ow, old->instance, old->incarnation);
    }
    _ow_commit_row(ow, server, now_us, _OW_CALL_TAKE, &row);
}

static void
_ow_take_if_due(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (!_ow_is_free(ow, server, now_us)) {
        server->free_since_us = 0;
        return;
    }
    server->free_since_us =
        server->free_since_us ? server->free_since_us : now_us;
    bool may_take = !ow->stopping && !server->leaving &&
                    _ow_lease_fresh(ow, now_us) && now_us >= server->retry_us;
    if (!g_str_equal(server->zone, ow->zone)) {
        /* The delay is for daemons of the server's zone that are still
           starting. */
        may_take = may_take &&
                   now_us >= server->free_since_us + _OW_OTHER_ZONE_DELAY_US &&
                   _ow_may_take_other_zone(ow, server) &&
                   _ow_is_reachable(ow, server, now_us);
    }
    bool preferred = server->preferred_owner &&
                     g_str_equal(server->preferred_owner, ow->instance);
    uint64_t delay_us = _OW_SECOND_CHOICE_DELAY_US +
                        _ow_rank(ow, server->name) * _OW_RANK_DELAY_US;
    if (may_take &&
        (preferred || now_us >= server->free_since_us + delay_us)) {
        _ow_take(ow, server, now_us);
    }
}

/* -- private: handing over ------------------------------------------------ */

/* Commits a row that makes the preferred owner the owner, or that releases the
   server if there is none. A release keeps the fence; the take raises it. */
static void
_ow_hand_over(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    const _ow_peer *next =
        server->preferred_owner &&
                !g_str_equal(server->preferred_owner, ow->instance)
            ? _ow_peer_find(ow, server->preferred_owner,
                            server->preferred_incarnation)
            : NULL;
    _ow_row row = {
        .instance = next ? next->instance : (char *)_OW_NO_INSTANCE,
        .zone = next ? next->zone : (char *)_OW_NO_INSTANCE,
        .incarnation = next ? next->incarnation : 0,
        .fence = server->fence + (next ? 1 : 0),
        .from = ow->instance,
        .from_fence = server->fence,
        .acquisition = now_us < server->evict_after_us
                           ? _OW_ACQUIRED_HANDOVER_UNDRAINED
                           : _OW_ACQUIRED_HANDOVER,
    };
    if (server->state != _OW_SERVER_HANDING_OVER) {
        server->state = _OW_SERVER_HANDING_OVER;
        server->handover_started_us = now_us;
    }
    ow->next_move_us = now_us + _OW_MOVE_INTERVAL_US;
    _ow_commit_row(ow, server, now_us, _OW_CALL_HAND_OVER, &row);
}

static void
_ow_hand_over_if_due(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (now_us < server->retry_us) {
        return;
    }
    if (ow->stopping) {
        _ow_hand_over(ow, server, now_us);
        return;
    }
    bool stable = now_us >= ow->last_change_us +
                                _co_ms_to_us(ow->desc.rebalance_quiet_ms);
    bool preferred_elsewhere =
        server->preferred_owner &&
        !g_str_equal(server->preferred_owner, ow->instance);
    bool evictions_allowed = now_us >= server->evict_after_us;
    if (stable && preferred_elsewhere && evictions_allowed &&
        now_us >= ow->next_move_us) {
        _ow_hand_over(ow, server, now_us);
    }
}

/* -- private: periodic work and results ----------------------------------- */

static void
_ow_read_owner_row(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    g_autofree char *key = _ow_owner_key(server);
    _ow_call *open =
        _ow_call_open(ow, now_us, _OW_CALL_READ_OWNER, server->name);
    server->open_call = open->number;
    _ow_call_send(ow, _co_read_new(open->number, key));
}

void
_ow_server_work(ow_machine *ow, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_server *server = value;
        if (server->open_call) {
            continue;
        }
        if (server->read_needed && now_us >= server->retry_us) {
            _ow_read_owner_row(ow, server, now_us);
        }
        else if (server->state == _OW_SERVER_OWNED) {
            _ow_hand_over_if_due(ow, server, now_us);
        }
        else if (server->state == _OW_SERVER_OTHER &&
                 _ow_is_responsible(ow, server)) {
            _ow_take_if_due(ow, server, now_us);
        }
    }
}

/* Applies the row that was read. It also tells the outcome of a take or
   hand-over that was not answered. */
static void
_ow_read_result(ow_machine *ow, uint64_t now_us, _ow_server *server,
                const co_table_result *result)
{
    if (result->code != ER_OK || result->read->count == 0) {
        server->retry_us = now_us + _OW_RETRY_US;
        return;
    }
    server->read_needed = false;
    server->contested = false;
    _ow_row_update(ow, now_us, server, &result->read->rows[0]);
    if (server->state == _OW_SERVER_TAKING) {
        server->state = _OW_SERVER_OTHER;
    }
    if (server->state == _OW_SERVER_HANDING_OVER) {
        server->state = _OW_SERVER_OWNED;
    }
}

void
_ow_server_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                  const co_table_result *result)
{
    _ow_server *server = g_hash_table_lookup(ow->servers, call->name);
    if (!server || server->open_call != call->number) {
        return;
    }
    server->open_call = 0;
    if (call->kind == _OW_CALL_READ_OWNER) {
        _ow_read_result(ow, now_us, server, result);
        return;
    }
    if (!_co_is_table_answer(result->code)) {
        server->read_needed = true;
        server->retry_us = now_us + _OW_RETRY_US;
        return;
    }
    if (server->state == _OW_SERVER_TAKING) {
        server->state = _OW_SERVER_OTHER;
    }
    if (server->state == _OW_SERVER_HANDING_OVER) {
        server->state = _OW_SERVER_OWNED;
    }
    if (result->code == ER_CONFLICT) {
        _ow_row_update(ow, now_us, server, &result->commit->rows[0]);
        return;
    }
    g_autoptr(GBytes) value =
        g_bytes_new(server->committed_value, strlen(server->committed_value));
    _ow_row_update(
        ow, now_us, server,
        &(pf_row){.value = value, .version = result->commit->versions[0]});
}
