#include "notice_read.h"

#include <string.h>

bool
nr_read_notice(const nr_desc *desc, const h1_head *head, fl_server_notice *out)
{
    const char *const *names = desc->dialect->headers;
    const char *named_server = h1_query_header(head, names[DL_SERVER_ID]);
    *out = (fl_server_notice){.id = desc->server,
                              .born_ms = desc->born_ms,
                              .source = NT_ANSWER,
                              .sent_us = desc->sent_us,
                              .now_us = desc->now_us};
    desc->dialect->read_notice(
        head->status, h1_query_header(head, names[DL_LEAVING]),
        h1_query_header(head, names[DL_RETRY_AFTER]),
        h1_query_header(head, names[DL_LIMIT]), &out->notice);
    if (named_server && strcmp(named_server, desc->server) != 0) {
        const fl_server *other = fl_query_server(desc->fleet, named_server);
        out->id = named_server;
        out->born_ms = other ? other->born_ms : 0;
        return other != NULL;
    }
    return true;
}
