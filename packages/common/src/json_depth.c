#include "lacewing/json_depth.h"

bool
jd_query_fits(const char *text, size_t size)
{
    size_t depth = 0;
    bool in_string = false;
    for (size_t i = 0; text && i < size; i++) {
        char byte = text[i];
        if (in_string) {
            i += byte == '\\'; /* skips the escaped byte */
            in_string = byte != '"';
        }
        else if (byte == '"') {
            in_string = true;
        }
        else if (byte == '[' || byte == '{') {
            depth++;
        }
        else if ((byte == ']' || byte == '}') && depth > 0) {
            depth--;
        }
        if (depth > JD_MAX_DEPTH) {
            return false;
        }
    }
    return true;
}
