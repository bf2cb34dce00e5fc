#include "plan.h"

#include <string.h>

#define _PN_FIRST_MS 1500
#define _PN_GAP_LEAST_MS 500
#define _PN_GAP_MOST_MS 1700
#define _PN_TRIES 20
/* Time between two faults of one group, in which it can recover. */
#define _PN_REST_MS 2000

typedef struct _pn_kind {
    const char *name;
    const char *members;
    uint32_t least_ms;
    uint32_t most_ms;
} _pn_kind;

static const _pn_kind _pn_kinds[PN_FAULT_NUM] = {
#define PN_KIND(code, name, members, least, most)                             \
    [code] = {name, members, least, most},
    PN_FAULTS(PN_KIND)
#undef PN_KIND
};

/* What hinders a fault: members and groups of members that are out. */
typedef struct _pn_state {
    GRand *random;
    GArray *steps;
    GHashTable *busy; /* member or group -> time until, ms */
    bool left;        /* the one server that leaves has left */
} _pn_state;

/* -- private -------------------------------------------------------------- */

static int
_pn_by_time(const void *left, const void *right)
{
    const pn_step *a = left;
    const pn_step *b = right;
    return (a->at_ms > b->at_ms) - (a->at_ms < b->at_ms);
}

/* Members that must not be out together share a group. */
static const char *
_pn_group(const char *member)
{
    if (strlen(member) == 1) {
        return "daemons";
    }
    return member[0] == 'e' || g_str_equal(member, "poison") ? "engines"
                                                             : member;
}

static const char *
_pn_choose(_pn_state *state, const char *members)
{
    g_auto(GStrv) names = g_strsplit(members, " ", -1);
    gint32 count = (gint32)g_strv_length(names);
    return g_intern_string(names[g_rand_int_range(state->random, 0, count)]);
}

static void
_pn_add(_pn_state *state, uint32_t at_ms, pn_fault fault, const char *member,
        bool end)
{
    pn_step step = {
        .at_ms = at_ms, .fault = fault, .member = member, .end = end};
    g_array_append_val(state->steps, step);
}

static bool
_pn_try(_pn_state *state, uint32_t at_ms, uint32_t length_ms)
{
    pn_fault fault =
        (pn_fault)g_rand_int_range(state->random, 0, PN_FAULT_NUM);
    const _pn_kind *kind = &_pn_kinds[fault];
    const char *member = _pn_choose(state, kind->members);
    const char *group = _pn_group(member);
    uint32_t lasts_ms = (uint32_t)g_rand_int_range(
        state->random, (gint32)kind->least_ms, (gint32)kind->most_ms + 1);
    gsize until = GPOINTER_TO_SIZE(g_hash_table_lookup(state->busy, group));
    bool again = fault == PN_LEAVING && state->left;
    if (again || until > at_ms || at_ms + lasts_ms > length_ms) {
        return false;
    }
    _pn_add(state, at_ms, fault, member, false);
    if (fault == PN_LEAVING) {
        state->left = true;
        return true;
    }
    _pn_add(state, at_ms + lasts_ms, fault, member, true);
    g_hash_table_insert(state->busy, (void *)group,
                        GSIZE_TO_POINTER(at_ms + lasts_ms + _PN_REST_MS));
    return true;
}

/* -- public --------------------------------------------------------------- */

GArray *
pn_create(uint64_t seed, uint32_t length_ms)
{
    _pn_state state = {
        .random = g_rand_new_with_seed((guint32)seed),
        .steps = g_array_new(FALSE, FALSE, sizeof(pn_step)),
        .busy = g_hash_table_new(g_str_hash, g_str_equal),
    };
    uint32_t at_ms = _PN_FIRST_MS;
    while (at_ms < length_ms) {
        for (int i = 0; i < _PN_TRIES; i++) {
            if (_pn_try(&state, at_ms, length_ms)) {
                break;
            }
        }
        at_ms += (uint32_t)g_rand_int_range(state.random, _PN_GAP_LEAST_MS,
                                            _PN_GAP_MOST_MS);
    }
    g_array_sort(state.steps, _pn_by_time);
    g_hash_table_unref(state.busy);
    g_rand_free(state.random);
    return state.steps;
}

const char *
pn_query_name(pn_fault fault)
{
    return _pn_kinds[fault].name;
}
