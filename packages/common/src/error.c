#include "lacewing/error.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

typedef struct _er_item {
    const char *name;
    uint32_t http;
} _er_item;

static const _er_item _er_items[ER_NUM] = {
#define ER_ITEM(code, name, http) [code] = {name, http},
    ER_CODES(ER_ITEM)
#undef ER_ITEM
};

er_code
er_set(er_status *status, er_code code, const char *format, ...)
{
    if (status) {
        va_list args;
        va_start(args, format);
        vsnprintf(status->message, sizeof(status->message), format, args);
        va_end(args);
        status->code = code;
    }
    return code;
}

void
er_clear(er_status *status)
{
    if (status) {
        status->code = ER_OK;
        status->message[0] = '\0';
    }
}

const char *
er_query_name(er_code code)
{
    if (code < ER_OK || code >= ER_NUM) {
        return _er_items[ER_INTERNAL].name;
    }
    return _er_items[code].name;
}

uint32_t
er_query_http(er_code code)
{
    if (code < ER_OK || code >= ER_NUM) {
        return _er_items[ER_INTERNAL].http;
    }
    return _er_items[code].http;
}

er_code
er_query_code(const char *name)
{
    for (uint32_t i = 0; i < ER_NUM; i++) {
        if (name && strcmp(_er_items[i].name, name) == 0) {
            return (er_code)i;
        }
    }
    return ER_INTERNAL;
}
