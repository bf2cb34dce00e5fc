/* entry.c: the kinds of groups, and the validation of one group. */
#include "entry.h"

#include <gio/gio.h>
#include <string.h>

/* -- names ---------------------------------------------------------------- */

static const struct {
    const char *name;
    bool family;
} kinds[DC_KIND_NUM] = {
#define DC_ROW(code, text, is_family)                                         \
    [code] = {.name = (text), .family = (is_family)},
    DC_KINDS(DC_ROW)
#undef DC_ROW
};

static const char *const role_names[DC_ROLE_NUM + 1] = {"caller", "editor",
                                                        "operator", NULL};

const char *
dc_query_kind_name(dc_kind kind)
{
    return kinds[kind].name;
}

const char *
dc_query_role_name(dc_role role)
{
    return role_names[role];
}

dc_kind
dc_query_group_kind(const char *group, const char **name)
{
    for (uint32_t i = 0; i < DC_KIND_NUM; i++) {
        size_t length = strlen(kinds[i].name);
        if (strncmp(group, kinds[i].name, length) != 0) {
            continue;
        }
        char end = group[length];
        if (end != (kinds[i].family ? ' ' : '\0')) {
            continue;
        }
        if (name) {
            *name = kinds[i].family ? group + length + 1 : "";
        }
        return (dc_kind)i;
    }
    return DC_KIND_NUM;
}

bool
dc_query_is_valid_name(const char *name)
{
    size_t length = strspn(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                 "abcdefghijklmnopqrstuvwxyz"
                                 "0123456789._-");
    return length > 0 && length <= DC_NAME_BYTES_MAX && name[length] == '\0';
}

/* -- private: checks of names and single values --------------------------- */

/* A key file with one group, for the settings loader. */
static GKeyFile *
_dc_key_file(const char *group, char **pairs)
{
    GKeyFile *parsed = g_key_file_new();
    for (char **pair = pairs; *pair; pair += 2) {
        g_key_file_set_string(parsed, group, pair[0], pair[1]);
    }
    return parsed;
}

static er_code
_dc_set_error(er_status *status, er_code code, const char *file,
              const char *group, const char *why)
{
    return er_set(status, code, "%s: [%s] %s", file, group, why);
}

static er_code
_dc_check_group_name(const char *file, const char *group, dc_entry *entry,
                     er_status *status)
{
    entry->kind = dc_query_group_kind(group, &entry->name);
    if (entry->kind == DC_KIND_NUM) {
        return _dc_set_error(status, ER_SETTING_UNKNOWN, file, group,
                             "unknown group: must be deployment, limits or "
                             "tolerances, or zone, server, model, team, "
                             "adapter or operation followed by a name");
    }
    if (kinds[entry->kind].family && !dc_query_is_valid_name(entry->name)) {
        return _dc_set_error(
            status, ER_SETTING_RANGE, file, group,
            "name: must be 1 to 64 characters of A-Z a-z 0-9 . _ -");
    }
    return ER_OK;
}

static er_code
_dc_load_fields(const char *file, dc_entry *entry, er_status *status)
{
    const dc_key_table *table = &dc_key_tables[entry->kind];
    if (!table->count) {
        if (!entry->pairs[0]) {
            return ER_OK;
        }
        return er_set(status, ER_SETTING_UNKNOWN,
                      "%s: [%s] unknown key %s: the group has no keys", file,
                      entry->group, entry->pairs[0]);
    }
    g_autoptr(GKeyFile) parsed = _dc_key_file(entry->group, entry->pairs);
    er_code code =
        st_check_unknown(parsed, file, table->keys, table->count, status);
    if (code != ER_OK) {
        return code;
    }
    return st_load(&(st_load_desc){.file = file,
                                   .parsed = parsed,
                                   .group = entry->group,
                                   .keys = table->keys,
                                   .key_count = table->count,
                                   .out = &entry->as},
                   status);
}

/* -- private: checks beyond the key tables, and derived fields ------------ */

static er_code
_dc_complete_server(const char *file, dc_entry *entry, er_status *status)
{
    dc_server *server = &entry->as.server;
    server->name = entry->name;
    g_autoptr(GSocketConnectable) address =
        g_network_address_parse(server->address, 0, NULL);
    if (!address ||
        !g_hostname_is_ip_address(
            g_network_address_get_hostname(G_NETWORK_ADDRESS(address))) ||
        g_network_address_get_port(G_NETWORK_ADDRESS(address)) == 0) {
        return er_set(status, ER_SETTING_RANGE,
                      "%s: [%s] address = %s: must be IP:port", file,
                      entry->group, server->address);
    }
    return ER_OK;
}

/* Parses "role:hash". key->hash points into text. */
static er_code
_dc_read_key(const char *text, dc_key *key)
{
    for (uint32_t role = 0; role < DC_ROLE_NUM; role++) {
        size_t length = strlen(role_names[role]);
        if (strncmp(text, role_names[role], length) != 0 ||
            text[length] != ':') {
            continue;
        }
        key->role = (dc_role)role;
        key->hash = text + length + 1;
        size_t digits = strspn(key->hash, "0123456789abcdef");
        bool valid = digits == 64 && key->hash[digits] == '\0';
        return valid ? ER_OK : ER_SETTING_TYPE;
    }
    return ER_SETTING_TYPE;
}

static er_code
_dc_complete_team(const char *file, dc_entry *entry, er_status *status)
{
    dc_team *team = &entry->as.team;
    team->name = entry->name;
    team->key_count = g_strv_length(team->key_list);
    team->keys = g_new0(dc_key, team->key_count);
    for (uint32_t i = 0; i < team->key_count; i++) {
        team->keys[i].team = team->name;
        if (_dc_read_key(team->key_list[i], &team->keys[i]) != ER_OK) {
            return er_set(status, ER_SETTING_TYPE,
                          "%s: [%s] keys, entry %u: must be role:hash, with "
                          "role one of caller, editor, operator, and hash "
                          "64 hex digits in lower case",
                          file, entry->group, i + 1);
        }
    }
    return ER_OK;
}

static er_code
_dc_read_shares(const char *file, const dc_entry *entry, dc_adapter *adapter,
                er_status *status)
{
    uint64_t sum = 0;
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        guint64 share = 0;
        if (!g_ascii_string_to_unsigned(adapter->share_list[i], 10, 0,
                                        DC_SHARE_TOTAL_PCT, &share, NULL)) {
            return er_set(status, ER_SETTING_RANGE,
                          "%s: [%s] shares = %s: must be 0 to 100", file,
                          entry->group, adapter->share_list[i]);
        }
        adapter->share_pct[i] = (uint32_t)share;
        sum += share;
    }
    if (sum != DC_SHARE_TOTAL_PCT) {
        return er_set(status, ER_SETTING_RANGE,
                      "%s: [%s] shares: the sum is %u, must be 100", file,
                      entry->group, (uint32_t)sum);
    }
    return ER_OK;
}

static er_code
_dc_check_versions(const char *file, const dc_entry *entry,
                   const dc_adapter *adapter, er_status *status)
{
    if (adapter->version_count == 0) {
        return _dc_set_error(status, ER_SETTING_MISSING, file, entry->group,
                             "versions: at least one is required");
    }
    for (uint32_t i = 0; i < adapter->version_count; i++) {
        const char *version = adapter->versions[i];
        if (!dc_query_is_valid_name(version)) {
            return er_set(status, ER_SETTING_RANGE,
                          "%s: [%s] versions = %s: must be 1 to 64 "
                          "characters of A-Z a-z 0-9 . _ -",
                          file, entry->group, version);
        }
        for (uint32_t j = 0; j < i; j++) {
            if (strcmp(adapter->versions[j], version) == 0) {
                return er_set(status, ER_SETTING_CONFLICT,
                              "%s: [%s] versions: %s is listed twice", file,
                              entry->group, version);
            }
        }
    }
    return ER_OK;
}

static er_code
_dc_complete_adapter(const char *file, dc_entry *entry, er_status *status)
{
    dc_adapter *adapter = &entry->as.adapter;
    adapter->name = entry->name;
    adapter->version_count = g_strv_length(adapter->versions);
    er_code code = _dc_check_versions(file, entry, adapter, status);
    if (code != ER_OK) {
        return code;
    }
    adapter->share_pct = g_new0(uint32_t, adapter->version_count);
    uint32_t shares = g_strv_length(adapter->share_list);
    if (shares == 0) {
        adapter->share_pct[adapter->version_count - 1] = DC_SHARE_TOTAL_PCT;
        return ER_OK;
    }
    if (shares != adapter->version_count) {
        return er_set(status, ER_SETTING_CONFLICT,
                      "%s: [%s] shares: %u given for %u versions, must be "
                      "one for each",
                      file, entry->group, shares, adapter->version_count);
    }
    return _dc_read_shares(file, entry, adapter, status);
}

static er_code
_dc_complete_operation(const char *file, dc_entry *entry, er_status *status)
{
    dc_operation *operation = &entry->as.operation;
    operation->name = entry->name;
    if (operation->kind == DC_OPERATION_CALL) {
        return ER_OK;
    }
    if (operation->servers[0]) {
        return _dc_set_error(status, ER_SETTING_CONFLICT, file, entry->group,
                             "servers: allowed only with kind = call");
    }
    const char *value = dc_entry_query_value(entry, "idempotent");
    if (value && !operation->idempotent) {
        return _dc_set_error(
            status, ER_SETTING_CONFLICT, file, entry->group,
            "idempotent = false: allowed only with kind = call");
    }
    operation->idempotent = true;
    return ER_OK;
}

static er_code
_dc_complete(const char *file, dc_entry *entry, er_status *status)
{
    switch (entry->kind) {
    case DC_ZONE:
        entry->as.zone.name = entry->name;
        return ER_OK;
    case DC_MODEL:
        entry->as.model.name = entry->name;
        return ER_OK;
    case DC_SERVER:
        return _dc_complete_server(file, entry, status);
    case DC_TEAM:
        return _dc_complete_team(file, entry, status);
    case DC_ADAPTER:
        return _dc_complete_adapter(file, entry, status);
    case DC_OPERATION:
        return _dc_complete_operation(file, entry, status);
    default:
        return ER_OK;
    }
}

/* -- private: lifetime ---------------------------------------------------- */

static void
_dc_entry_clear(void *data)
{
    dc_entry *entry = data;
    const dc_key_table *table = &dc_key_tables[entry->kind];
    st_clear(table->keys, table->count, &entry->as);
    if (entry->kind == DC_TEAM) {
        g_free(entry->as.team.keys);
    }
    if (entry->kind == DC_ADAPTER) {
        g_free(entry->as.adapter.share_pct);
    }
    g_free(entry->group);
    for (char **text = entry->pairs; *text; text++) {
        g_ref_string_release(*text);
    }
    g_free(entry->pairs);
}

/* Interns the strings: most keys and values occur in thousands of groups, and
   each is stored once. */
static void
_dc_intern(char **pairs)
{
    for (char **text = pairs; *text; text++) {
        char *allocated = *text;
        *text = g_ref_string_new_intern(allocated);
        g_free(allocated);
    }
}

/* -- public --------------------------------------------------------------- */

er_code
dc_entry_create(const char *file, const char *group, char **pairs,
                dc_entry **result, er_status *status)
{
    dc_entry *entry = g_atomic_rc_box_new0(dc_entry);
    entry->group = g_strdup(group);
    entry->pairs = pairs;
    _dc_intern(pairs);
    er_code code = _dc_check_group_name(file, entry->group, entry, status);
    if (code != ER_OK) {
        entry->kind = DC_MODEL; /* has no fields to free; none are loaded */
    }
    if (code == ER_OK) {
        code = _dc_load_fields(file, entry, status);
    }
    if (code == ER_OK) {
        code = _dc_complete(file, entry, status);
    }
    if (code != ER_OK) {
        dc_entry_unref(entry);
        return code;
    }
    *result = entry;
    return ER_OK;
}

dc_entry *
dc_entry_ref(dc_entry *entry)
{
    return g_atomic_rc_box_acquire(entry);
}

void
dc_entry_unref(dc_entry *entry)
{
    g_atomic_rc_box_release_full(entry, _dc_entry_clear);
}

const char *
dc_entry_query_value(const dc_entry *entry, const char *key)
{
    for (char **pair = entry->pairs; *pair; pair += 2) {
        if (strcmp(pair[0], key) == 0) {
            return pair[1];
        }
    }
    return NULL;
}

bool
dc_entry_query_equal(const dc_entry *a, const dc_entry *b)
{
    if (a == b) {
        return true;
    }
    if (g_strv_length(a->pairs) != g_strv_length(b->pairs)) {
        return false;
    }
    for (char **pair = a->pairs; *pair; pair += 2) {
        if (g_strcmp0(dc_entry_query_value(b, pair[0]), pair[1]) != 0) {
            return false;
        }
    }
    return true;
}
