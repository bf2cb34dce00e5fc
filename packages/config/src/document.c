/* The sets of entries, reading and writing the whole document. */
#include "document.h"

#include <string.h>

struct dc_config {
    GPtrArray *entries;               /* by kind, then by name */
    GHashTable *by_group;             /* group -> dc_entry */
    GHashTable *by_name[DC_KIND_NUM]; /* name -> dc_entry */
    uint32_t first[DC_KIND_NUM + 1];  /* of a kind in entries */
    GHashTable *keys;                 /* hash -> dc_key */
};

/* -- private: life -------------------------------------------------------- */

static void
_dc_config_clear(void *data)
{
    dc_config *config = data;
    g_clear_pointer(&config->keys, g_hash_table_unref);
    for (uint32_t i = 0; i < DC_KIND_NUM; i++) {
        g_clear_pointer(&config->by_name[i], g_hash_table_unref);
    }
    g_clear_pointer(&config->by_group, g_hash_table_unref);
    g_clear_pointer(&config->entries, g_ptr_array_unref);
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

/* -- private: building ---------------------------------------------------- */

static int
_dc_compare(const void *a, const void *b)
{
    const dc_entry *left = *(dc_entry *const *)a;
    const dc_entry *right = *(dc_entry *const *)b;
    if (left->kind != right->kind) {
        return left->kind < right->kind ? -1 : 1;
    }
    return strcmp(left->name, right->name);
}

static void
_dc_insert(dc_config *config, dc_entry *entry)
{
    g_ptr_array_add(config->entries, dc_entry_ref(entry));
    g_hash_table_insert(config->by_group, entry->group, entry);
    g_hash_table_insert(config->by_name[entry->kind], (char *)entry->name,
                        entry);
}

/* The groups that stand once are always there, with their defaults. */
static er_code
_dc_insert_singles(dc_config *config, const char *file, er_status *status)
{
    for (uint32_t kind = DC_DEPLOYMENT; kind <= DC_TOLERANCES; kind++) {
        const char *group = dc_query_kind_name((dc_kind)kind);
        if (g_hash_table_contains(config->by_group, group)) {
            continue;
        }
        dc_entry *entry = NULL;
        er_code code =
            dc_entry_create(file, group, g_new0(char *, 1), &entry, status);
        if (code != ER_OK) {
            return code;
        }
        _dc_insert(config, entry);
        dc_entry_unref(entry);
    }
    return ER_OK;
}

static void
_dc_index(dc_config *config)
{
    g_ptr_array_sort(config->entries, _dc_compare);
    uint32_t at = 0;
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        config->first[kind] = at;
        at += g_hash_table_size(config->by_name[kind]);
    }
    config->first[DC_KIND_NUM] = at;
}

static dc_config *
_dc_config_create(void)
{
    dc_config *config = g_atomic_rc_box_new0(dc_config);
    config->entries =
        g_ptr_array_new_with_free_func((GDestroyNotify)dc_entry_unref);
    config->by_group = g_hash_table_new(g_str_hash, g_str_equal);
    config->keys = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < DC_KIND_NUM; i++) {
        config->by_name[i] = g_hash_table_new(g_str_hash, g_str_equal);
    }
    return config;
}

/* -- private: names that lead from one group to another ------------------- */

static er_code
_dc_check_name(const dc_config *config, const char *file,
               const dc_entry *entry, const char *key, dc_kind kind,
               const char *name, er_status *status)
{
    if (dc_document_query_named(config, kind, name)) {
        return ER_OK;
    }
    return er_set(status, ER_SETTING_CONFLICT,
                  "%s: [%s] %s = %s: allowed is the name of a [%s NAME] group",
                  file, entry->group, key, name, dc_query_kind_name(kind));
}

static er_code
_dc_check_adapter(const dc_config *config, const char *file,
                  const dc_entry *entry, er_status *status)
{
    const dc_adapter *adapter = &entry->as.adapter;
    er_code code = _dc_check_name(config, file, entry, "model", DC_MODEL,
                                  adapter->model, status);
    if (code != ER_OK) {
        return code;
    }
    return _dc_check_name(config, file, entry, "team", DC_TEAM, adapter->team,
                          status);
}

static er_code
_dc_check_operation(const dc_config *config, const char *file,
                    const dc_entry *entry, er_status *status)
{
    for (char **name = entry->as.operation.servers; *name; name++) {
        er_code code = _dc_check_name(config, file, entry, "servers",
                                      DC_SERVER, *name, status);
        if (code != ER_OK) {
            return code;
        }
        if (dc_query_server(config, *name)->kind != DC_SERVER_SERVICE) {
            return er_set(status, ER_SETTING_CONFLICT,
                          "%s: [%s] servers = %s: allowed are servers with "
                          "kind = service",
                          file, entry->group, *name);
        }
    }
    return ER_OK;
}

static er_code
_dc_check_team(dc_config *config, const char *file, const dc_entry *entry,
               er_status *status)
{
    const dc_team *team = &entry->as.team;
    for (uint32_t i = 0; i < team->key_count; i++) {
        const dc_key *key = &team->keys[i];
        const dc_key *other = g_hash_table_lookup(config->keys, key->hash);
        if (other) {
            return er_set(status, ER_SETTING_CONFLICT,
                          "%s: [%s] keys, entry %u: the same key stands in "
                          "[team %s]",
                          file, entry->group, i + 1, other->team);
        }
        g_hash_table_insert(config->keys, (char *)key->hash, (void *)key);
    }
    return ER_OK;
}

static er_code
_dc_check_server(const dc_config *config, const char *file,
                 const dc_entry *entry, GHashTable *addresses,
                 er_status *status)
{
    const dc_server *server = &entry->as.server;
    const char *other = g_hash_table_lookup(addresses, server->address);
    if (other) {
        return er_set(status, ER_SETTING_CONFLICT,
                      "%s: [%s] address = %s: [%s] has it already", file,
                      entry->group, server->address, other);
    }
    g_hash_table_insert(addresses, server->address, entry->group);
    return _dc_check_name(config, file, entry, "zone", DC_ZONE, server->zone,
                          status);
}

static er_code
_dc_check_entry(dc_config *config, const char *file, const dc_entry *entry,
                GHashTable *addresses, er_status *status)
{
    switch (entry->kind) {
    case DC_SERVER:
        return _dc_check_server(config, file, entry, addresses, status);
    case DC_TEAM:
        return _dc_check_team(config, file, entry, status);
    case DC_ADAPTER:
        return _dc_check_adapter(config, file, entry, status);
    case DC_OPERATION:
        return _dc_check_operation(config, file, entry, status);
    default:
        return ER_OK;
    }
}

static er_code
_dc_check_all(dc_config *config, const char *file, er_status *status)
{
    if (dc_query_count(config, DC_OPERATION) > DC_OPERATION_CAPACITY) {
        return er_set(status, ER_SETTING_RANGE,
                      "%s: [operation NAME] groups: %u, allowed are %d", file,
                      dc_query_count(config, DC_OPERATION),
                      DC_OPERATION_CAPACITY);
    }
    g_autoptr(GHashTable) addresses =
        g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < config->entries->len; i++) {
        const dc_entry *entry = g_ptr_array_index(config->entries, i);
        er_code code = _dc_check_entry(config, file, entry, addresses, status);
        if (code != ER_OK) {
            return code;
        }
    }
    return ER_OK;
}

/* -- the document --------------------------------------------------------- */

er_code
dc_document_create(const char *file, const GPtrArray *entries,
                   dc_config **result, er_status *status)
{
    g_autoptr(dc_config) config = _dc_config_create();
    for (uint32_t i = 0; i < entries->len; i++) {
        _dc_insert(config, g_ptr_array_index(entries, i));
    }
    er_code code = _dc_insert_singles(config, file, status);
    if (code != ER_OK) {
        return code;
    }
    _dc_index(config);
    code = _dc_check_all(config, file, status);
    if (code == ER_OK) {
        *result = g_steal_pointer(&config);
    }
    return code;
}

void
dc_document_add_untouched(const dc_config *config, GHashTable *touched,
                          GPtrArray *entries)
{
    for (uint32_t i = 0; i < config->entries->len; i++) {
        dc_entry *entry = g_ptr_array_index(config->entries, i);
        if (!g_hash_table_contains(touched, entry->group)) {
            g_ptr_array_add(entries, dc_entry_ref(entry));
        }
    }
}

/* -- private: reading ----------------------------------------------------- */

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
    return dc_document_create(file, entries, config, status);
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
    return g_hash_table_lookup(config->by_group, group);
}

uint32_t
dc_document_query_entries(const dc_config *config)
{
    return config->entries->len;
}

const dc_entry *
dc_document_query_entry_at(const dc_config *config, uint32_t at)
{
    return g_ptr_array_index(config->entries, at);
}

const dc_entry *
dc_document_query_named(const dc_config *config, dc_kind kind,
                        const char *name)
{
    return g_hash_table_lookup(config->by_name[kind], name);
}

const dc_entry *
dc_document_query_nth(const dc_config *config, dc_kind kind, uint32_t at)
{
    g_assert(at < dc_query_count(config, kind));
    return g_ptr_array_index(config->entries, config->first[kind] + at);
}

uint32_t
dc_query_count(const dc_config *config, dc_kind kind)
{
    return config->first[kind + 1] - config->first[kind];
}

const dc_key *
dc_query_key(const dc_config *config, const char *hash)
{
    return g_hash_table_lookup(config->keys, hash);
}
