#include "plan.h"

#include <string.h>

#define _PN_FIRST_FAULT_MS 1500
/* Range of the random time between the beginnings of two faults. */
#define _PN_MIN_GAP_MS 500
#define _PN_MAX_GAP_MS 1700
/* Faults drawn for one point in time before it stays without a fault. */
#define _PN_MAX_TRIES 20
/* From the end of a fault to the next one of its group, so that the group can
   recover. */
#define _PN_RECOVERY_MS 2000

typedef struct _pn_fault_info {
    const char *name;
    const char *members;
    uint32_t min_ms;
    uint32_t max_ms;
} _pn_fault_info;

static const _pn_fault_info _pn_fault_infos[PN_FAULT_NUM] = {
#define PN_INFO(code, name, members, min, max)                                \
    [code] = {name, members, min, max},
    PN_FAULTS(PN_INFO)
#undef PN_INFO
};

typedef struct _pn_generator {
    GRand *random;
    GArray *steps;
    GHashTable *busy_until_ms; /* group -> ms from the start of the run */
    bool has_left;             /* only one server leaves in a run */
} _pn_generator;

/* -- private -------------------------------------------------------------- */

static int
_pn_compare_time(const void *left, const void *right)
{
    const pn_step *a = left;
    const pn_step *b = right;
    return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

/* Members that must not have faults at the same time share a group. */
static const char *
_pn_find_group(const char *member)
{
    if (strlen(member) == 1) {
        return "daemons";
    }
    return member[0] == 'e' || g_str_equal(member, "poison") ? "engines"
                                                             : member;
}

static const char *
_pn_choose_member(_pn_generator *generator, const char *members)
{
    g_auto(GStrv) names = g_strsplit(members, " ", -1);
    gint32 count = (gint32)g_strv_length(names);
    return g_intern_string(
        names[g_rand_int_range(generator->random, 0, count)]);
}

static void
_pn_add_step(_pn_generator *generator, uint32_t at_ms, pn_fault fault,
             const char *member, bool is_end)
{
    pn_step step = {
        .at_ms = at_ms, .fault = fault, .member = member, .is_end = is_end};
    g_array_append_val(generator->steps, step);
}

/* Draws a fault, its member and its duration. Returns false, and adds nothing,
   if the fault does not fit at this time. */
static bool
_pn_try_fault(_pn_generator *generator, uint32_t at_ms, uint32_t length_ms)
{
    pn_fault fault =
        (pn_fault)g_rand_int_range(generator->random, 0, PN_FAULT_NUM);
    const _pn_fault_info *info = &_pn_fault_infos[fault];
    const char *member = _pn_choose_member(generator, info->members);
    const char *group = _pn_find_group(member);
    uint32_t duration_ms = (uint32_t)g_rand_int_range(
        generator->random, (gint32)info->min_ms, (gint32)info->max_ms + 1);
    gsize free_at_ms =
        GPOINTER_TO_SIZE(g_hash_table_lookup(generator->busy_until_ms, group));
    bool second_leaving = fault == PN_LEAVING && generator->has_left;
    if (second_leaving || free_at_ms > at_ms ||
        at_ms + duration_ms > length_ms) {
        return false;
    }
    _pn_add_step(generator, at_ms, fault, member, false);
    if (fault == PN_LEAVING) {
        generator->has_left = true;
        return true;
    }
    _pn_add_step(generator, at_ms + duration_ms, fault, member, true);
    g_hash_table_insert(
        generator->busy_until_ms, (void *)group,
        GSIZE_TO_POINTER(at_ms + duration_ms + _PN_RECOVERY_MS));
    return true;
}

/* -- public --------------------------------------------------------------- */

GArray *
pn_create(uint64_t seed, uint32_t length_ms)
{
    _pn_generator generator = {
        .random = g_rand_new_with_seed((guint32)seed),
        .steps = g_array_new(FALSE, FALSE, sizeof(pn_step)),
        .busy_until_ms = g_hash_table_new(g_str_hash, g_str_equal),
    };
    uint32_t at_ms = _PN_FIRST_FAULT_MS;
    while (at_ms < length_ms) {
        for (int i = 0; i < _PN_MAX_TRIES; i++) {
            if (_pn_try_fault(&generator, at_ms, length_ms)) {
                break;
            }
        }
        at_ms += (uint32_t)g_rand_int_range(generator.random, _PN_MIN_GAP_MS,
                                            _PN_MAX_GAP_MS);
    }
    g_array_sort(generator.steps, _pn_compare_time);
    g_hash_table_unref(generator.busy_until_ms);
    g_rand_free(generator.random);
    return generator.steps;
}

const char *
pn_query_name(pn_fault fault)
{
    return _pn_fault_infos[fault].name;
}
