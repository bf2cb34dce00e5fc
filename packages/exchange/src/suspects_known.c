#include "suspects_private.h"

#include "lacewing/hash.h"

/* Time at random before the others are told: the first instance to do so
   spares the rest. Shorter than the time after which a crash is counted. */
#define _SU_ANNOUNCE_DELAY_US 40000
/* The others are told again of the same part after this time. */
#define _SU_ANNOUNCE_INTERVAL_US UINT64_C(1000000)

static su_known *
_su_find_known(su_suspects *suspects, uint64_t part)
{
    su_known *set = suspects->known[part % SU_KNOWN_SETS];
    for (uint32_t i = 0; i < SU_KNOWN_WAYS; i++) {
        if (set[i].part == part && set[i].good_us) {
            return &set[i];
        }
    }
    return NULL;
}

uint64_t
su_query_last_good_us(su_suspects *suspects, uint64_t part)
{
    const su_known *known = _su_find_known(suspects, part);
    return known ? known->good_us : 0;
}

void
su_remember_good(su_suspects *suspects, uint64_t part, uint64_t began_us)
{
    su_known *set = suspects->known[part % SU_KNOWN_SETS];
    su_known *entry = &set[0];
    for (uint32_t i = 0; i < SU_KNOWN_WAYS; i++) {
        if (set[i].part == part) {
            set[i].good_us = MAX(set[i].good_us, began_us);
            return;
        }
        if (set[i].good_us < entry->good_us) {
            entry = &set[i];
        }
    }
    *entry = (su_known){.part = part, .good_us = began_us};
}

static su_announcement *
_su_find_announcement(const su_suspects *suspects, uint64_t part)
{
    for (guint i = 0; i < suspects->announcements->len; i++) {
        su_announcement *planned =
            &g_array_index(suspects->announcements, su_announcement, i);
        if (planned->part == part) {
            return planned;
        }
    }
    return NULL;
}

void
su_plan_announcement(su_suspects *suspects, uint64_t part, uint64_t now_us)
{
    const su_known *known = _su_find_known(suspects, part);
    if (!known || now_us < known->told_us + _SU_ANNOUNCE_INTERVAL_US ||
        _su_find_announcement(suspects, part)) {
        return;
    }
    uint64_t key[] = {part, suspects->desc.seed};
    su_announcement planned = {part, now_us + hs_u64_bytes(key, sizeof(key)) %
                                                  _SU_ANNOUNCE_DELAY_US};
    g_array_append_val(suspects->announcements, planned);
}

void
su_cancel_announcement(su_suspects *suspects, uint64_t part)
{
    su_known *known = _su_find_known(suspects, part);
    const su_announcement *planned = _su_find_announcement(suspects, part);
    if (known) {
        known->told_us = suspects->latest_us;
    }
    if (planned) {
        g_array_remove_index_fast(
            suspects->announcements,
            (guint)(planned -
                    (su_announcement *)suspects->announcements->data));
    }
}

void
su_send_announcements(su_suspects *suspects, uint64_t now_us)
{
    for (guint i = suspects->announcements->len; i > 0; i--) {
        su_announcement planned =
            g_array_index(suspects->announcements, su_announcement, i - 1);
        if (now_us < planned.due_us) {
            continue;
        }
        uint64_t good_us = su_query_last_good_us(suspects, planned.part);
        su_cancel_announcement(suspects, planned.part);
        if (good_us) {
            suspects->desc.callbacks->known_good(planned.part, good_us,
                                                 suspects->desc.user_data);
        }
    }
}
