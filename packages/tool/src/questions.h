/*
 * questions.h: the questions and their typed answers (private).
 */
#ifndef LACEWING_TOOL_QUESTIONS_H
#define LACEWING_TOOL_QUESTIONS_H

#include "lacewing/questionnaire.h"
#include "lacewing/settings.h"

typedef enum qn_weighs {
    QN_WEIGHS_CREST,
    QN_WEIGHS_HEAD_OF_LINE,
    QN_WEIGHS_LOADS,
    QN_WEIGHS_SLOWED
} qn_weighs;

typedef enum qn_answer { QN_NO, QN_YES, QN_UNKNOWN } qn_answer;

typedef enum qn_operation_kind { QN_DRAFT, QN_CALL } qn_operation_kind;

typedef enum qn_server_kind { QN_ENGINE, QN_SERVICE } qn_server_kind;

typedef enum qn_step { QN_STEP_IP, QN_STEP_PORT } qn_step;

/* Answers to the questions that stand once. */
typedef struct qn_basics {
    char *name;
    char *region;
    char *trade;
    uint32_t weighs; /* qn_weighs */
    uint32_t instances;
    char **zones;
    double latency_ms;
    double loads_per_s;
    uint32_t loads_at_once;
    uint32_t loads_in_transit;
    uint32_t load_ms;
    uint32_t first_token_ms;
    uint32_t token_interval_ms;
} qn_basics;

typedef struct qn_servers {
    char *name;
    uint32_t kind; /* qn_server_kind */
    uint32_t count;
    char **zones; /* empty: all */
    char *first_address;
    uint32_t step;         /* qn_step */
    uint32_t checks_fence; /* qn_answer */
    uint32_t pauses;       /* qn_answer */
    uint32_t slots;
    uint32_t adapter_slots;
    uint32_t tokens_per_s; /* 0: not known */
} qn_servers;

typedef struct qn_operation {
    char *name;
    uint32_t kind;       /* qn_operation_kind */
    uint32_t may_repeat; /* qn_answer */
    uint32_t late_after_ms;
    uint32_t longest_tokens;
    char **servers; /* names of [servers NAME]; empty: all */
} qn_operation;

typedef struct qn_adapters {
    char *name;
    uint32_t count;
    char *prefix;
    char *model;
    char *team;
    char *version;
    uint32_t always_warm;
} qn_adapters;

typedef struct qn_team {
    char *name;
    uint32_t weight;
    uint32_t requests_per_s;
    char **keys;
} qn_team;

typedef enum qn_family {
    QN_SERVERS,
    QN_OPERATIONS,
    QN_TEAMS,
    QN_ADAPTERS,
    QN_FAMILY_NUM
} qn_family;

/* One family of groups [GROUP NAME] and its questions. */
typedef struct qn_family_table {
    const char *group; /* without name */
    const char *asks;  /* for the names */
    const st_key *keys;
    size_t key_count;
    size_t size; /* of the struct; its first member is the name */
} qn_family_table;

typedef struct qn_answers {
    qn_basics basics;
    GPtrArray *families[QN_FAMILY_NUM];
} qn_answers;

extern const st_key qn_basic_keys[];
extern const size_t qn_basic_key_count;
extern const qn_family_table qn_families[QN_FAMILY_NUM];

/* Reads and checks each answer by itself. */
er_code qn_answers_load(GKeyFile *parsed, const char *file,
                        qn_answers *answers, er_status *status);
void qn_answers_clear(qn_answers *answers);
/* Checks one answer by itself. */
er_code qn_answer_check(GKeyFile *parsed, const char *file, const char *group,
                        const st_key *key, er_status *status);
/* Names the question whose answer qn_answers_load() refused. */
void qn_answers_refused(GKeyFile *parsed, const char *file,
                        const er_status *status, qn_problem *problem);

/* Finds answers that contradict each other; false when one was found. */
bool qn_answers_check(const qn_answers *answers, qn_problem *problem);
/* Zones of a group of servers: its own or all. */
char **qn_query_zones(const qn_answers *answers, const qn_servers *servers);
const qn_servers *qn_query_servers(const qn_answers *answers,
                                   const char *name);
/* Address of the nth server of a group (from 0); NULL: there is none. */
char *qn_query_address(const qn_servers *servers, uint32_t nth);

/* Fills a problem; problem->question and would_do are allocated. */
bool qn_problem_set(qn_problem *problem, qn_problem_code code,
                    const char *group, const char *key, const char *format,
                    ...) __attribute__((format(printf, 5, 6)));

#endif
