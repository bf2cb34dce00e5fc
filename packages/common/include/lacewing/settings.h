/*
 * settings.h: checked INI settings (prefix st_).
 *
 * A table of keys says for each its group, name, type, unit, range, default
 * and help; the loader fills a struct at the keys' offsets and refuses
 * whatever the table does not allow, naming file, group, key and what is
 * allowed. The same table writes the reference page.
 *
 *     static const st_key keys[] = {
 *         {.group = "daemon", .name = "heartbeat_ms", .type = ST_U32,
 *          .offset = offsetof(dm_settings, heartbeat_ms), .unit = "ms",
 *          .min = 10, .max = 60000, .fallback = "200", .help = "..."},
 *     };
 *     er_code code = st_load(&(st_load_desc){.file = path, .keys = keys,
 *         .key_count = G_N_ELEMENTS(keys), .out = &settings}, &status);
 *
 * Limits: strings are allocated with GLib and freed by st_clear(). A group
 * "server *" in the table stands for many groups "server NAME"; these are
 * read one at a time with st_load_desc.group.
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
    const char *group; /* exact, or "kind *" for many groups */
    const char *name;
    st_type type;
    size_t offset; /* of the field in the struct */
    const char *unit;
    double min; /* min = max = 0: any */
    double max;
    const char *const *choices; /* ST_ENUM: NULL-terminated */
    const char *fallback;       /* NULL: the key is required */
    const char *help;
} st_key;

/* A string of a struct, under the name of its field. */
#define ST_KEY_STRING(struct_, group_, field, fallback_, help_)               \
    {                                                                         \
        .group = (group_), .name = #field, .type = ST_STRING,                 \
        .offset = offsetof(struct_, field), .fallback = (fallback_),          \
        .help = (help_)                                                       \
    }

typedef struct st_load_desc {
    const char *file;       /* named in messages */
    const GKeyFile *parsed; /* read from here; NULL: parse the file */
    const char *group;      /* one group of a "kind *" family; NULL: all
                               groups that are written out in full */
    const st_key *keys;
    size_t key_count;
    void *out; /* struct that holds the fields */
} st_load_desc;

/* Fills desc->out. Fields are valid only when ER_OK is returned. */
er_code st_load(const st_load_desc *desc, er_status *status);

/* Frees the strings and lists that st_load() allocated. */
void st_clear(const st_key *keys, size_t key_count, void *out);

/* Refuses groups and keys that the table does not name. */
er_code st_check_unknown(const GKeyFile *parsed, const char *file,
                         const st_key *keys, size_t key_count,
                         er_status *status);

/* Reference page of a table in Markdown; free with g_free(). */
char *st_query_reference(const char *title, const st_key *keys,
                         size_t key_count);

#endif
