/* query.c: look-ups in a configuration and its INI text. */
#include "document.h"

#include <string.h>

/* -- groups that exist exactly once --------------------------------------- */

const dc_deployment *
dc_query_deployment(const dc_config *config)
{
    return &dc_document_query_at(config, DC_DEPLOYMENT, 0)->as.deployment;
}

const dc_limits *
dc_query_limits(const dc_config *config)
{
    return &dc_document_query_at(config, DC_LIMITS, 0)->as.limits;
}

const dc_tolerances *
dc_query_tolerances(const dc_config *config)
{
    return &dc_document_query_at(config, DC_TOLERANCES, 0)->as.tolerances;
}

/* -- families: by name and by index --------------------------------------- */

#define DC_LOOKUPS(kind, field)                                               \
    const dc_##field *dc_query_##field(const dc_config *config,               \
                                       const char *name)                      \
    {                                                                         \
        const dc_entry *entry =                                               \
            dc_document_query_by_name(config, kind, name);                    \
        return entry ? &entry->as.field : NULL;                               \
    }                                                                         \
    const dc_##field *dc_query_##field##_at(const dc_config *config,          \
                                            uint32_t index)                   \
    {                                                                         \
        return &dc_document_query_at(config, kind, index)->as.field;          \
    }

DC_LOOKUPS(DC_ZONE, zone)
DC_LOOKUPS(DC_SERVER, server)
DC_LOOKUPS(DC_MODEL, model)
DC_LOOKUPS(DC_TEAM, team)
DC_LOOKUPS(DC_ADAPTER, adapter)
DC_LOOKUPS(DC_OPERATION, operation)

/* -- keys and adapters ---------------------------------------------------- */

const dc_key *
dc_query_key_by_secret(const dc_config *config, const char *secret)
{
    g_autofree char *hash =
        g_compute_checksum_for_string(G_CHECKSUM_SHA256, secret, -1);
    return dc_query_key(config, hash);
}

static const char *
_dc_find_version(const dc_adapter *adapter, const char *version)
{
    for (char **known = adapter->versions; *known; known++) {
        if (strcmp(*known, version) == 0) {
            return *known;
        }
    }
    return NULL;
}

bool
dc_query_adapter_has_version(const dc_adapter *adapter, const char *version)
{
    return _dc_find_version(adapter, version) != NULL;
}

static const char *
_dc_version_by_share(const dc_adapter *adapter, uint32_t bucket)
{
    uint32_t cumulative_pct = 0;
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        cumulative_pct += adapter->share_pct[i];
        if (bucket < cumulative_pct) {
            return adapter->versions[i];
        }
    }
    return adapter->versions[adapter->version_count - 1];
}

er_code
dc_query_resolve(const dc_config *config, const char *name, uint32_t bucket,
                 const dc_adapter **adapter, const char **version,
                 er_status *status)
{
    g_assert(bucket < DC_SHARE_TOTAL_PCT);
    const char *separator = strchr(name, '@');
    g_autofree char *base =
        separator ? g_strndup(name, (gsize)(separator - name)) : NULL;
    *adapter = dc_query_adapter(config, base ? base : name);
    if (!*adapter) {
        return er_set(status, ER_UNKNOWN_MODEL, "unknown adapter %s",
                      base ? base : name);
    }
    *version = separator ? _dc_find_version(*adapter, separator + 1)
                         : _dc_version_by_share(*adapter, bucket);
    if (!*version) {
        return er_set(status, ER_UNKNOWN_MODEL, "adapter %s has no version %s",
                      base, separator + 1);
    }
    return ER_OK;
}

/* -- the document as text ------------------------------------------------- */

const char *
dc_query_value(const dc_config *config, const char *group, const char *key)
{
    const dc_entry *entry = dc_document_query_entry(config, group);
    return entry ? dc_entry_query_value(entry, key) : NULL;
}

bool
dc_query_has_group(const dc_config *config, const char *group)
{
    return dc_document_query_entry(config, group) != NULL;
}

/* Writes a group of a family even if it is empty, because its existence is
   information; an empty group that exists once is omitted. GKeyFile has no
   call that adds an empty group, so a key is set and removed. */
static void
_dc_write_entry(const dc_entry *entry, GKeyFile *file)
{
    for (char **pair = entry->pairs; *pair; pair += 2) {
        g_key_file_set_string(file, entry->group, pair[0], pair[1]);
    }
    if (!entry->pairs[0] && *entry->name) {
        g_key_file_set_string(file, entry->group, "name", "");
        g_key_file_remove_key(file, entry->group, "name", NULL);
    }
}

char *
dc_query_text(const dc_config *config)
{
    g_autoptr(GKeyFile) file = g_key_file_new();
    for (uint32_t kind = 0; kind < DC_KIND_NUM; kind++) {
        const GPtrArray *entries =
            dc_document_query_entries(config, (dc_kind)kind);
        for (uint32_t i = 0; i < entries->len; i++) {
            _dc_write_entry(g_ptr_array_index(entries, i), file);
        }
    }
    return g_key_file_to_data(file, NULL, NULL);
}
