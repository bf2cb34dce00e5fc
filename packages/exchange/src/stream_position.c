#include "stream_position.h"

#include <glib.h>
#include <string.h>

struct sp_position {
    sp_desc desc;
    char *last_id;       /* of the last event that the caller has */
    char *send_after_id; /* last_id when the current send began */
    GByteArray *partial; /* the event that is not whole yet */
    uint32_t event_count;
};

/* Returns the id of an event from its last id line, or NULL if it has none;
   free with g_free(). */
static char *
_sp_parse_id(const char *event, size_t count)
{
    char *id = NULL;
    const char *end = event + count;
    for (const char *line = event; line < end;) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        size_t length = (size_t)((stop ? stop : end) - line);
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            g_free(id);
            id = g_strstrip(g_strndup(line + 3, length - 3));
        }
        line += length + 1;
    }
    return id;
}

/* Returns the length of the first whole event; 0: none is whole yet. */
static size_t
_sp_event_length(const GByteArray *bytes)
{
    const char *text = (const char *)bytes->data;
    for (guint i = 1; i < bytes->len; i++) {
        if (text[i] == '\n' &&
            (text[i - 1] == '\n' ||
             (i > 2 && text[i - 1] == '\r' && text[i - 2] == '\n'))) {
            return i + 1;
        }
    }
    return 0;
}

/* Returns true if the caller had the event before the current send; event ids
   are numbers that grow. */
static bool
_sp_is_repeated(const sp_position *position, const char *id)
{
    return id && position->send_after_id &&
           g_ascii_strtoull(id, NULL, 10) <=
               g_ascii_strtoull(position->send_after_id, NULL, 10);
}

/* Passes on the first `count` bytes of the partial event. */
static void
_sp_pass_on(sp_position *position, size_t count)
{
    const char *bytes = (const char *)position->partial->data;
    g_autofree char *id = _sp_parse_id(bytes, count);
    sp_event event = {.bytes = bytes,
                      .count = count,
                      .id = id,
                      .number = ++position->event_count,
                      .repeated = _sp_is_repeated(position, id)};
    if (id && !event.repeated) {
        g_free(position->last_id);
        position->last_id = g_strdup(id);
    }
    position->desc.calls->event(&event, position->desc.user_data);
    g_byte_array_remove_range(position->partial, 0, (guint)count);
}

sp_position *
sp_create(const sp_desc *desc)
{
    g_assert(desc->calls);
    sp_position *position = g_new0(sp_position, 1);
    position->desc = *desc;
    const char *id = desc->caller_event_id;
    position->last_id = id && *id ? g_strdup(id) : NULL;
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
    position->event_count = 0;
    g_free(position->send_after_id);
    position->send_after_id = g_strdup(position->last_id);
}

bool
sp_feed(sp_position *position, const char *bytes, size_t count)
{
    g_byte_array_append(position->partial, (const guint8 *)bytes,
                        (guint)count);
    size_t length;
    while ((length = _sp_event_length(position->partial)) > 0) {
        _sp_pass_on(position, length);
    }
    return position->partial->len <= SP_MAX_EVENT_BYTES;
}

void
sp_end(sp_position *position)
{
    if (position->partial->len) {
        _sp_pass_on(position, position->partial->len);
    }
}

const char *
sp_query_last_id(const sp_position *position)
{
    return position->last_id;
}

uint32_t
sp_query_event_count(const sp_position *position)
{
    return position->event_count;
}
