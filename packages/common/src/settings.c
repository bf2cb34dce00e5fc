#include "lacewing/settings.h"

#include <errno.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* -- private: groups and messages ----------------------------------------- */

static bool
_st_group_matches(const char *pattern, const char *group)
{
    size_t length = strlen(pattern);
    if (length >= 2 && strcmp(pattern + length - 2, " *") == 0) {
        return strncmp(pattern, group, length - 1) == 0 &&
               group[length - 1] != '\0';
    }
    return strcmp(pattern, group) == 0;
}

static bool
_st_is_in_family(const st_key *key)
{
    return key->group[strlen(key->group) - 1] == '*';
}

static char *
_st_describe_allowed(const st_key *key)
{
    if (key->type == ST_ENUM) {
        g_autofree char *joined = g_strjoinv(", ", (char **)key->choices);
        return g_strdup_printf("one of %s", joined);
    }
    if (key->type == ST_BOOL) {
        return g_strdup("true or false");
    }
    if (key->min != 0 || key->max != 0) {
        return g_strdup_printf("%.15g to %.15g %s", key->min, key->max,
                               key->unit ? key->unit : "");
    }
    return g_strdup("any value");
}

static er_code
_st_refuse(const st_load_desc *desc, const char *group, const st_key *key,
           er_code code, const char *value, er_status *status)
{
    g_autofree char *allowed = _st_describe_allowed(key);
    return er_set(status, code, "%s: [%s] %s = %s: allowed is %s",
                  desc->file ? desc->file : "settings", group, key->name,
                  value ? value : "(missing)", allowed);
}

/* -- private: values ------------------------------------------------------ */

static bool
_st_parse_number(const char *text, double *number)
{
    char *end = NULL;
    *number = g_ascii_strtod(text, &end);
    return end != text && *end == '\0';
}

static er_code
_st_store_number(const st_key *key, const char *text, void *field)
{
    double number = 0;
    if (!_st_parse_number(text, &number)) {
        return ER_SETTING_TYPE;
    }
    bool bounded = key->min != 0 || key->max != 0;
    if (bounded && (number < key->min || number > key->max)) {
        return ER_SETTING_RANGE;
    }
    if (key->type == ST_DOUBLE) {
        *(double *)field = number;
        return ER_OK;
    }
    if (number < 0 || number != (double)(uint64_t)number) {
        return ER_SETTING_TYPE;
    }
    if (key->type == ST_U64) {
        *(uint64_t *)field = (uint64_t)number;
        return ER_OK;
    }
    if (number > UINT32_MAX) {
        return ER_SETTING_RANGE;
    }
    *(uint32_t *)field = (uint32_t)number;
    return ER_OK;
}

static er_code
_st_store_enum(const st_key *key, const char *text, void *field)
{
    for (uint32_t i = 0; key->choices[i]; i++) {
        if (strcmp(key->choices[i], text) == 0) {
            *(uint32_t *)field = i;
            return ER_OK;
        }
    }
    return ER_SETTING_RANGE;
}

static er_code
_st_store_bool(const char *text, void *field)
{
    bool is_true = strcmp(text, "true") == 0;
    if (!is_true && strcmp(text, "false") != 0) {
        return ER_SETTING_TYPE;
    }
    *(bool *)field = is_true;
    return ER_OK;
}

static char **
_st_split(const char *text)
{
    g_auto(GStrv) items = g_strsplit(text, ";", -1);
    GPtrArray *list = g_ptr_array_new();
    for (char **item = items; *item; item++) {
        g_strstrip(*item);
        if (**item) {
            g_ptr_array_add(list, g_strdup(*item));
        }
    }
    g_ptr_array_add(list, NULL);
    return (char **)g_ptr_array_free(list, FALSE);
}

static er_code
_st_store(const st_key *key, const char *text, void *field)
{
    switch (key->type) {
    case ST_DEFAULT:
    case ST_STRING:
        *(char **)field = g_strdup(text);
        return ER_OK;
    case ST_LIST:
        *(char ***)field = _st_split(text);
        return ER_OK;
    case ST_BOOL:
        return _st_store_bool(text, field);
    case ST_ENUM:
        return _st_store_enum(key, text, field);
    case ST_U32:
    case ST_U64:
    case ST_DOUBLE:
        return _st_store_number(key, text, field);
    case ST_TYPE_NUM:
        break;
    }
    return ER_INTERNAL;
}

/* -- private: loading ----------------------------------------------------- */

static er_code
_st_load_key(const st_load_desc *desc, GKeyFile *parsed, const st_key *key,
             er_status *status)
{
    const char *group = desc->group ? desc->group : key->group;
    g_autofree char *text =
        g_key_file_get_string(parsed, group, key->name, NULL);
    if (text) {
        g_strstrip(text);
    }
    const char *value = text ? text : key->fallback;
    if (!value) {
        return _st_refuse(desc, group, key, ER_SETTING_MISSING, NULL, status);
    }
    er_code code = _st_store(key, value, (char *)desc->out + key->offset);
    if (code != ER_OK) {
        return _st_refuse(desc, group, key, code, value, status);
    }
    return ER_OK;
}

static bool
_st_is_selected(const st_load_desc *desc, const st_key *key)
{
    if (desc->group) {
        return _st_group_matches(key->group, desc->group);
    }
    return !_st_is_in_family(key);
}

static er_code
_st_parse_file(const st_load_desc *desc, GKeyFile **parsed, er_status *status)
{
    if (desc->parsed) {
        *parsed = g_key_file_ref((GKeyFile *)desc->parsed);
        return ER_OK;
    }
    g_autoptr(GError) error = NULL;
    g_autoptr(GKeyFile) file = g_key_file_new();
    if (!g_key_file_load_from_file(file, desc->file, G_KEY_FILE_NONE,
                                   &error)) {
        return er_set(status, ER_FILE, "%s: %s", desc->file, error->message);
    }
    er_code code = st_check_unknown(file, desc->file, desc->keys,
                                    desc->key_count, status);
    if (code == ER_OK) {
        *parsed = g_steal_pointer(&file);
    }
    return code;
}

/* -- public --------------------------------------------------------------- */

er_code
st_load(const st_load_desc *desc, er_status *status)
{
    g_autoptr(GKeyFile) parsed = NULL;
    er_code code = _st_parse_file(desc, &parsed, status);
    for (size_t i = 0; code == ER_OK && i < desc->key_count; i++) {
        if (_st_is_selected(desc, &desc->keys[i])) {
            code = _st_load_key(desc, parsed, &desc->keys[i], status);
        }
    }
    return code;
}

void
st_clear(const st_key *keys, size_t key_count, void *out)
{
    for (size_t i = 0; i < key_count; i++) {
        void *field = (char *)out + keys[i].offset;
        if (keys[i].type == ST_STRING || keys[i].type == ST_DEFAULT) {
            g_clear_pointer((char **)field, g_free);
        }
        else if (keys[i].type == ST_LIST) {
            g_clear_pointer((char ***)field, g_strfreev);
        }
    }
}

static bool
_st_is_known(const st_key *keys, size_t key_count, const char *group,
             const char *name)
{
    for (size_t i = 0; i < key_count; i++) {
        if (_st_group_matches(keys[i].group, group) &&
            (!name || strcmp(keys[i].name, name) == 0)) {
            return true;
        }
    }
    return false;
}

static char *
_st_join_names(const st_key *keys, size_t key_count, const char *group)
{
    GString *names = g_string_new(NULL);
    for (size_t i = 0; i < key_count; i++) {
        if (_st_group_matches(keys[i].group, group)) {
            g_string_append_printf(names, "%s%s", names->len ? ", " : "",
                                   keys[i].name);
        }
    }
    return g_string_free(names, FALSE);
}

static er_code
_st_check_group(GKeyFile *parsed, const char *file, const char *group,
                const st_key *keys, size_t key_count, er_status *status)
{
    if (!_st_is_known(keys, key_count, group, NULL)) {
        return er_set(status, ER_SETTING_UNKNOWN, "%s: unknown group [%s]",
                      file, group);
    }
    g_auto(GStrv) names = g_key_file_get_keys(parsed, group, NULL, NULL);
    for (char **name = names; name && *name; name++) {
        if (!_st_is_known(keys, key_count, group, *name)) {
            g_autofree char *allowed = _st_join_names(keys, key_count, group);
            return er_set(status, ER_SETTING_UNKNOWN,
                          "%s: [%s] unknown key %s: allowed are %s", file,
                          group, *name, allowed);
        }
    }
    return ER_OK;
}

er_code
st_check_unknown(const GKeyFile *parsed, const char *file, const st_key *keys,
                 size_t key_count, er_status *status)
{
    GKeyFile *key_file = (GKeyFile *)parsed;
    g_auto(GStrv) groups = g_key_file_get_groups(key_file, NULL);
    for (char **group = groups; *group; group++) {
        er_code code = _st_check_group(key_file, file ? file : "settings",
                                       *group, keys, key_count, status);
        if (code != ER_OK) {
            return code;
        }
    }
    return ER_OK;
}

char *
st_query_reference(const char *title, const st_key *keys, size_t key_count)
{
    GString *page = g_string_new(NULL);
    g_string_append_printf(page, "## %s\n", title);
    const char *group = NULL;
    for (size_t i = 0; i < key_count; i++) {
        const st_key *key = &keys[i];
        if (!group || strcmp(group, key->group) != 0) {
            group = key->group;
            g_string_append_printf(page,
                                   "\n### [%s]\n\n"
                                   "| key | allowed | default | meaning |\n"
                                   "| --- | --- | --- | --- |\n",
                                   group);
        }
        g_autofree char *allowed = _st_describe_allowed(key);
        g_string_append_printf(
            page, "| %s | %s | %s | %s |\n", key->name, allowed,
            key->fallback ? (*key->fallback ? key->fallback : "(empty)")
                          : "required",
            key->help);
    }
    return g_string_free(page, FALSE);
}
