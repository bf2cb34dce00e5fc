#include "node_private.h"

#include "lacewing/counter.h"
#include "lacewing/log.h"
#include <string.h>

/* Most contents, and most parts of prompts, named in the log line of a
   crash. */
#define _ND_LOGGED_MAX 16
/* Instances whose position is at most this send what is blocked to all: a few,
   as some may be cut off. */
#define _ND_BLOCK_SENDERS 2

/* -- private: crashes ----------------------------------------------------- */

static cw_listens
_nd_check_listens(fl_server *server, uint64_t since_us, void *user_data)
{
    return xc_check_listens(((nd_node *)user_data)->core, server, since_us);
}

static bool
_nd_check_replaced(const fl_server *server, uint64_t born_ms, void *user_data)
{
    return fl_query_replaced(((nd_node *)user_data)->fleet, server, born_ms);
}

/* Letters of cw_progress in the log line of a crash. */
static const char _nd_progress_letters[] = {[CW_PROGRESS_DEFAULT] = 'a',
                                            [CW_NO_HEAD] = 'n',
                                            [CW_JUST_BEGUN] = 'b',
                                            [CW_HEAD_ONLY] = 'h'};

/* Adds an item to a list unless it holds it already. */
static void
_nd_add_logged(GString *list, uint32_t *count, uint64_t item,
               cw_progress progress)
{
    char text[24];
    g_snprintf(text, sizeof(text), ":%016" G_GINT64_MODIFIER "x", item);
    if (*count < _ND_LOGGED_MAX && !strstr(list->str, text)) {
        g_string_append_printf(list, "%s%c%s", *count ? "," : "",
                               _nd_progress_letters[progress], text);
        (*count)++;
    }
}

/* Logs a crash with the contents of the requests that it may be due to and
   the parts of their prompts, each with the first letter of how far its answer
   had come: the furthest come first. */
static void
_nd_log_crash(const cw_crash *crash)
{
    uint32_t counts[CW_HEAD_ONLY + 1] = {0};
    uint32_t content_count = 0;
    uint32_t part_count = 0;
    g_autoptr(GString) contents = g_string_new(NULL);
    g_autoptr(GString) parts = g_string_new(NULL);
    for (cw_progress at = CW_HEAD_ONLY; at > CW_PROGRESS_DEFAULT; at--) {
        for (uint32_t i = 0; i < crash->request_count; i++) {
            const cw_request *request = &crash->requests[i];
            if (request->progress != at) {
                continue;
            }
            counts[at]++;
            _nd_add_logged(contents, &content_count,
                           request->content.fingerprint, at);
            for (uint32_t j = 0; j < request->content.part_count; j++) {
                _nd_add_logged(parts, &part_count, request->content.parts[j],
                               at);
            }
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
             "contents", contents->len ? contents->str : "-", "parts",
             parts->len ? parts->str : "-", NULL);
}

/* Adds the crash to the suspects and tells the other instances. */
static void
_nd_on_crashed(const cw_crash *crash, void *user_data)
{
    nd_node *node = user_data;
    ct_add(CT_SERVER_CRASHES, 1);
    _nd_log_crash(crash);
    su_candidate candidates[CW_MAX_REQUESTS];
    uint32_t count = 0;
    for (uint32_t i = 0; i < crash->request_count; i++) {
        const cw_request *request = &crash->requests[i];
        if (request->progress != CW_PROGRESS_DEFAULT) {
            candidates[count++] = (su_candidate){
                .content = request->content,
                .likelihood = request->progress,
            };
        }
    }
    if (count > 0) {
        su_crash seen = {.server = crash->server->hash,
                         .born_ms = crash->born_ms,
                         .at_us = crash->at_us,
                         .candidates = candidates,
                         .candidate_count = count};
        su_note_crash(node->suspects, &seen, lp_query_now_us(node->desc.loop));
        gp_broadcast_crash(node->peers, &seen);
    }
}

const cw_callbacks nd_crash_callbacks = {.listens = _nd_check_listens,
                                         .replaced = _nd_check_replaced,
                                         .crashed = _nd_on_crashed};

static void
_nd_on_counted(const su_counted *counted, void *user_data)
{
    (void)user_data;
    char server[24];
    g_snprintf(server, sizeof(server), "%016" G_GINT64_MODIFIER "x",
               counted->server);
    char numbers[48];
    g_snprintf(numbers, sizeof(numbers), "%u/%u/%u", counted->candidate_count,
               counted->likeliest_count, counted->likelihood);
    lg_write(LG_CRASH_COUNTED, "server_hash", server,
             "candidates/likeliest/likelihood", numbers, NULL);
}

/* -- private: blocks ------------------------------------------------- */

static void
_nd_log_block(const su_block *block)
{
    char item[24];
    g_snprintf(item, sizeof(item), "%016" G_GINT64_MODIFIER "x", block->item);
    char crashes[16];
    g_snprintf(crashes, sizeof(crashes), "%u", block->crashes);
    lg_write(LG_CONTENT_BLOCKED, "kind", block->is_part ? "part" : "request",
             "content", item, "crashes", crashes, NULL);
}

static void
_nd_log_cleared(uint64_t item)
{
    char text[24];
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", item);
    lg_write(LG_CONTENT_CLEARED, "content", text, NULL);
}

static bool
_nd_sends_blocks(const nd_node *node)
{
    return gp_query_suspects_position(node->peers) <= _ND_BLOCK_SENDERS;
}

static void
_nd_on_blocked(const su_block *block, void *user_data)
{
    nd_node *node = user_data;
    _nd_log_block(block);
    ct_set(CT_CONTENTS_BLOCKED, su_query_blocked_count(node->suspects));
    if (_nd_sends_blocks(node)) {
        gp_broadcast_block(node->peers, block);
    }
    xc_end_blocked(node->core);
}

static void
_nd_on_cleared(uint64_t item, uint64_t began_us, void *user_data)
{
    nd_node *node = user_data;
    _nd_log_cleared(item);
    ct_set(CT_CONTENTS_BLOCKED, su_query_blocked_count(node->suspects));
    gp_broadcast_cleared(node->peers, item, began_us);
}

static void
_nd_on_known_good(uint64_t part, uint64_t good_us, void *user_data)
{
    const nd_node *node = user_data;
    char text[24];
    g_snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", part);
    char age[24];
    g_snprintf(age, sizeof(age), "%" G_GUINT64_FORMAT,
               (lp_query_now_us(node->desc.loop) - good_us) / 1000);
    lg_write(LG_PART_KNOWN_GOOD, "content", text, "age_ms", age, NULL);
    gp_broadcast_cleared(node->peers, part, good_us);
}

const su_callbacks nd_suspects_callbacks = {.counted = _nd_on_counted,
                                            .blocked = _nd_on_blocked,
                                            .cleared = _nd_on_cleared,
                                            .known_good = _nd_on_known_good};

static void
_nd_send_block(const su_block *block, void *user_data)
{
    gp_broadcast_block(((nd_node *)user_data)->peers, block);
}

/* -- public --------------------------------------------------------------- */

void
nd_on_answer_broken(const cw_broken *broken, void *user_data)
{
    nd_node *node = user_data;
    cw_note_broken(node->crash_watch, broken,
                   lp_query_now_us(node->desc.loop));
    nd_start_fast_timer(node);
}

void
nd_on_answer_good(const fl_server *server, uint64_t born_ms, void *user_data)
{
    cw_note_answered(((nd_node *)user_data)->crash_watch, server, born_ms);
}

void
nd_on_peer_crash(const su_crash *crash, void *user_data)
{
    nd_node *node = user_data;
    su_note_crash(node->suspects, crash, lp_query_now_us(node->desc.loop));
    nd_start_fast_timer(node);
}

void
nd_on_peer_block(const su_block *block, void *user_data)
{
    nd_node *node = user_data;
    uint32_t before = su_query_blocked_count(node->suspects);
    su_adopt(node->suspects, block, lp_query_now_us(node->desc.loop));
    nd_start_fast_timer(node);
    if (su_query_blocked_count(node->suspects) != before) {
        _nd_log_block(block);
        ct_set(CT_CONTENTS_BLOCKED, su_query_blocked_count(node->suspects));
        xc_end_blocked(node->core);
    }
}

void
nd_on_peer_cleared(uint64_t item, uint64_t began_us, void *user_data)
{
    nd_node *node = user_data;
    uint32_t before = su_query_blocked_count(node->suspects);
    su_note_cleared(node->suspects, item, began_us);
    if (su_query_blocked_count(node->suspects) != before) {
        _nd_log_cleared(item);
    }
    ct_set(CT_CONTENTS_BLOCKED, su_query_blocked_count(node->suspects));
}

bool
nd_may_probe_content(void *user_data)
{
    return gp_query_suspects_position(((nd_node *)user_data)->peers) == 1;
}

void
nd_send_blocks(nd_node *node)
{
    if (su_query_blocked_count(node->suspects) && _nd_sends_blocks(node)) {
        su_each_blocked(node->suspects, _nd_send_block, node);
    }
}
