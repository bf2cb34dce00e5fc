#include "stream_position.h"

#include <glib.h>
#include <string.h>

struct sp_position {
    sp_desc desc;
    char *last_id;       /* of the last event that the caller has */
    char *send_after_id; /* last_id when the current send began */
    bool inexact;        /* the caller has an event after last_id */
    bool unordered;      /* the ids of its events do not grow */
    GByteArray *partial; /* the event that is not whole yet */
    size_t searched;     /* bytes of it that hold no end of an event */
    uint32_t event_count;
    uint64_t work_bytes;
};

/* The fields of an event that count for the position. */
typedef struct _sp_fields {
    char *id; /* NULL: no id line */
    bool has_data;
} _sp_fields;

/* Returns the value of a line if its field has this name, else NULL. */
static const char *
_sp_field_value(const char *line, size_t length, const char *name)
{
    size_t name_length = strlen(name);
    if (length < name_length || memcmp(line, name, name_length) != 0) {
        return NULL;
    }
    const char *end = line + name_length;
    return length == name_length || *end == '\r' ? end
           : *end == ':'                         ? end + 1
                                                 : NULL;
}

/* Of several id lines, the last one counts. */
static _sp_fields
_sp_parse_event(const char *event, size_t count)
{
    _sp_fields fields = {0};
    const char *end = event + count;
    for (const char *line = event; line < end;) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        size_t length = (size_t)((stop ? stop : end) - line);
        const char *id = _sp_field_value(line, length, "id");
        if (id) {
            g_free(fields.id);
            fields.id =
                g_strstrip(g_strndup(id, (size_t)(line + length - id)));
        }
        fields.has_data =
            fields.has_data || _sp_field_value(line, length, "data") != NULL;
        line += length + 1;
    }
    return fields;
}

static bool
_sp_parse_number(const char *id, uint64_t *number)
{
    guint64 parsed = 0;
    bool valid = id && g_ascii_string_to_unsigned(id, 10, 0, G_MAXUINT64,
                                                  &parsed, NULL);
    *number = parsed;
    return valid;
}

/* Returns the end of the first whole event that begins at `start`; 0: none is
   whole yet. Looks at each byte once over all calls. */
static size_t
_sp_find_event_end(sp_position *position, size_t start)
{
    const char *text = (const char *)position->partial->data;
    const size_t count = position->partial->len;
    const size_t from = MAX(start + 1, position->searched);
    for (size_t at = from; at < count; at++) {
        if (text[at] == '\n' &&
            (text[at - 1] == '\n' || (at > start + 2 && text[at - 1] == '\r' &&
                                      text[at - 2] == '\n'))) {
            position->searched = at + 1;
            position->work_bytes += at + 1 - from;
            return at + 1;
        }
    }
    position->searched = MAX(from, count);
    position->work_bytes += position->searched - from;
    return 0;
}

/* Returns true if the caller had the event before the current send. */
static bool
_sp_is_repeated(const sp_position *position, const char *id)
{
    uint64_t number;
    uint64_t after;
    return _sp_parse_number(id, &number) &&
           _sp_parse_number(position->send_after_id, &after) &&
           number <= after;
}

/* Moves the position past an event that is passed on. */
static void
_sp_move(sp_position *position, const _sp_fields *event)
{
    uint64_t number;
    uint64_t last;
    if (_sp_parse_number(event->id, &number)) {
        position->unordered =
            position->unordered ||
            (_sp_parse_number(position->last_id, &last) && number <= last);
        position->inexact = false;
        g_free(position->last_id);
        position->last_id = g_strdup(event->id);
    }
    else if (event->id || event->has_data) {
        position->inexact = true;
    }
}

/* Passes on an event. */
static void
_sp_pass_on(sp_position *position, const char *bytes, size_t count)
{
    _sp_fields fields = _sp_parse_event(bytes, count);
    sp_event event = {.bytes = bytes,
                      .count = count,
                      .id = fields.id,
                      .number = ++position->event_count,
                      .repeated = _sp_is_repeated(position, fields.id)};
    if (!event.repeated) {
        _sp_move(position, &fields);
    }
    position->desc.calls->event(&event, position->desc.user_data);
    g_free(fields.id);
}

/* Removes the first bytes of `partial`, which have been passed on. */
static void
_sp_remove(sp_position *position, size_t count)
{
    position->work_bytes += position->partial->len - count;
    g_byte_array_remove_range(position->partial, 0, (guint)count);
    position->searched -= MIN(count, position->searched);
}

sp_position *
sp_create(const sp_desc *desc)
{
    g_assert(desc->calls);
    sp_position *position = g_new0(sp_position, 1);
    position->desc = *desc;
    /* The header's value may have trailing blanks. */
    g_autofree char *id = g_strdup(desc->caller_event_id);
    position->last_id = id && *g_strstrip(id) ? g_steal_pointer(&id) : NULL;
    position->partial = g_byte_array_new();
    return position;
}

void
sp_destroy(sp_position *position)
{
    if (!position) {
        return;
    }
    g_free(position->last_id);
    g_free(position->send_after_id);
    g_byte_array_unref(position->partial);
    g_free(position);
}

void
sp_begin_send(sp_position *position)
{
    g_byte_array_set_size(position->partial, 0);
    position->searched = 0;
    position->event_count = 0;
    g_free(position->send_after_id);
    position->send_after_id = g_strdup(position->last_id);
}

bool
sp_feed(sp_position *position, const char *bytes, size_t count)
{
    g_byte_array_append(position->partial, (const guint8 *)bytes,
                        (guint)count);
    const char *text = (const char *)position->partial->data;
    size_t start = 0;
    size_t end;
    while ((end = _sp_find_event_end(position, start)) > 0) {
        _sp_pass_on(position, text + start, end - start);
        start = end;
    }
    if (start) {
        _sp_remove(position, start);
    }
    return position->partial->len <= SP_MAX_EVENT_BYTES;
}

void
sp_end(sp_position *position)
{
    size_t count = position->partial->len;
    if (count) {
        _sp_pass_on(position, (const char *)position->partial->data, count);
        _sp_remove(position, count);
    }
}

const char *
sp_query_last_id(const sp_position *position)
{
    return position->last_id;
}

bool
sp_query_can_continue(const sp_position *position)
{
    return !position->inexact && !position->unordered;
}

uint64_t
sp_query_work_bytes(const sp_position *position)
{
    return position->work_bytes;
}

uint32_t
sp_query_event_count(const sp_position *position)
{
    return position->event_count;
}
