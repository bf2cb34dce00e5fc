/*
 * settings.h: reads and checks settings in INI files (prefix st_).
 *
 * A table describes each key: group, name, type, unit, range, default and help
 * text. st_load() stores the values in a struct, at the offsets given in the
 * table, and rejects whatever the table does not allow. Its error message
 * names the file, the group, the key and the values that are allowed.
 * st_query_reference() writes the reference page from the same table.
 *
 *     static const st_key keys[] = {
 *         {.group = "daemon", .name = "heartbeat_ms", .type = ST_U32,
 *          .offset = offsetof(dm_settings, heartbeat_ms), .unit = "ms",
 *          .min = 10, .max = 60000, .fallback = "200", .help = "..."},
 *     };
 *     er_code code = st_load(&(st_load_desc){.file = path, .keys = keys,
 *         .key_count = G_N_ELEMENTS(keys), .out = &settings}, &status);
 *
 * A group "server *" in the table stands for any number of groups
 * "server NAME". Each of them is read by a call of its own, with its name in
 * st_load_desc.group.
 *
 * Limits: strings and lists are allocated with GLib and freed by st_clear().
 */
#ifndef LACEWING_SETTINGS_H
#define LACEWING_SETTINGS_H

#include "lacewing/error.h"
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

typedef enum st_type {
    ST_DEFAULT = 0, /* string */
    ST_STRING,      /* char * */
    ST_U32,         /* uint32_t within min..max */
    ST_U64,         /* uint64_t within min..max */
    ST_DOUBLE,      /* double within min..max */
    ST_BOOL,        /* bool: true or false */
    ST_ENUM,        /* uint32_t: index into choices */
    ST_LIST,        /* char **: strings separated by ';' */
    ST_TYPE_NUM
} st_type;

typedef struct st_key {
    const char *group; /* exact name, or "kind *" for a family of groups */
    const char *name;
    st_type type;
    size_t offset;    /* of the field in the struct, in bytes */
    const char *unit; /* shown after the range; NULL: none */
    double min;       /* min = max = 0: any value is allowed */
    double max;
    const char *const *choices; /* ST_ENUM: NULL-terminated */
    const char *fallback;       /* default value; NULL: the key is required */
    const char *help;
} st_key;

/* Table entry of a string key that is named like its field. */
#define ST_KEY_STRING(struct_, group_, field, fallback_, help_)               \
    {                                                                         \
        .group = (group_), .name = #field, .type = ST_STRING,                 \
        .offset = offsetof(struct_, field), .fallback = (fallback_),          \
        .help = (help_)                                                       \
    }

typedef struct st_load_desc {
    const char *file;       /* read if parsed is NULL; named in messages */
    const GKeyFile *parsed; /* read instead of the file; NULL: parse file */
    const char *group;      /* one group of a family "kind *"; NULL: all
                               groups that are not part of a family */
    const st_key *keys;
    size_t key_count;
    void *out; /* struct to fill */
} st_load_desc;

/* Fills desc->out. Its fields are valid only if ER_OK is returned. After a
   failure some strings may be set: st_clear() frees them if the struct was
   zero-initialised. */
er_code st_load(const st_load_desc *desc, er_status *status);

/* Frees the strings and lists that st_load() allocated. */
void st_clear(const st_key *keys, size_t key_count, void *out);

/* Rejects groups and keys that the table does not contain. */
er_code st_check_unknown(const GKeyFile *parsed, const char *file,
                         const st_key *keys, size_t key_count,
                         er_status *status);

/* Returns the reference of a table in Markdown. Free it with g_free(). */
char *st_query_reference(const char *title, const st_key *keys,
                         size_t key_count);

#endif
