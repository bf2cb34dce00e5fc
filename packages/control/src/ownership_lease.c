#include "ownership_internal.h"

/* -- private: the own live row -------------------------------------------- */

static char *
_ow_live_key(const ow_machine *ow)
{
    return g_strdup_printf("live/%s/%s/%" G_GUINT64_FORMAT, ow->zone,
                           ow->instance, ow->incarnation);
}

void
_ow_add_renewal(ow_machine *ow, _co_call *call)
{
    g_autofree char *key = _ow_live_key(ow);
    g_autofree char *value =
        g_strdup_printf("%" G_GUINT64_FORMAT, ++ow->renewal_count);
    _co_commit_add(call, key, ow->live_version, value);
}

void
_ow_lease_renewed(ow_machine *ow, const _ow_call *call, uint64_t version)
{
    ow->live_version = version;
    ow->renewed_us = call->sent_us;
    ow->renewed = true;
    ow->paused = false;
    /* The earliest time; _ow_renew_due() waits longer while peers
       acknowledge. */
    ow->next_renew_us = call->sent_us + _co_ms_to_us(ow->desc.renew_fast_ms);
}

bool
_ow_is_tombstone(const pf_row *row)
{
    g_autofree char *text = _co_row_text(row);
    return text && g_str_equal(text, _OW_TOMBSTONE);
}

/* Gives up all servers and starts a new incarnation: another daemon ended the
   present one, or may have before its live row was first read. */
static void
_ow_restart_incarnation(ow_machine *ow, uint64_t now_us)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_server *server = value;
        if (server->state != _OW_SERVER_OTHER) {
            _ow_server_lose(ow, server, false);
        }
    }
    _ow_peer *old = _ow_peer_get(ow, ow->instance, ow->zone, ow->incarnation);
    if (old) {
        _ow_peer_mark_ended(old, now_us);
        old->ended_finally = true;
    }
    ow->incarnation++;
    ow->live_version = 0;
    ow->create_unconfirmed = false;
    ow->renewed = false;
    ow->next_renew_us = now_us;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        _ow_peer *peer = value;
        peer->heartbeat_sent = false;
        peer->direct_contact = false;
        peer->acked_us = 0;
    }
    ow_action *action = _ow_push_action(ow, OW_ACTION_INCARNATION_ENDED, NULL);
    action->incarnation = ow->incarnation;
    ow->assignment_stale = true;
}

void
_ow_lease_conflict(ow_machine *ow, uint64_t now_us, const pf_row *row)
{
    if (_ow_is_tombstone(row)) {
        _ow_restart_incarnation(ow, now_us);
        return;
    }
    if (row->version != 0) {
        /* Nobody else renews this row: an earlier renewal, not answered,
           took effect. */
        ow->live_version = row->version;
        ow->next_renew_us = now_us;
        return;
    }
    if (ow->live_version != 0) {
        _ow_restart_incarnation(ow, now_us);
    }
}

void
_ow_lease_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                 const co_table_result *result)
{
    ow->renew_call = 0;
    if (call->incarnation != ow->incarnation) {
        return;
    }
    if (result->code == ER_OK) {
        _ow_lease_renewed(ow, call, result->commit->versions[0]);
        return;
    }
    if (result->code == ER_CONFLICT) {
        _ow_lease_conflict(ow, now_us, &result->commit->rows[0]);
        return;
    }
    ow->create_unconfirmed = ow->live_version == 0;
    ow->next_renew_us = now_us + _OW_RETRY_US;
}

/* Handles the read after a create that was not answered. A row that exists was
   created by this incarnation. An absent one may have been created and
   deleted since, so this incarnation is not used any more. */
void
_ow_create_result(ow_machine *ow, uint64_t now_us, const _ow_call *call,
                  const co_table_result *result)
{
    ow->renew_call = 0;
    ow->next_renew_us = now_us;
    if (result->code != ER_OK || result->read->count == 0) {
        ow->next_renew_us = now_us + _OW_RETRY_US;
        return;
    }
    if (call->incarnation != ow->incarnation) {
        return;
    }
    ow->create_unconfirmed = false;
    const pf_row *row = &result->read->rows[0];
    if (row->version == 0 || _ow_is_tombstone(row)) {
        _ow_restart_incarnation(ow, now_us);
        return;
    }
    ow->live_version = row->version;
}

static void
_ow_read_created(ow_machine *ow, uint64_t now_us)
{
    g_autofree char *key = _ow_live_key(ow);
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_READ_CREATED, NULL);
    ow->renew_call = open->number;
    _ow_call_send(ow, _co_read_new(open->number, key));
}

static void
_ow_renew(ow_machine *ow, uint64_t now_us)
{
    if (ow->create_unconfirmed) {
        _ow_read_created(ow, now_us);
        return;
    }
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_RENEW, NULL);
    ow->renew_call = open->number;
    _co_call *call = _co_commit_new(open->number);
    _ow_add_renewal(ow, call);
    _ow_call_send(ow, call);
}

/* -- private: deleting the live row at a stop ----------------------------- */

void
_ow_delete_result(ow_machine *ow, uint64_t now_us,
                  const co_table_result *result)
{
    ow->renew_call = 0;
    if (result->code == ER_OK) {
        ow->live_row_deleted = true;
        return;
    }
    if (result->code == ER_CONFLICT) {
        const pf_row *row = &result->commit->rows[0];
        ow->live_row_deleted = row->version == 0;
        ow->live_version = row->version;
    }
    ow->next_renew_us = now_us + (ow->live_row_deleted ? 0 : _OW_RETRY_US);
}

static void
_ow_delete(ow_machine *ow, uint64_t now_us)
{
    _ow_call *open = _ow_call_open(ow, now_us, _OW_CALL_DELETE, NULL);
    ow->renew_call = open->number;
    _co_call *call = _co_commit_new(open->number);
    g_autofree char *key = _ow_live_key(ow);
    _co_commit_add(call, key, ow->live_version, NULL);
    _ow_call_send(ow, call);
}

/* -- private: lease checks ------------------------------------------------ */

bool
_ow_acks_fresh(const ow_machine *ow, uint64_t now_us, uint64_t age_us,
               const char *zone)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_peer *peer = value;
        bool relevant_zone =
            g_str_equal(peer->zone, ow->zone) || g_str_equal(peer->zone, zone);
        bool must_ack = relevant_zone && peer->heartbeat_sent &&
                        !peer->ended && !peer->instance_gone;
        if (must_ack && now_us >= _co_add_us(peer->acked_us, age_us)) {
            return false;
        }
    }
    return true;
}

/* Returns whether to renew the live row: every renew_ms, or every
   renew_fast_ms while a peer that could end this incarnation does not
   acknowledge. */
static bool
_ow_renew_due(const ow_machine *ow, uint64_t now_us)
{
    if (now_us < ow->next_renew_us) {
        return false;
    }
    if (!ow->renewed ||
        !_ow_acks_fresh(ow, now_us, _OW_ACK_MAX_AGE_US, ow->zone)) {
        return true;
    }
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, ow->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const _ow_server *server = value;
        bool other_zone = server->state != _OW_SERVER_OTHER &&
                          !g_str_equal(server->zone, ow->zone);
        if (other_zone &&
            !_ow_acks_fresh(ow, now_us, _OW_ACK_MAX_AGE_US, server->zone)) {
            return true;
        }
    }
    return now_us >= ow->renewed_us + _co_ms_to_us(ow->desc.renew_ms);
}

void
_ow_lease_work(ow_machine *ow, uint64_t now_us)
{
    if (ow->renew_call || ow->live_row_deleted) {
        return;
    }
    bool done = ow->stopping && ow_query_owned_count(ow) == 0;
    if (done && now_us >= ow->next_renew_us) {
        if (ow->live_version == 0) {
            ow->live_row_deleted = true;
            return;
        }
        _ow_delete(ow, now_us);
        return;
    }
    if (_ow_renew_due(ow, now_us)) {
        _ow_renew(ow, now_us);
    }
}

bool
_ow_lease_fresh(const ow_machine *ow, uint64_t now_us)
{
    return ow->renewed && now_us < ow->renewed_us + ow->usable_us;
}

/* Returns whether a call sent within table_silence_ms failed and none sent
   later was answered. */
static bool
_ow_table_silent(const ow_machine *ow, uint64_t now_us)
{
    return ow->failed && ow->last_failed_us > ow->last_answered_us &&
           now_us <=
               ow->last_failed_us + _co_ms_to_us(ow->desc.table_silence_ms);
}

/* Returns whether this process did not run for the usable lease time and has
   not renewed its lease since. What it knew of other daemons is not valid
   until then. */
static bool
_ow_was_paused(const ow_machine *ow, uint64_t now_us)
{
    return ow->paused || now_us > ow->last_work_us + ow->usable_us;
}

ow_use
_ow_lease_use(const ow_machine *ow, uint64_t now_us, const char *zone,
              bool checks_fence)
{
    if (ow->desc.unsafe_skip_lease_check || _ow_lease_fresh(ow, now_us)) {
        return OW_USE_FULL;
    }
    bool silent = _ow_table_silent(ow, now_us);
    if (_ow_was_paused(ow, now_us)) {
        return silent && checks_fence ? OW_USE_FULL : OW_USE_NONE;
    }
    /* Daemons that were not asked to watch acknowledge nothing. They may end
       this incarnation once its live row was unchanged for lease_indirect_ms,
       so the acknowledgements of the others count only until then. */
    bool acks = _ow_acks_fresh(ow, now_us, ow->usable_us, zone);
    uint64_t indirect_us =
        _co_ms_to_us(ow->desc.lease_indirect_ms - ow->desc.lease_margin_ms);
    if (acks && ow->renewed && now_us < ow->renewed_us + indirect_us) {
        return OW_USE_FULL;
    }
    if (!silent || !ow->renewed) {
        return OW_USE_NONE;
    }
    return acks || checks_fence ? OW_USE_FULL : OW_USE_NO_EVICTIONS;
}
