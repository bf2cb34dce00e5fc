#include "suspects_private.h"

/* Crashes more that block an item where it was not among the likeliest
   contents: those of requests that only waited at the servers count there
   too. */
#define _SU_FURTHER_CRASHES 1
/* Time over which the crashes must come that block a part which was answered
   well before, twice that where it was not among the likeliest. Within it, a
   part that many requests share is answered again, also while servers crash.
 */
#define _SU_KNOWN_PART_SPAN_US UINT64_C(1000000)
/* Crashes less far apart have one cause outside the servers. */
#define _SU_SAME_MOMENT_US 10000
/* Older crashes do not count. */
#define _SU_CRASH_MAX_AGE_US UINT64_C(3600000000)

uint32_t
su_query_top_likelihood(const su_record *record)
{
    uint32_t top = 1;
    for (uint32_t i = 0; i < record->candidate_count; i++) {
        top = MAX(top, record->candidates[i].likelihood);
    }
    return top;
}

bool
su_contains(const su_content *content, uint64_t item)
{
    for (uint32_t i = 0; i < content->part_count; i++) {
        if (content->parts[i] == item) {
            return true;
        }
    }
    return content->fingerprint == item;
}

/* -- private: the crashes of an item -------------------------------------- */

/* Times of crashes; those of one moment count once. */
typedef struct _su_series {
    uint64_t times_us[SU_MAX_CRASHES];
    uint32_t time_count;
    uint32_t crashes; /* set by _su_finish_series() */
    uint64_t first_us;
    uint64_t last_us;
} _su_series;

static void
_su_add_time(_su_series *series, uint64_t at_us)
{
    series->times_us[series->time_count++] = at_us;
}

static int
_su_compare_times(const void *a, const void *b)
{
    uint64_t first = *(const uint64_t *)a;
    uint64_t second = *(const uint64_t *)b;
    return first < second ? -1 : first > second;
}

static void
_su_finish_series(_su_series *series)
{
    qsort(series->times_us, series->time_count, sizeof(series->times_us[0]),
          _su_compare_times);
    for (uint32_t i = 0; i < series->time_count; i++) {
        uint64_t at_us = series->times_us[i];
        if (i == 0 || at_us >= series->last_us + _SU_SAME_MOMENT_US) {
            series->crashes++;
            series->last_us = at_us;
        }
    }
    series->first_us = series->time_count ? series->times_us[0] : 0;
}

/* An item and the crashes of servers that were running it. */
typedef struct _su_standing {
    uint64_t item;
    bool is_part;
    uint32_t position; /* of a part in its prompt */
    uint64_t good_us;  /* of a part: last good answer; 0: none */
    _su_series all;
    _su_series likeliest; /* those in which it was among the likeliest */
} _su_standing;

/* Whether a server was running an item when it crashed. */
typedef enum _su_presence {
    _SU_ABSENT = 0,
    _SU_PRESENT,
    _SU_LIKELIEST /* in one of the likeliest contents */
} _su_presence;

static _su_presence
_su_query_presence(const su_record *record, uint64_t item)
{
    uint32_t top = su_query_top_likelihood(record);
    _su_presence presence = _SU_ABSENT;
    for (uint32_t i = 0; i < record->candidate_count; i++) {
        const su_candidate *candidate = &record->candidates[i];
        if (su_contains(&candidate->content, item)) {
            presence =
                MAX(presence, candidate->likelihood == top ? _SU_LIKELIEST
                                                           : _SU_PRESENT);
        }
    }
    return presence;
}

static bool
_su_counts(const su_record *record, uint64_t now_us)
{
    return now_us < record->at_us + _SU_CRASH_MAX_AGE_US;
}

/* Notes which crashes have blocked items, for _su_is_explained(). */
static void
_su_find_blocked_items(su_suspects *suspects)
{
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        su_record *record = &suspects->records[i];
        record->has_blocked_part = false;
        record->has_blocked_item = false;
        for (guint j = 0; j < suspects->blocked->len; j++) {
            const su_block *block =
                &g_array_index(suspects->blocked, su_blocked, j).block;
            if (_su_query_presence(record, block->item)) {
                record->has_blocked_item = true;
                record->has_blocked_part |= block->is_part;
            }
        }
    }
}

/* Returns whether a blocked item accounts for the crash. A blocked content
   does not where a part is judged: the part may be why it crashes servers. */
static bool
_su_is_explained(const su_record *record, bool is_part)
{
    return is_part ? record->has_blocked_part : record->has_blocked_item;
}

/* Collects the crashes that count against an item. */
static void
_su_judge(const su_suspects *suspects, _su_standing *standing, uint64_t now_us)
{
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        const su_record *record = &suspects->records[i];
        if (!_su_counts(record, now_us) ||
            _su_is_explained(record, standing->is_part)) {
            continue;
        }
        _su_presence presence = _su_query_presence(record, standing->item);
        if (presence != _SU_ABSENT) {
            _su_add_time(&standing->all, record->at_us);
        }
        if (presence == _SU_LIKELIEST) {
            _su_add_time(&standing->likeliest, record->at_us);
        }
    }
    _su_finish_series(&standing->all);
    _su_finish_series(&standing->likeliest);
}

/* Returns whether one content with the part is in all crashes of the part:
   then the whole content may be why the servers crashed. */
static bool
_su_is_one_content(const su_suspects *suspects, uint64_t part, uint64_t now_us)
{
    const su_record *first = NULL;
    uint32_t records = 0;
    uint32_t most = 0;
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        const su_record *record = &suspects->records[i];
        if (_su_counts(record, now_us) && _su_query_presence(record, part)) {
            first = first ? first : record;
            records++;
        }
    }
    for (uint32_t i = 0; first && i < first->candidate_count; i++) {
        const su_content *content = &first->candidates[i].content;
        uint32_t found = 0;
        if (!su_contains(content, part)) {
            continue;
        }
        for (uint32_t j = 0; j < su_query_kept_records(suspects); j++) {
            const su_record *record = &suspects->records[j];
            found += _su_counts(record, now_us) &&
                     _su_query_presence(record, content->fingerprint);
        }
        most = MAX(most, found);
    }
    return most == records;
}

/* -- private: the choice -------------------------------------------------- */

static bool
_su_has_enough(const _su_series *series, uint32_t crashes, uint64_t span_us)
{
    return series->crashes >= crashes &&
           series->last_us >= series->first_us + span_us;
}

static bool
_su_must_block(const su_suspects *suspects, const _su_standing *standing,
               uint64_t now_us)
{
    uint32_t crashes = suspects->desc.block_crashes;
    uint64_t span_us = 0;
    if (standing->good_us) {
        crashes = MAX(crashes, SU_KNOWN_PART_CRASHES);
        span_us = _SU_KNOWN_PART_SPAN_US;
    }
    return (_su_has_enough(&standing->likeliest, crashes, span_us) ||
            _su_has_enough(&standing->all, crashes + _SU_FURTHER_CRASHES,
                           2 * span_us)) &&
           !(standing->is_part &&
             _su_is_one_content(suspects, standing->item, now_us));
}

/* Returns whether an item accounts for the crashes better than another one: a
   part before a content, the one that was answered well longest ago, then the
   one with more crashes. Of parts that crashed servers together, the one that
   comes later in the prompt is in fewer requests. */
static bool
_su_is_better(const _su_standing *standing, const _su_standing *than)
{
    if (standing->is_part != than->is_part) {
        return standing->is_part;
    }
    if (standing->good_us != than->good_us) {
        return standing->good_us < than->good_us;
    }
    if (standing->all.crashes != than->all.crashes) {
        return standing->all.crashes > than->all.crashes;
    }
    if (standing->likeliest.crashes != than->likeliest.crashes) {
        return standing->likeliest.crashes > than->likeliest.crashes;
    }
    return standing->position > than->position;
}

/* Adds an item to those to be judged unless it is there or blocked. */
static void
_su_add_item(su_suspects *suspects, GArray *items, uint64_t item, bool is_part,
             uint32_t position)
{
    for (guint i = 0; i < items->len; i++) {
        if (g_array_index(items, _su_standing, i).item == item) {
            return;
        }
    }
    if (!su_find_blocked(suspects, item)) {
        _su_standing standing = {
            .item = item,
            .is_part = is_part,
            .position = position,
            .good_us = is_part ? su_query_last_good_us(suspects, item) : 0};
        g_array_append_val(items, standing);
    }
}

static void
_su_add_items(su_suspects *suspects, GArray *items, const su_record *record)
{
    for (uint32_t i = 0; i < record->candidate_count; i++) {
        const su_content *content = &record->candidates[i].content;
        for (uint32_t j = 0; j < content->part_count; j++) {
            _su_add_item(suspects, items, content->parts[j], true, j);
        }
        _su_add_item(suspects, items, content->fingerprint, false, 0);
    }
}

/* -- public --------------------------------------------------------------- */

uint32_t
su_count_crashes(const su_suspects *suspects, uint64_t item, uint64_t now_us)
{
    _su_series series = {0};
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        const su_record *record = &suspects->records[i];
        if (_su_counts(record, now_us) && _su_query_presence(record, item)) {
            _su_add_time(&series, record->at_us);
        }
    }
    _su_finish_series(&series);
    return series.crashes;
}

bool
su_choose_block(su_suspects *suspects, uint64_t now_us, su_block *out)
{
    g_autoptr(GArray) items = g_array_new(FALSE, FALSE, sizeof(_su_standing));
    for (uint32_t i = 0; i < su_query_kept_records(suspects); i++) {
        if (suspects->records[i].fresh) {
            _su_add_items(suspects, items, &suspects->records[i]);
        }
    }
    _su_find_blocked_items(suspects);
    const _su_standing *best = NULL;
    for (guint i = 0; i < items->len; i++) {
        _su_standing *standing = &g_array_index(items, _su_standing, i);
        _su_judge(suspects, standing, now_us);
        if (_su_must_block(suspects, standing, now_us) &&
            (!best || _su_is_better(standing, best))) {
            best = standing;
        }
    }
    if (best) {
        *out = (su_block){.item = best->item,
                          .is_part = best->is_part,
                          .crashes = best->all.crashes,
                          .first_crash_us = best->all.first_us,
                          .since_us = now_us};
    }
    return best != NULL;
}
