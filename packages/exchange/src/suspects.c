#include "suspects_private.h"

/* Default of su_desc.block_crashes. */
#define _SU_BLOCK_CRASHES 2
/* A part that was answered within this time is answered often, so that all
   instances see it without being told. */
#define _SU_OFTEN_US 150000
/* Reports of a crash arrive within this time: instances notice it some ms
   after it, and datagrams take some more. Those of a server that fell silent
   come within it, too, once it is known that it crashed. */
#define _SU_SETTLE_US 80000
/* Time from a block to its first probe, where it rests on the fewest
   crashes, and where it rests on more. */
#define _SU_FIRST_PROBE_US UINT64_C(5000000)
#define _SU_FIRST_SURE_PROBE_US UINT64_C(25000000)
/* Each further probe comes this many times later, up to the maximum. */
#define _SU_PROBE_GROWTH 5
#define _SU_PROBE_MAX_INTERVAL_US UINT64_C(600000000)
/* A request that comes within this time after a probe is due may be it. */
#define _SU_PROBE_WINDOW_US UINT64_C(2000000)
/* A request with several blocked items probes them so much later, as one with
   a single item tells more: a harmful item would end the probe of a sound one.
 */
#define _SU_SHARED_PROBE_DELAY_US (_SU_PROBE_WINDOW_US / 2)

/* -- private: crashes ----------------------------------------------------- */

uint32_t
su_query_kept_records(const su_suspects *suspects)
{
    return (uint32_t)MIN(suspects->record_count, SU_MAX_CRASHES);
}

/* Returns when a crash is counted of which the first report comes now. */
static uint64_t
_su_get_due_us(const su_crash *crash, uint64_t now_us)
{
    bool late = now_us >= crash->at_us + _SU_SETTLE_US;
    return (late ? now_us : crash->at_us) + _SU_SETTLE_US;
}

static su_record *
_su_find_or_add(su_suspects *suspects, const su_crash *crash, uint64_t now_us)
{
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        su_record *record = &suspects->records[i];
        if (record->server == crash->server &&
            record->born_ms == crash->born_ms) {
            record->at_us = MIN(record->at_us, crash->at_us);
            return record;
        }
    }
    su_record *record =
        &suspects->records[suspects->record_count++ % SU_MAX_CRASHES];
    *record = (su_record){.server = crash->server,
                          .born_ms = crash->born_ms,
                          .at_us = crash->at_us,
                          .due_us = _su_get_due_us(crash, now_us)};
    return record;
}

/* Adds a candidate, in place of a less likely one if need be. */
static void
_su_add_candidate(su_record *record, const su_candidate *candidate)
{
    if (record->candidate_count < SU_MAX_CANDIDATES) {
        record->candidates[record->candidate_count++] = *candidate;
        return;
    }
    su_candidate *least = &record->candidates[0];
    for (uint32_t i = 1; i < SU_MAX_CANDIDATES; i++) {
        if (record->candidates[i].likelihood < least->likelihood) {
            least = &record->candidates[i];
        }
    }
    if (least->likelihood < candidate->likelihood) {
        *least = *candidate;
    }
}

/* -- private: blocks ------------------------------------------------------ */

su_blocked *
su_find_blocked(const su_suspects *suspects, uint64_t item)
{
    for (guint i = 0; i < suspects->blocked->len; i++) {
        su_blocked *entry = &g_array_index(suspects->blocked, su_blocked, i);
        if (entry->block.item == item) {
            return entry;
        }
    }
    return NULL;
}

static void
_su_remove_blocked(su_suspects *suspects, const su_blocked *entry)
{
    g_array_remove_index(
        suspects->blocked,
        (guint)(entry - (su_blocked *)suspects->blocked->data));
}

static void
_su_add_blocked(su_suspects *suspects, const su_block *block)
{
    if (suspects->blocked->len == SU_MAX_BLOCKED) {
        g_array_remove_index(suspects->blocked, 0);
    }
    su_blocked entry = {.block = *block};
    g_array_append_val(suspects->blocked, entry);
}

static void
_su_count_record(su_suspects *suspects, su_record *record)
{
    record->counted = true;
    record->fresh = true;
    su_counted counted = {.server = record->server,
                          .candidate_count = record->candidate_count,
                          .likelihood = su_query_top_likelihood(record)};
    for (uint32_t i = 0; i < record->candidate_count; i++) {
        counted.likeliest_count +=
            record->candidates[i].likelihood == counted.likelihood;
    }
    if (suspects->desc.callbacks->counted) {
        suspects->desc.callbacks->counted(&counted, suspects->desc.user_data);
    }
}

/* Blocks what accounts for the crashes counted now, the likeliest item
   first. */
static void
_su_block_items(su_suspects *suspects, uint64_t now_us)
{
    su_block block;
    while (su_choose_block(suspects, now_us, &block)) {
        _su_add_blocked(suspects, &block);
        suspects->desc.callbacks->blocked(&block, suspects->desc.user_data);
    }
    for (guint i = 0; i < suspects->blocked->len; i++) {
        su_block *known =
            &g_array_index(suspects->blocked, su_blocked, i).block;
        known->crashes = MAX(known->crashes,
                             su_count_crashes(suspects, known->item, now_us));
    }
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        suspects->records[i].fresh = false;
    }
}

/* Returns the time from the block to the probe that is due now or comes
   next. */
static uint64_t
_su_probe_offset_us(const su_block *block, uint32_t least_crashes,
                    uint64_t now_us)
{
    uint64_t offset_us = block->crashes > least_crashes
                             ? _SU_FIRST_SURE_PROBE_US
                             : _SU_FIRST_PROBE_US;
    while (now_us >= block->since_us + offset_us + _SU_PROBE_WINDOW_US) {
        offset_us +=
            MIN(offset_us * (_SU_PROBE_GROWTH - 1), _SU_PROBE_MAX_INTERVAL_US);
    }
    return offset_us;
}

/* -- private: clearing ---------------------------------------------------- */

/* Removes a part; the others keep their order. */
static void
_su_remove_part(su_content *content, uint64_t part)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < content->part_count; i++) {
        if (content->parts[i] != part) {
            content->parts[kept++] = content->parts[i];
        }
    }
    content->part_count = kept;
}

/* Removes an item from the crashes up to began_us. Returns the number of those
   that it was in. */
static uint32_t
_su_remove_from_crashes(su_suspects *suspects, uint64_t item,
                        uint64_t began_us)
{
    uint32_t crashes = 0;
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        su_record *record = &suspects->records[i];
        bool found = false;
        if (record->at_us > began_us) {
            continue;
        }
        for (uint32_t j = record->candidate_count; j > 0; j--) {
            su_candidate *candidate = &record->candidates[j - 1];
            if (!su_contains(&candidate->content, item)) {
                continue;
            }
            found = true;
            if (candidate->content.fingerprint == item) {
                *candidate = record->candidates[--record->candidate_count];
            }
            else {
                _su_remove_part(&candidate->content, item);
            }
        }
        crashes += found;
    }
    return crashes;
}

static bool
_su_unblock(su_suspects *suspects, uint64_t item, uint64_t began_us)
{
    const su_blocked *entry = su_find_blocked(suspects, item);
    if (!entry || entry->block.first_crash_us > began_us) {
        return false;
    }
    _su_remove_blocked(suspects, entry);
    return true;
}

/* Clears an item. Returns true if the other instances should be told. After
   one crash there is no need for a part that is in use everywhere, as all
   instances see answers on it; after more, one that sees none might block
   it. */
static bool
_su_clear(su_suspects *suspects, uint64_t item, bool often, uint64_t began_us)
{
    uint32_t crashes = _su_remove_from_crashes(suspects, item, began_us);
    bool unblocked = _su_unblock(suspects, item, began_us);
    if (crashes || unblocked) {
        suspects->cleared[suspects->next_cleared++ % SU_MAX_CLEARED] =
            (su_cleared){item, began_us};
    }
    return unblocked || crashes > (often ? 1 : 0);
}

static void
_su_clear_and_tell(su_suspects *suspects, uint64_t item, bool often,
                   uint64_t began_us)
{
    if (_su_clear(suspects, item, often, began_us)) {
        suspects->desc.callbacks->cleared(item, began_us,
                                          suspects->desc.user_data);
    }
}

/* -- private: parts known to be good -------------------------------------- */

/* Removes the parts that were answered well since the crash, as it may be
   reported late, and plans to tell the others of them. */
static void
_su_remove_answered_parts(su_suspects *suspects, su_content *content,
                          uint64_t crash_us, uint64_t now_us)
{
    for (uint32_t i = content->part_count; i > 0; i--) {
        uint64_t part = content->parts[i - 1];
        if (su_query_last_good_us(suspects, part) >= crash_us) {
            su_plan_announcement(suspects, part, now_us);
            _su_remove_part(content, part);
        }
    }
}

/* Plans to tell the others of the parts of a content that they may block. */
static void
_su_plan_announcements(su_suspects *suspects, const su_content *content,
                       uint64_t now_us)
{
    for (uint32_t i = 0; i < content->part_count; i++) {
        uint64_t part = content->parts[i];
        if (su_query_last_good_us(suspects, part) &&
            su_count_crashes(suspects, part, now_us) >=
                suspects->desc.block_crashes) {
            su_plan_announcement(suspects, part, now_us);
        }
    }
}

/* Returns whether the block rests on too few crashes for a part that was
   answered well before. */
static bool
_su_is_doubtful(su_suspects *suspects, const su_block *block)
{
    return block->is_part && block->crashes < SU_KNOWN_PART_CRASHES &&
           su_query_last_good_us(suspects, block->item);
}

/* -- public --------------------------------------------------------------- */

su_suspects *
su_create(const su_desc *desc)
{
    g_assert(desc->callbacks && desc->callbacks->known_good);
    su_suspects *suspects = g_new0(su_suspects, 1);
    suspects->desc = *desc;
    if (suspects->desc.block_crashes == 0) {
        suspects->desc.block_crashes = _SU_BLOCK_CRASHES;
    }
    suspects->blocked = g_array_new(FALSE, FALSE, sizeof(su_blocked));
    suspects->announcements =
        g_array_new(FALSE, FALSE, sizeof(su_announcement));
    return suspects;
}

void
su_destroy(su_suspects *suspects)
{
    if (suspects) {
        g_array_unref(suspects->blocked);
        g_array_unref(suspects->announcements);
        g_free(suspects);
    }
}

void
su_note_crash(su_suspects *suspects, const su_crash *crash, uint64_t now_us)
{
    su_record *record = _su_find_or_add(suspects, crash, now_us);
    suspects->latest_us = now_us;
    for (uint32_t i = 0; i < crash->candidate_count; i++) {
        su_candidate candidate = crash->candidates[i];
        if (candidate.likelihood) {
            _su_remove_answered_parts(suspects, &candidate.content,
                                      record->at_us, now_us);
            _su_add_candidate(record, &candidate);
            _su_plan_announcements(suspects, &candidate.content, now_us);
            record->counted = false;
        }
    }
}

void
su_note_good(su_suspects *suspects, const su_content *content,
             uint64_t began_us)
{
    for (uint32_t i = 0; i < content->part_count; i++) {
        uint64_t part = content->parts[i];
        uint64_t before_us = su_query_last_good_us(suspects, part);
        bool often = before_us && began_us < before_us + _SU_OFTEN_US;
        su_remember_good(suspects, part, began_us);
        if (su_query_active(suspects)) {
            _su_clear_and_tell(suspects, part, often, began_us);
        }
    }
    if (content->fingerprint) {
        _su_clear_and_tell(suspects, content->fingerprint, false, began_us);
    }
}

void
su_note_cleared(su_suspects *suspects, uint64_t item, uint64_t began_us)
{
    /* If the item is a fingerprint, it only takes the place of a part. */
    su_remember_good(suspects, item, began_us);
    su_cancel_announcement(suspects, item);
    _su_clear(suspects, item, false, began_us);
    const su_blocked *entry = su_find_blocked(suspects, item);
    if (entry && _su_is_doubtful(suspects, &entry->block)) {
        _su_remove_blocked(suspects, entry);
    }
}

void
su_adopt(su_suspects *suspects, const su_block *block, uint64_t now_us)
{
    for (uint32_t i = 0; i < SU_MAX_CLEARED; i++) {
        const su_cleared *cleared = &suspects->cleared[i];
        if (cleared->item == block->item &&
            cleared->began_us >= block->first_crash_us) {
            /* The other instance has missed that it was cleared. */
            suspects->desc.callbacks->cleared(cleared->item, cleared->began_us,
                                              suspects->desc.user_data);
            return;
        }
    }
    su_blocked *known = su_find_blocked(suspects, block->item);
    if (!known && _su_is_doubtful(suspects, block)) {
        su_plan_announcement(suspects, block->item, now_us);
        return;
    }
    if (!known) {
        _su_add_blocked(suspects, block);
        return;
    }
    known->block.crashes = MAX(known->block.crashes, block->crashes);
    known->block.since_us = MIN(known->block.since_us, block->since_us);
}

void
su_tick(su_suspects *suspects, uint64_t now_us)
{
    bool any = false;
    suspects->latest_us = now_us;
    su_send_announcements(suspects, now_us);
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        su_record *record = &suspects->records[i];
        if (!record->counted && now_us >= record->due_us) {
            _su_count_record(suspects, record);
            any = true;
        }
    }
    if (any) {
        _su_block_items(suspects, now_us);
    }
}

/* Returns when a probe of the item may be sent next, at now_us or later. */
static uint64_t
_su_next_probe_us(const su_suspects *suspects, const su_blocked *entry,
                  uint64_t now_us)
{
    const su_block *block = &entry->block;
    uint32_t least = suspects->desc.block_crashes;
    uint64_t due_us =
        block->since_us + _su_probe_offset_us(block, least, now_us);
    if (now_us >= due_us && entry->probed_us >= due_us) {
        due_us =
            block->since_us +
            _su_probe_offset_us(block, least, due_us + _SU_PROBE_WINDOW_US);
    }
    return due_us;
}

/* Calls back for each blocked item of a content. */
static void
_su_each_blocked_item(const su_suspects *suspects, const su_content *content,
                      void (*call)(su_blocked *entry, void *user_data),
                      void *user_data)
{
    su_blocked *entry = su_find_blocked(suspects, content->fingerprint);
    if (entry) {
        call(entry, user_data);
    }
    for (uint32_t i = 0; i < content->part_count; i++) {
        entry = su_find_blocked(suspects, content->parts[i]);
        if (entry) {
            call(entry, user_data);
        }
    }
}

typedef struct _su_check {
    const su_suspects *suspects;
    uint64_t now_us;
    uint32_t count;  /* of blocked items */
    uint64_t due_us; /* when the last of their probes is due */
} _su_check;

static void
_su_check_item(su_blocked *entry, void *user_data)
{
    _su_check *check = user_data;
    uint64_t due_us = _su_next_probe_us(check->suspects, entry, check->now_us);
    check->count++;
    check->due_us = MAX(check->due_us, due_us);
}

static void
_su_note_probed(su_blocked *entry, void *user_data)
{
    entry->probed_us = *(const uint64_t *)user_data;
}

void
su_note_probe(su_suspects *suspects, const su_content *content,
              uint64_t now_us)
{
    _su_each_blocked_item(suspects, content, _su_note_probed, &now_us);
}

su_status
su_check(const su_suspects *suspects, const su_content *content,
         uint64_t now_us, su_verdict *out)
{
    _su_check check = {.suspects = suspects, .now_us = now_us};
    _su_each_blocked_item(suspects, content, _su_check_item, &check);
    if (check.count == 0) {
        return SU_FREE;
    }
    *out = (su_verdict){0};
    if (check.count > 1) {
        check.due_us += _SU_SHARED_PROBE_DELAY_US;
    }
    if (now_us >= check.due_us) {
        return SU_PROBE;
    }
    out->retry_ms = (uint32_t)((check.due_us - now_us) / 1000);
    return SU_REFUSED;
}

bool
su_query_active(const su_suspects *suspects)
{
    return suspects->record_count > 0 || suspects->blocked->len > 0;
}

bool
su_query_pending(const su_suspects *suspects)
{
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        if (!suspects->records[i].counted) {
            return true;
        }
    }
    return suspects->announcements->len > 0;
}

uint32_t
su_query_blocked_count(const su_suspects *suspects)
{
    return suspects->blocked->len;
}

void
su_each_blocked(const su_suspects *suspects, su_block_callback call,
                void *user_data)
{
    for (guint i = 0; i < suspects->blocked->len; i++) {
        call(&g_array_index(suspects->blocked, su_blocked, i).block,
             user_data);
    }
}
