#include "lease_private.h"

/* The row of an era is written by one instance or few: each begins this much
   later at most, by its name. */
#define _LE_SETTLE_SPREAD_US 4000000

/* -- private -------------------------------------------------------------- */

/* Returns for how long an instance that has not noticed the restoration may
   still give orders, and how much later another holder may. */
static uint64_t
_le_unnoticed_lease_us(const le_lease *lease)
{
    uint64_t longest_us = MAX(le_validity_us(lease), lease->valid_us);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->peers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        longest_us = MAX(longest_us, ((le_peer_row *)value)->valid_us);
    }
    return longest_us + lease->guard_us;
}

/* Marks all rows of servers as possibly older than what was written, and
   records which servers this instance held until now. */
static void
_le_mark_outdated(le_lease *lease, uint64_t now_us)
{
    lease->restored_until_us = now_us + _le_unnoticed_lease_us(lease);
    bool valid = le_query_lease_valid(lease, now_us) && !lease->left;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        le_server_row *server = value;
        server->held_before =
            valid && (server->held_before || le_holds_server(lease, server));
        server->outdated = true;
    }
}

static bool
_le_any_holder_row(const le_lease *lease)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, lease->servers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (((const le_server_row *)value)->version) {
            return true;
        }
    }
    return false;
}

/* -- public --------------------------------------------------------------- */

void
le_note_era(le_lease *lease, uint64_t now_us, uint64_t version)
{
    uint64_t era = dl_query_era(version);
    if (version == 0) {
        return;
    }
    if (!lease->era_known) {
        lease->era = era;
        lease->era_known = true;
        return;
    }
    if (era <= lease->era) {
        return;
    }
    lease->era = era;
    lease->era_settled = false;
    lease->era_renewed = false;
    lease->table_known = false;
    lease->contact_since_us = now_us;
    lease->next_renew_us = now_us;
    _le_mark_outdated(lease, now_us);
}

void
le_feed_era_row(le_lease *lease, const char *era, const dl_row *row)
{
    if (row->value && g_ascii_strtoull(era, NULL, 10) == lease->era) {
        lease->era_settled = true;
    }
}

void
le_check_era_settled(le_lease *lease, uint64_t now_us, bool first_read)
{
    /* A store without eras is never restored. */
    lease->era_settled = lease->era_settled || lease->era == 0;
    if (first_read && !lease->era_settled && _le_any_holder_row(lease)) {
        _le_mark_outdated(lease, now_us);
    }
    /* Most others find the row of the first one. */
    lease->settle_us = MAX(now_us, lease->restored_until_us) +
                       g_str_hash(lease->instance) % _LE_SETTLE_SPREAD_US;
}
