#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"

/* Most contents named in the log line of a crash. */
#define _ND_LOGGED_CONTENTS 4

static cw_listens
_nd_check_listens(fl_server *server, uint64_t since_us, void *user_data)
{
    return xc_check_listens(((nd_node *)user_data)->core, server, since_us);
}

/* Logs a crash with the contents of the requests that had just begun. */
static void
_nd_log_crash(const cw_crash *crash)
{
    uint32_t counts[CW_HEAD_ONLY + 1] = {0};
    uint32_t named = 0;
    g_autoptr(GString) contents = g_string_new(NULL);
    for (uint32_t i = 0; i < crash->request_count; i++) {
        const cw_request *request = &crash->requests[i];
        counts[request->progress]++;
        if (request->progress >= CW_JUST_BEGUN &&
            named++ < _ND_LOGGED_CONTENTS) {
            g_string_append_printf(contents, "%s%016" G_GINT64_MODIFIER "x",
                                   contents->len ? "," : "",
                                   request->fingerprint);
        }
    }
    char numbers[64];
    g_snprintf(numbers, sizeof(numbers), "%u/%u/%u/%u", crash->request_count,
               counts[CW_NO_HEAD], counts[CW_JUST_BEGUN],
               counts[CW_HEAD_ONLY]);
    char born[24];
    g_snprintf(born, sizeof(born), "%" G_GUINT64_FORMAT, crash->born_ms);
    lg_write(LG_SERVER_CRASHED, "server", crash->server->id, "started_ms",
             born, "requests/no_head/just_begun/head_only", numbers,
             "contents", contents->len ? contents->str : "-", NULL);
}

static void
_nd_on_crashed(const cw_crash *crash, void *user_data)
{
    (void)user_data;
    ct_add(CT_SERVER_CRASHES, 1);
    _nd_log_crash(crash);
}

const cw_callbacks nd_crash_callbacks = {.listens = _nd_check_listens,
                                         .crashed = _nd_on_crashed};

void
nd_on_answer_broken(const cw_broken *broken, void *user_data)
{
    nd_node *node = user_data;
    cw_note_broken(node->crash_watch, broken,
                   lp_query_now_us(node->desc.loop));
    nd_start_fast_timer(node);
}
