#include "claims_internal.h"

#include <string.h>

static const char *const _cl_state_names[_CL_ROW_STATE_NUM] = {
    [_CL_ROW_CLAIMED] = "claimed",
    [_CL_ROW_DONE] = "done",
    [_CL_ROW_UNKNOWN] = "unknown",
    [_CL_ROW_NOT_SENT] = "not_sent",
};

static bool
_cl_state_parse(const char *name, _cl_row_state *state)
{
    for (uint32_t i = 0; i < _CL_ROW_STATE_NUM; i++) {
        if (g_str_equal(name, _cl_state_names[i])) {
            *state = (_cl_row_state)i;
            return true;
        }
    }
    return false;
}

bool
_cl_row_parse(const pf_row *row, _cl_row *out)
{
    *out = (_cl_row){.version = row->version};
    if (row->version == 0) {
        return true;
    }
    g_autofree char *text = _co_row_text(row);
    char *end = text ? strchr(text, '\n') : NULL;
    if (!end) {
        return false;
    }
    *end = '\0';
    /* The line has 6 words; splitting at most into 7 shows a surplus one. */
    g_auto(GStrv) words = g_strsplit(text, " ", 7);
    if (g_strv_length(words) != 6 || !_cl_state_parse(words[4], &out->state)) {
        return false;
    }
    out->attempt = g_strdup(words[0]);
    out->instance = g_strdup(words[1]);
    out->incarnation = g_ascii_strtoull(words[2], NULL, 10);
    out->hash = g_strdup(words[3]);
    out->status = (uint32_t)g_ascii_strtoull(words[5], NULL, 10);
    out->outcome = g_strdup(end + 1);
    return true;
}

void
_cl_row_clear(_cl_row *row)
{
    g_free(row->attempt);
    g_free(row->instance);
    g_free(row->hash);
    g_free(row->outcome);
    *row = (_cl_row){0};
}

char *
_cl_row_format(const _cl_row *row)
{
    return g_strdup_printf("%s %s %" G_GUINT64_FORMAT " %s %s %u\n%s",
                           row->attempt, row->instance, row->incarnation,
                           row->hash, _cl_state_names[row->state], row->status,
                           row->outcome ? row->outcome : "");
}

char *
_cl_row_key(const char *team, const char *key)
{
    g_autofree char *safe_team = g_uri_escape_string(team, NULL, FALSE);
    g_autofree char *safe_key = g_uri_escape_string(key, NULL, FALSE);
    return g_strdup_printf("claim/%s/%s", safe_team, safe_key);
}
