/*
 * document.c: the sets of entries, their references to each other, and the
 * parser of the INI document.
 */
#include "document.h"

#include <string.h>

/* The groups of one kind. Versions of a configuration share the set unless one
   of its groups is edited. */
typedef struct dc_set {
    GPtrArray *entries; /* dc_entry, in order of names */
} dc_set;

struct dc_config {
    dc_set *sets[DC_KIND_NUM];
    GHashTable *keys; /* SHA-256 in hex -> dc_key, owned by the teams */
};

/* -- private: sets -------------------------------------------------------- */

static void
_dc_set_clear(void *data)
{
    dc_set *set = data;
    g_ptr_array_unref(set->entries);
}

static void
_dc_set_release(dc_set *set)
{
    g_atomic_rc_box_release_full(set, _dc_set_clear);
}

static dc_set *
_dc_set_create(uint32_t size)
{
    dc_set *set = g_atomic_rc_box_new0(dc_set);
    set->entries = g_ptr_array_new_full(size, (GDestroyNotify)dc_entry_unref);
    return set;
}

static void
_dc_set_add(dc_set *set, dc_entry *entry)
{
    g_ptr_array_add(set->entries, dc_entry_ref(entry));
}

static int
_dc_compare_names(const void *a, const void *b)
{
    const dc_entry *left = *(dc_entry *const *)a;
    const dc_entry *right = *(dc_entry *const *)b;
    return strcmp(left->name, right->name);
}

/* Creates a set from the added entries of a kind and from those of another set
   (NULL: none) whose groups are not in edited, in order of names. */
static dc_set *
_dc_set_merge(const dc_set *from, const GPtrArray *added, dc_kind kind,
              GHashTable *edited)
{
    g_autoptr(GPtrArray) sorted = g_ptr_array_new();
    for (uint32_t i = 0; i < added->len; i++) {
        dc_entry *entry = g_ptr_array_index(added, i);
        if (entry->kind == kind) {
            g_ptr_array_add(sorted, entry);
        }
    }
    g_ptr_array_sort(sorted, _dc_compare_names);
    uint32_t before = from ? from->entries->len : 0;
    dc_set *set = _dc_set_create(before + sorted->len);
    uint32_t next = 0;
    for (uint32_t i = 0; i < before; i++) {
        dc_entry *entry = g_ptr_array_index(from->entries, i);
        if (g_hash_table_contains(edited, entry->group)) {
            continue;
        }
        while (next < sorted->len &&
               _dc_compare_names(&sorted->pdata[next], &entry) < 0) {
            _dc_set_add(set, sorted->pdata[next++]);
        }
        _dc_set_add(set, entry);
    }
    while (next < sorted->len) {
        _dc_set_add(set, sorted->pdata[next++]);
    }
    return set;
}

/* -- private: lifetime ---------------------------------------------------- */

static void
_dc_config_clear(void *data)
{
    dc_config *config = data;
    g_clear_pointer(&config->keys, g_hash_table_unref);
    for (uint32_t i = 0; i < DC_KIND_NUM; i++) {
        g_clear_pointer(&config->sets[i], _dc_set_release);
    }
}

dc_config *
dc_ref(dc_config *config)
{
    return g_atomic_rc_box_acquire(config);
}

void
dc_unref(dc_config *config)
{
    if (config) {
        g_atomic_rc_box_release_full(config, _dc_config_clear);
    }
}

/* Adds the groups that exist exactly once, with their defaults, if the
   document does not have them. */
static er_code
_dc_add_default_groups(dc_config *config, const char *file, er_status *status)
{
    for (uint32_t kind = DC_DEPLOYMENT; kind <= DC_TOLERANCES; kind++) {
        const char *group = dc_query_kind_name((dc_kind)kind);
        if (config->sets[kind]->entries->len > 0) {
            continue;
        }
        dc_entry *entry = NULL;
        er_code code =
            dc_entry_create(file, group, g_new0(char *, 1), &entry, status);
        if (code != ER_OK) {
            return code;
        }
        _dc_set_add(config->sets[kind], entry);
        dc_entry_unref(entry);
    }
    return ER_OK;
}

/* -- private: references between groups ----------------------------------- */

static er_code
_dc_check_reference(const dc_config *config, const char *file,
                    const dc_entry *entry, const char *key, dc_kind kind,
                    const char *name, er_status *status)
{
    if (dc_document_query_by_name(config, kind, name)) {
        return ER_OK;
    }
    return er_set(status, ER_SETTING_CONFLICT,
                  "%s: [%s] %s = %s: must be the name of a [%s NAME] group",
                  file, entry->group, key, name, dc_query_kind_name(kind));
}

static er_code
_dc_check_adapter(dc_config *config, const char *file, const dc_entry *entry,
                  GHashTable *addresses, er_status *status)
{
    (void)addresses;
    const dc_adapter *adapter = &entry->as.adapter;
    er_code code = _dc_check_reference(config, file, entry, "model", DC_MODEL,
                                       adapter->model, status);
    if (code != ER_OK) {
        return code;
    }
    return _dc_check_reference(config, file, entry, "team", DC_TEAM,
                               adapter->team, status);
}

static er_code
_dc_check_operation(dc_config *config, const char *file, const dc_entry *entry,
                    GHashTable *addresses, er_status *status)
{
    (void)addresses;
    for (char **name = entry->as.operation.servers; *name; name++) {
        er_code code = _dc_check_reference(config, file, entry, "servers",
                                           DC_SERVER, *name, status);
        if (code != ER_OK) {
            return code;
        }
        if (dc_query_server(config, *name)->kind != DC_SERVER_SERVICE) {
            return er_set(status, ER_SETTING_CONFLICT,
                          "%s: [%s] servers = %s: must be a server with "
                          "kind = service",
                          file, entry->group, *name);
        }
    }
    return ER_OK;
}

static er_code
_dc_check_team(dc_config *config, const char *file, const dc_entry *entry,
               GHashTable *addresses, er_status *status)
{
    (void)addresses;
    const dc_team *team = &entry->as.team;
    for (uint32_t i = 0; i < team->key_count; i++) {
        const dc_key *key = &team->keys[i];
        const dc_key *other = g_hash_table_lookup(config->keys, key->hash);
        if (other) {
            return er_set(
                status, ER_SETTING_CONFLICT,
                "%s: [%s] keys, entry %u: the key is already used by "
                "[team %s]",
                file, entry->group, i + 1, other->team);
        }
        g_hash_table_insert(config->keys, (char *)key->hash, (void *)key);
    }
    return ER_OK;
}

static er_code
_dc_check_server(dc_config *config, const char *file, const dc_entry *entry,
                 GHashTable *addresses, er_status *status)
{
    const dc_server *server = &entry->as.server;
    const char *other = g_hash_table_lookup(addresses, server->address);
    if (other) {
        return er_set(status, ER_SETTING_CONFLICT,
                      "%s: [%s] address = %s: already used by [%s]", file,
                      entry->group, server->address, other);
    }
    g_hash_table_insert(addresses, server->address, entry->group);
    return _dc_check_reference(config, file, entry, "zone", DC_ZONE,
                               server->zone, status);
}

typedef er_code (*dc_check)(dc_config *config, const char *file,
                            const dc_entry *entry, GHashTable *addresses,
                            er_status *status);

/* The check of each entry of a kind against the other entries, and the kinds
   that this check reads. */
static const struct {
    dc_check check;
    dc_kind reads[2];
} checks[DC_KIND_NUM] = {
    [DC_SERVER] = {_dc_check_server, {DC_SERVER, DC_ZONE}},
    [DC_TEAM] = {_dc_check_team, {DC_TEAM, DC_TEAM}},
    [DC_ADAPTER] = {_dc_check_adapter, {DC_MODEL, DC_TEAM}},
    [DC_OPERATION] = {_dc_check_operation, {DC_SERVER, DC_SERVER}},
};

static bool
_dc_changed(const dc_config *config, const dc_config *from, dc_kind kind)
{
    return !from || config->sets[kind] != from->sets[kind];
}

static er_code
_dc_check_entries(dc_config *config, const char *file, dc_kind kind,
                  er_status *status)
{
    g_autoptr(GHashTable) addresses =
        g_hash_table_new(g_str_hash, g_str_equal);
    const GPtrArray *entries = config->sets[kind]->entries;
    for (uint32_t i = 0; i < entries->len; i++) {
        er_code code = checks[kind].check(
            config, file, g_ptr_array_index(entries, i), addresses, status);
        if (code != ER_OK) {
            return code;
        }
    }
    return ER_OK;
}

/* Checks each kind that changed or whose check reads a kind that changed. */
static er_code
_dc_check_affected(dc_config *config, const char *file, const dc_config *from,
                   er_status *status)
{
    if (dc_query_count(config, DC_OPERATION) > DC_OPERATION_CAPACITY) {
        return er_set(status, ER_SETTING_RANGE,
                      "%s: %u [operation NAME] groups, at most %d are allowed",
                      file, dc_query_count(config, DC_OPERATION),
                      DC_OPERATION_CAPACITY);
    }
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        bool affected = checks[kind].check &&
                        (_dc_changed(config, from, (dc_kind)kind) ||
                         _dc_changed(config, from, checks[kind].reads[0]) ||
                         _dc_changed(config, from, checks[kind].reads[1]));
        if (!affected) {
            continue;
        }
        er_code code = _dc_check_entries(config, file, (dc_kind)kind, status);
        if (code != ER_OK) {
            return code;
        }
    }
    return ER_OK;
}

/* -- the document --------------------------------------------------------- */

static bool
_dc_is_edited(GHashTable *edited, dc_kind kind)
{
    GHashTableIter iter;
    void *group = NULL;
    g_hash_table_iter_init(&iter, edited);
    while (g_hash_table_iter_next(&iter, &group, NULL)) {
        if (dc_query_group_kind(group, NULL) == kind) {
            return true;
        }
    }
    return false;
}

er_code
dc_document_create(const char *file, const dc_config *from, GHashTable *edited,
                   const GPtrArray *entries, dc_config **result,
                   er_status *status)
{
    g_autoptr(dc_config) config = g_atomic_rc_box_new0(dc_config);
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        dc_set *old = from ? from->sets[kind] : NULL;
        bool shared = old && !_dc_is_edited(edited, (dc_kind)kind);
        config->sets[kind] =
            shared ? g_atomic_rc_box_acquire(old)
                   : _dc_set_merge(old, entries, (dc_kind)kind, edited);
    }
    er_code code = _dc_add_default_groups(config, file, status);
    if (code != ER_OK) {
        return code;
    }
    bool same_keys = !_dc_changed(config, from, DC_TEAM);
    config->keys = same_keys ? g_hash_table_ref(from->keys)
                             : g_hash_table_new(g_str_hash, g_str_equal);
    code = _dc_check_affected(config, file, from, status);
    if (code == ER_OK) {
        *result = g_steal_pointer(&config);
    }
    return code;
}

/* -- private: parsing ----------------------------------------------------- */

static er_code
_dc_read_pairs(GKeyFile *parsed, const char *file, const char *group,
               char ***result, er_status *status)
{
    g_auto(GStrv) names = g_key_file_get_keys(parsed, group, NULL, NULL);
    g_autoptr(GStrvBuilder) pairs = g_strv_builder_new();
    for (char **name = names; name && *name; name++) {
        g_autoptr(GError) error = NULL;
        g_autofree char *value =
            g_key_file_get_string(parsed, group, *name, &error);
        if (!value) {
            return er_set(status, ER_SETTING_TYPE, "%s: [%s] %s: %s", file,
                          group, *name, error->message);
        }
        g_strv_builder_add(pairs, *name);
        g_strv_builder_add(pairs, g_strstrip(value));
    }
    *result = g_strv_builder_end(pairs);
    return ER_OK;
}

static er_code
_dc_read_group(GKeyFile *parsed, const char *file, const char *group,
               GPtrArray *entries, er_status *status)
{
    char **pairs = NULL;
    er_code code = _dc_read_pairs(parsed, file, group, &pairs, status);
    if (code != ER_OK) {
        return code;
    }
    dc_entry *entry = NULL;
    code = dc_entry_create(file, group, pairs, &entry, status);
    if (code == ER_OK) {
        g_ptr_array_add(entries, entry);
    }
    return code;
}

er_code
dc_parse(const char *text, const char *file, dc_config **config,
         er_status *status)
{
    g_autoptr(GKeyFile) parsed = g_key_file_new();
    g_autoptr(GError) error = NULL;
    if (!g_key_file_load_from_data(parsed, text, (gsize)-1, G_KEY_FILE_NONE,
                                   &error)) {
        return er_set(status, ER_FILE, "%s: %s", file, error->message);
    }
    g_autoptr(GPtrArray) entries =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_entry_unref);
    g_auto(GStrv) groups = g_key_file_get_groups(parsed, NULL);
    for (char **group = groups; *group; group++) {
        er_code code = _dc_read_group(parsed, file, *group, entries, status);
        if (code != ER_OK) {
            return code;
        }
    }
    g_autoptr(GHashTable) edited = g_hash_table_new(g_str_hash, g_str_equal);
    return dc_document_create(file, NULL, edited, entries, config, status);
}

er_code
dc_load_file(const char *file, dc_config **config, er_status *status)
{
    g_autofree char *text = NULL;
    g_autoptr(GError) error = NULL;
    if (!g_file_get_contents(file, &text, NULL, &error)) {
        return er_set(status, ER_FILE, "%s: %s", file, error->message);
    }
    return dc_parse(text, file, config, status);
}

/* -- queries -------------------------------------------------------------- */

const dc_entry *
dc_document_query_entry(const dc_config *config, const char *group)
{
    const char *name = NULL;
    dc_kind kind = dc_query_group_kind(group, &name);
    return kind == DC_KIND_NUM ? NULL
                               : dc_document_query_by_name(config, kind, name);
}

const GPtrArray *
dc_document_query_entries(const dc_config *config, dc_kind kind)
{
    return config->sets[kind]->entries;
}

bool
dc_document_query_shared(const dc_config *a, const dc_config *b, dc_kind kind)
{
    return a->sets[kind] == b->sets[kind];
}

const dc_entry *
dc_document_query_by_name(const dc_config *config, dc_kind kind,
                          const char *name)
{
    const GPtrArray *entries = config->sets[kind]->entries;
    uint32_t low = 0;
    uint32_t high = entries->len;
    while (low < high) {
        uint32_t middle = low + (high - low) / 2;
        const dc_entry *entry = g_ptr_array_index(entries, middle);
        int order = strcmp(name, entry->name);
        if (order == 0) {
            return entry;
        }
        low = order > 0 ? middle + 1 : low;
        high = order < 0 ? middle : high;
    }
    return NULL;
}

const dc_entry *
dc_document_query_at(const dc_config *config, dc_kind kind, uint32_t index)
{
    g_assert(index < dc_query_count(config, kind));
    return g_ptr_array_index(config->sets[kind]->entries, index);
}

uint32_t
dc_query_count(const dc_config *config, dc_kind kind)
{
    return config->sets[kind]->entries->len;
}

const dc_key *
dc_query_key(const dc_config *config, const char *hash)
{
    return g_hash_table_lookup(config->keys, hash);
}
