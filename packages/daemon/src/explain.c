#include "explain.h"

#include <glib.h>
#include <string.h>

struct ex_ring {
    ex_entry entries[EX_CAPACITY];
    uint64_t count; /* entries added in total */
};

ex_ring *
ex_create(void)
{
    return g_new0(ex_ring, 1);
}

void
ex_destroy(ex_ring *ring)
{
    g_free(ring);
}

void
ex_add(ex_ring *ring, const ex_entry *entry)
{
    ring->entries[ring->count % EX_CAPACITY] = *entry;
    ring->count++;
}

static const ex_entry *
_ex_find(const ex_ring *ring, const char *id)
{
    for (uint32_t i = 0; i < EX_CAPACITY; i++) {
        if (ring->entries[i].id[0] && strcmp(ring->entries[i].id, id) == 0) {
            return &ring->entries[i];
        }
    }
    return NULL;
}

static void
_ex_string(JsonBuilder *json, const char *name, const char *value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_string_value(json, value);
}

static void
_ex_int(JsonBuilder *json, const char *name, uint32_t value)
{
    json_builder_set_member_name(json, name);
    json_builder_add_int_value(json, value);
}

bool
ex_query_json(const ex_ring *ring, const char *id, const char *team,
              JsonBuilder *json)
{
    const ex_entry *entry = _ex_find(ring, id);
    if (!entry || (team && strcmp(entry->team, team) != 0)) {
        return false;
    }
    json_builder_begin_object(json);
    _ex_string(json, "request", entry->id);
    _ex_string(json, "team", entry->team);
    _ex_string(json, "model", entry->model);
    _ex_string(json, "server", entry->server);
    _ex_string(json, "outcome", er_query_name(entry->code));
    _ex_string(json, "ran", dr_query_ran_name(entry->ran));
    _ex_int(json, "tokens", entry->tokens);
    _ex_int(json, "attempts", entry->attempts);
    _ex_int(json, "first_token_ms", entry->first_token_ms);
    _ex_int(json, "total_ms", entry->total_ms);
    _ex_int(json, "deadline_ms", entry->deadline_ms);
    json_builder_set_member_name(json, "replayed");
    json_builder_add_boolean_value(json, entry->replayed);
    json_builder_end_object(json);
    return true;
}
