#include "ownership_internal.h"

#include <stdio.h>
#include <string.h>

static const char *const _ow_how_names[_OW_HOW_NUM] = {
    [_OW_HOW_FIRST] = "first",
    [_OW_HOW_TAKEN] = "taken",
    [_OW_HOW_PLANNED] = "planned",
    [_OW_HOW_UNSETTLED] = "unsettled",
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
    for (uint32_t i = 0; i < _OW_HOW_NUM; i++) {
        if (g_str_equal(words[6], _ow_how_names[i])) {
            row->how = (_ow_how)i;
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
                           _ow_how_names[row->how]);
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

/* -- private: gaining and losing ------------------------------------------ */

void
_ow_settle_set(ow_machine *ow, _ow_server *server, uint64_t settle_us)
{
    if (server->settle_us == settle_us) {
        return;
    }
    server->settle_us = settle_us;
    ow_action *action = _ow_act(ow, OW_ACTION_SETTLE, server);
    action->fence = server->fence;
    action->settle_us = settle_us;
}

static void
_ow_own(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    bool settled =
        server->row.how == _OW_HOW_FIRST || ow->desc.unsafe_skip_settle;
    server->state = _OW_SERVER_OWNED;
    server->fence = server->row.fence;
    server->settle_us =
        settled ? now_us : now_us + _co_ms_to_us(ow->desc.order_life_ms);
    g_clear_pointer(&server->handed_to, g_free);
    ow->spread_dirty = true;
    ow_action *action = _ow_act(ow, OW_ACTION_OWN, server);
    action->fence = server->fence;
    action->settle_us = server->settle_us;
}

void
_ow_server_lose(ow_machine *ow, _ow_server *server, bool planned)
{
    bool used = server->state == _OW_SERVER_OWNED ||
                server->state == _OW_SERVER_HANDING;
    server->state = _OW_SERVER_OTHER;
    server->try_us = 0;
    if (!used) {
        return;
    }
    if (planned) {
        g_free(server->handed_to);
        server->handed_to = g_strdup(server->row.instance);
        server->handed_fence = server->fence;
    }
    ow_action *action = _ow_act(ow, OW_ACTION_LOSE, server);
    action->fence = server->fence;
    action->planned = planned;
}

/* The row is newer than what was known; draw the consequences. */
static void
_ow_row_changed(ow_machine *ow, uint64_t now_us, _ow_server *server)
{
    bool used = server->state == _OW_SERVER_OWNED ||
                server->state == _OW_SERVER_HANDING;
    bool ours = _ow_row_is_ours(ow, server);
    if (used && ours && server->row.fence == server->fence) {
        return;
    }
    if (used) {
        bool planned = server->row.how >= _OW_HOW_PLANNED &&
                       server->row.from_fence == server->fence &&
                       g_str_equal(server->row.from, ow->instance);
        _ow_server_lose(ow, server, planned);
    }
    server->state = _OW_SERVER_OTHER;
    if (ours) {
        _ow_own(ow, server, now_us);
    }
    if (server->row.version != 0) {
        ow_action *action = _ow_act(ow, OW_ACTION_OWNER, server);
        action->instance = _co_outbox_copy_text(ow->box, server->row.instance);
        action->fence = server->row.fence;
    }
}

/* Who took a server itself had its live row before that; an heir may not. */
static void
_ow_row_names(ow_machine *ow, uint64_t now_us, const _ow_row *row)
{
    _ow_peer *peer =
        _ow_peer_get(ow, row->instance, row->zone, row->incarnation);
    bool heir = row->how >= _OW_HOW_PLANNED;
    if (peer && !peer->named && !heir) {
        peer->named = true;
        _ow_peer_back(peer, now_us);
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
    server->free_us = 0;
    _ow_row_names(ow, now_us, &server->row);
    _ow_row_changed(ow, now_us, server);
}

/* -- private: taking ------------------------------------------------------ */

/* The peer that a row names as owner, as far as it may still be at work. */
static bool
_ow_owner_ended(ow_machine *ow, const _ow_server *server, uint64_t now_us)
{
    const _ow_row *row = &server->row;
    _ow_peer *peer =
        _ow_peer_get(ow, row->instance, row->zone, row->incarnation);
    /* Who has just started may not have heard of it yet. */
    bool new = now_us < ow->started_us + ow->lease_us;
    if (new || !peer || !peer->ended || _ow_peer_alive(peer)) {
        return false;
    }
    return peer->gone || peer->heard_us == 0 ||
           now_us >= peer->heard_us + ow->lease_us;
}

static bool
_ow_is_free(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (!server->row_known || _ow_row_is_ours(ow, server)) {
        return false;
    }
    return server->row.version == 0 ||
           g_str_equal(server->row.instance, _OW_NOBODY) ||
           _ow_owner_ended(ow, server, now_us);
}

/* A server of a zone without daemons: only what cannot hurt an owner that
   was merely cut off. */
static bool
_ow_may_take_far(ow_machine *ow, const _ow_server *server)
{
    const _ow_row *row = &server->row;
    bool nobody = row->version == 0 || g_str_equal(row->instance, _OW_NOBODY);
    const _ow_peer *peer =
        nobody ? NULL : _ow_peer_find(ow, row->instance, row->incarnation);
    bool gone = peer && peer->gone;
    return server->checks_fence || nobody || gone;
}

/* True when a probe has reached the server lately; else asks for one. */
static bool
_ow_is_reached(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (server->reached_us && now_us < server->reached_us + _OW_REACHED_US) {
        return true;
    }
    if (now_us >= server->probe_us) {
        server->probe_us = now_us + _OW_PROBE_US;
        _ow_act(ow, OW_ACTION_PROBE, server);
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
    server->call = open->number;
    _co_call *call = _co_commit_new(open->number);
    _co_commit_add(call, key, server->row.version, value);
    g_free(server->written);
    server->written = g_steal_pointer(&value);
    _ow_call_send(ow, call);
}

static void
_ow_take(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    const _ow_row *old = &server->row;
    bool first = old->version == 0;
    bool released = !first && g_str_equal(old->instance, _OW_NOBODY);
    _ow_row row = {
        .instance = ow->instance,
        .zone = ow->zone,
        .incarnation = ow->incarnation,
        .fence = old->fence + 1,
        .from = first ? (char *)_OW_NOBODY
                      : (released ? old->from : old->instance),
        .from_fence = released ? old->from_fence : old->fence,
        .how = first ? _OW_HOW_FIRST : (released ? old->how : _OW_HOW_TAKEN),
    };
    server->state = _OW_SERVER_TAKING;
    if (row.how == _OW_HOW_TAKEN) {
        _ow_refuse(ow, old->instance, old->incarnation);
    }
    _ow_commit_row(ow, server, now_us, _OW_CALL_TAKE, &row);
}

static void
_ow_consider_taking(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (!_ow_is_free(ow, server, now_us)) {
        server->free_us = 0;
        return;
    }
    server->free_us = server->free_us ? server->free_us : now_us;
    bool may = !ow->stopping && !server->leaving &&
               _ow_lease_fresh(ow, now_us) && now_us >= server->try_us;
    if (!g_str_equal(server->zone, ow->zone)) {
        /* The zone's own daemons may only just be starting. */
        may = may && now_us >= server->free_us + _OW_FAR_US &&
              _ow_may_take_far(ow, server) &&
              _ow_is_reached(ow, server, now_us);
    }
    bool chosen = server->wish && g_str_equal(server->wish, ow->instance);
    uint64_t patience_us =
        _OW_PATIENCE_US + _ow_spread_rank(ow, server->name) * _OW_RANK_US;
    if (may && (chosen || now_us >= server->free_us + patience_us)) {
        _ow_take(ow, server, now_us);
    }
}

/* -- private: handing over ------------------------------------------------ */

static void
_ow_hand(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    const _ow_peer *next =
        server->wish && !g_str_equal(server->wish, ow->instance)
            ? _ow_peer_find(ow, server->wish, server->wish_incarnation)
            : NULL;
    _ow_row row = {
        .instance = next ? next->instance : (char *)_OW_NOBODY,
        .zone = next ? next->zone : (char *)_OW_NOBODY,
        .incarnation = next ? next->incarnation : 0,
        .fence = server->fence + (next ? 1 : 0),
        .from = ow->instance,
        .from_fence = server->fence,
        .how =
            now_us < server->settle_us ? _OW_HOW_UNSETTLED : _OW_HOW_PLANNED,
    };
    if (server->state != _OW_SERVER_HANDING) {
        server->state = _OW_SERVER_HANDING;
        server->call_us = now_us;
    }
    ow->move_us = now_us + _OW_MOVE_US;
    _ow_commit_row(ow, server, now_us, _OW_CALL_HAND, &row);
}

static void
_ow_consider_handing(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    if (now_us < server->try_us) {
        return;
    }
    if (ow->stopping) {
        _ow_hand(ow, server, now_us);
        return;
    }
    bool quiet = now_us >= ow->changed_us + _co_ms_to_us(ow->desc.spread_ms);
    bool elsewhere = server->wish && !g_str_equal(server->wish, ow->instance);
    bool settled = now_us >= server->settle_us;
    if (quiet && elsewhere && settled && now_us >= ow->move_us) {
        _ow_hand(ow, server, now_us);
    }
}

/* -- private: work and results -------------------------------------------- */

static void
_ow_read_row(ow_machine *ow, _ow_server *server, uint64_t now_us)
{
    g_autofree char *key = _ow_owner_key(server);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_READ, server->name);
    server->call = open->number;
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
        if (server->call) {
            continue;
        }
        if (server->read_wanted && now_us >= server->try_us) {
            _ow_read_row(ow, server, now_us);
        }
        else if (server->state == _OW_SERVER_OWNED) {
            _ow_consider_handing(ow, server, now_us);
        }
        else if (server->state == _OW_SERVER_OTHER &&
                 _ow_spread_covers(ow, server)) {
            _ow_consider_taking(ow, server, now_us);
        }
    }
}

/* A read has told how the row stands: what was open is no longer. */
static void
_ow_read_result(ow_machine *ow, uint64_t now_us, _ow_server *server,
                const co_table_result *result)
{
    if (result->code != ER_OK || result->read->count == 0) {
        server->try_us = now_us + _OW_RETRY_US;
        return;
    }
    server->read_wanted = false;
    server->contested = false;
    _ow_row_update(ow, now_us, server, &result->read->rows[0]);
    if (server->state == _OW_SERVER_TAKING) {
        server->state = _OW_SERVER_OTHER;
    }
    if (server->state == _OW_SERVER_HANDING) {
        server->state = _OW_SERVER_OWNED;
    }
}

void
_ow_server_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                  const co_table_result *result)
{
    _ow_server *server = g_hash_table_lookup(ow->servers, call->name);
    if (!server || server->call != call->number) {
        return;
    }
    server->call = 0;
    if (call->kind == _OW_CALL_READ) {
        _ow_read_result(ow, now_us, server, result);
        return;
    }
    if (!_co_is_table_answer(result->code)) {
        server->read_wanted = true;
        server->try_us = now_us + _OW_RETRY_US;
        return;
    }
    if (server->state == _OW_SERVER_TAKING) {
        server->state = _OW_SERVER_OTHER;
    }
    if (server->state == _OW_SERVER_HANDING) {
        server->state = _OW_SERVER_OWNED;
    }
    if (result->code == ER_CONFLICT) {
        _ow_row_update(ow, now_us, server, &result->commit->rows[0]);
        return;
    }
    g_autoptr(GBytes) value =
        g_bytes_new(server->written, strlen(server->written));
    _ow_row_update(
        ow, now_us, server,
        &(pf_row){.value = value, .version = result->commit->versions[0]});
}
