/* Interactive dialog: asks the questions one at a time. */
#include "questions.h"

#include <string.h>

#define LINE_BYTES 4096

static bool
_qn_read_line(FILE *in, char *line)
{
    if (!fgets(line, LINE_BYTES, in)) {
        return false;
    }
    g_strstrip(line);
    return true;
}

static void
_qn_print_question(FILE *out, const char *group, const st_key *key)
{
    fprintf(out, "[%s] %s: %s", group, key->name, key->help);
    if (key->type == ST_ENUM) {
        g_autofree char *choices = g_strjoinv(", ", (char **)key->choices);
        fprintf(out, " (%s)", choices);
    }
    if (key->type == ST_LIST) {
        fputs(" (separated by ;)", out);
    }
    if (key->fallback) {
        fprintf(out, " [%s]", key->fallback);
    }
    fputs("\n> ", out);
    fflush(out);
}

static er_code
_qn_ask(FILE *in, FILE *out, GKeyFile *answers, const char *group,
        const st_key *key, er_status *status)
{
    char line[LINE_BYTES];
    for (;;) {
        _qn_print_question(out, group, key);
        if (!_qn_read_line(in, line)) {
            return er_set(status, ER_FILE,
                          "[%s] %s: the input ended before the answer", group,
                          key->name);
        }
        g_key_file_remove_key(answers, group, key->name, NULL);
        if (*line) {
            g_key_file_set_string(answers, group, key->name, line);
        }
        er_status refused = {0};
        if (qn_answer_check(answers, "answer", group, key, &refused) ==
            ER_OK) {
            return ER_OK;
        }
        fprintf(out, "  %s\n", refused.message);
    }
}

static er_code
_qn_ask_names(FILE *in, FILE *out, const qn_group_table *table, char ***names,
              er_status *status)
{
    char line[LINE_BYTES];
    fprintf(out, "%s: names (separated by ;)?\n> ", table->title);
    fflush(out);
    if (!_qn_read_line(in, line)) {
        return er_set(status, ER_FILE,
                      "[%s NAME]: the input ended before the names",
                      table->type_name);
    }
    *names = g_strsplit(line, ";", -1);
    return ER_OK;
}

/* Creates the group, so that it exists if all its answers are defaults. */
static void
_qn_add_empty_group(GKeyFile *answers, const char *group)
{
    g_key_file_set_string(answers, group, "name", "");
    g_key_file_remove_key(answers, group, "name", NULL);
}

static er_code
_qn_ask_groups(FILE *in, FILE *out, GKeyFile *answers,
               const qn_group_table *table, er_status *status)
{
    g_auto(GStrv) names = NULL;
    er_code code = _qn_ask_names(in, out, table, &names, status);
    for (char **name = names; code == ER_OK && name && *name; name++) {
        if (!*g_strstrip(*name)) {
            continue;
        }
        g_autofree char *group =
            g_strdup_printf("%s %s", table->type_name, *name);
        _qn_add_empty_group(answers, group);
        for (size_t i = 0; code == ER_OK && i < table->key_count; i++) {
            code = _qn_ask(in, out, answers, group, &table->keys[i], status);
        }
    }
    return code;
}

er_code
qn_interview(FILE *in, FILE *out, GKeyFile *answers, er_status *status)
{
    er_code code = ER_OK;
    for (size_t i = 0; code == ER_OK && i < qn_deployment_key_count; i++) {
        code = _qn_ask(in, out, answers, qn_deployment_keys[i].group,
                       &qn_deployment_keys[i], status);
    }
    for (uint32_t i = 0; code == ER_OK && i < QN_GROUP_TYPE_NUM; i++) {
        code = _qn_ask_groups(in, out, answers, &qn_group_tables[i], status);
    }
    return code;
}
