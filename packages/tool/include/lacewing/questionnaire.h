/*
 * questionnaire.h: generates a configuration from answers (prefix qn_).
 *
 * The questions are a table of settings: trade, instances, zones, backend
 * servers, weight store, operations, adapters, teams, tolerances. The answers
 * come from an INI file or from an interactive dialog. The generated
 * configuration has a comment with the reason above each derived value.
 *
 *     g_autoptr(GKeyFile) answers = g_key_file_new();
 *     qn_interview(stdin, stdout, answers, &status);
 *     char *text = NULL;
 *     qn_problem problem = {0};
 *     if (qn_generate(answers, "answers.ini", &text, &problem) != ER_OK) {
 *         printf("%s: %s\n", problem.question, problem.message);
 *     }
 *     qn_problem_clear(&problem);
 *     g_free(text);
 *
 * If an answer is invalid, if answers contradict each other, or if the
 * resulting configuration cannot work, the first problem found is reported,
 * with the question and an answer that is accepted.
 *
 * Limits: at most QN_GROUPS_PER_TYPE_MAX groups of each type, such as
 * [servers NAME]; backend servers have IPv4 addresses.
 */
#ifndef LACEWING_QUESTIONNAIRE_H
#define LACEWING_QUESTIONNAIRE_H

#include "lacewing/error.h"
#include <glib.h>
#include <stdio.h>

#define QN_GROUPS_PER_TYPE_MAX 64

/* X(code, name as printed) */
#define QN_PROBLEMS(X)                                                        \
    X(QN_ANSWER_REFUSED, "answer_refused")                                    \
    X(QN_NOTHING_DESCRIBED, "nothing_described")                              \
    X(QN_ZONE_UNKNOWN, "zone_unknown")                                        \
    X(QN_ZONE_TWICE, "zone_twice")                                            \
    X(QN_ZONE_WITHOUT_SERVER, "zone_without_server")                          \
    X(QN_FEWER_INSTANCES_THAN_ZONES, "fewer_instances_than_zones")            \
    X(QN_FEWER_SERVERS_THAN_ZONES, "fewer_servers_than_zones")                \
    X(QN_ADDRESS_UNUSABLE, "address_unusable")                                \
    X(QN_DRAFTS_WITHOUT_ENGINE, "drafts_without_engine")                      \
    X(QN_CALLS_WITHOUT_SERVICE, "calls_without_service")                      \
    X(QN_DRAFT_NOT_REPEATABLE, "draft_that_may_not_repeat")                   \
    X(QN_DEADLINE_BELOW_LOAD, "late_before_a_load_ends")                      \
    X(QN_DEADLINE_BELOW_TOKENS, "late_before_the_longest_draft_ends")         \
    X(QN_DEADLINE_BELOW_FIRST_TOKEN, "late_before_the_first_token")           \
    X(QN_TEAM_UNKNOWN, "team_unknown")                                        \
    X(QN_WARM_OVER_COUNT, "more_warm_than_there_are")                         \
    X(QN_WARM_OVER_SLOTS, "more_warm_than_slots")                             \
    X(QN_SERVERS_UNKNOWN, "servers_unknown")                                  \
    X(QN_ENGINE_WITHOUT_SLOTS, "engine_without_slots")                        \
    X(QN_NAME_UNUSABLE, "name_unusable")                                      \
    X(QN_CANNOT_WORK, "cannot_work")

typedef enum qn_problem_code {
#define QN_ENUM(code, name) code,
    QN_PROBLEMS(QN_ENUM)
#undef QN_ENUM
        QN_PROBLEM_NUM
} qn_problem_code;

typedef struct qn_problem {
    qn_problem_code code;
    char *question; /* as "[group] key" */
    char *message;  /* what is wrong, and which answer is accepted */
} qn_problem;

/* Generates the configuration. file: name of the answers in error messages.
   Returns ER_SETTING_CONFLICT and fills problem if the answers give no valid
   configuration. Free text with g_free(). */
er_code qn_generate(GKeyFile *answers, const char *file, char **text,
                    qn_problem *problem);
void qn_problem_clear(qn_problem *problem);

/* Asks each question on out and reads the answer from in. A question is
   repeated until its answer is valid; an empty line selects the default.
   Returns ER_FILE if the input ends early. */
er_code qn_interview(FILE *in, FILE *out, GKeyFile *answers,
                     er_status *status);

/* queries */
const char *qn_query_problem_name(qn_problem_code code);
/* Returns the reference of the questions in Markdown; free with g_free(). */
char *qn_query_reference(void);

#endif
