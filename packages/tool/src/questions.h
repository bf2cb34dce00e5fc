/*
 * questions.h: the questions and their typed answers (private).
 */
#ifndef LACEWING_TOOL_QUESTIONS_H
#define LACEWING_TOOL_QUESTIONS_H

#include "lacewing/questionnaire.h"
#include "lacewing/settings.h"

typedef enum qn_objective {
    QN_OBJECTIVE_PEAK,
    QN_OBJECTIVE_HEAD_OF_LINE,
    QN_OBJECTIVE_LOADS,
    QN_OBJECTIVE_SLOWED_SERVERS
} qn_objective;

typedef enum qn_tristate { QN_NO, QN_YES, QN_UNKNOWN } qn_tristate;

typedef enum qn_operation_kind { QN_DRAFT, QN_CALL } qn_operation_kind;

typedef enum qn_server_kind { QN_ENGINE, QN_SERVICE } qn_server_kind;

typedef enum qn_address_step { QN_STEP_IP, QN_STEP_PORT } qn_address_step;

/* Answers to the questions that stand once. */
typedef struct qn_deployment {
    char *name;
    char *region;
    char *description;
    uint32_t objective; /* qn_objective */
    uint32_t instances;
    char **zones;
    double latency_ms;
    double loads_per_s;
    uint32_t loads_at_once;
    uint32_t loads_in_transit;
    uint32_t load_ms;
    uint32_t first_token_ms;
    uint32_t token_interval_ms;
} qn_deployment;

typedef struct qn_server_group {
    char *name;
    uint32_t kind; /* qn_server_kind */
    uint32_t count;
    char **zones; /* empty: all */
    char *first_address;
    uint32_t next_address; /* qn_address_step */
    uint32_t checks_fence; /* qn_tristate */
    uint32_t pauses;       /* qn_tristate */
    uint32_t slots;
    uint32_t adapter_slots;
    uint32_t tokens_per_s; /* 0: not known */
} qn_server_group;

typedef struct qn_operation {
    char *name;
    uint32_t kind;       /* qn_operation_kind */
    uint32_t may_repeat; /* qn_tristate */
    uint32_t deadline_ms;
    uint32_t max_tokens;
    char **servers; /* names of [servers NAME]; empty: all */
} qn_operation;

typedef struct qn_adapter_group {
    char *name;
    uint32_t count;
    char *prefix;
    char *model;
    char *team;
    char *version;
    uint32_t always_warm;
} qn_adapter_group;

typedef struct qn_team {
    char *name;
    uint32_t weight;
    uint32_t requests_per_s;
    char **keys;
} qn_team;

typedef enum qn_group_type {
    QN_GROUP_SERVERS,
    QN_GROUP_OPERATIONS,
    QN_GROUP_TEAMS,
    QN_GROUP_ADAPTERS,
    QN_GROUP_TYPE_NUM
} qn_group_type;

/* One family of groups [GROUP NAME] and its questions. */
typedef struct qn_group_table {
    const char *type_name; /* GROUP */
    const char *title;     /* for the names */
    const st_key *keys;
    size_t key_count;
    size_t size; /* of the struct; its first member is the name */
} qn_group_table;

typedef struct qn_answers {
    qn_deployment deployment;
    GPtrArray *groups[QN_GROUP_TYPE_NUM];
} qn_answers;

extern const st_key qn_deployment_keys[];
extern const size_t qn_deployment_key_count;
extern const qn_group_table qn_group_tables[QN_GROUP_TYPE_NUM];

/* Reads and checks each answer by itself. */
er_code qn_answers_load(GKeyFile *parsed, const char *file,
                        qn_answers *answers, er_status *status);
void qn_answers_clear(qn_answers *answers);
/* Checks one answer by itself. */
er_code qn_answer_check(GKeyFile *parsed, const char *file, const char *group,
                        const st_key *key, er_status *status);
/* Names the question whose answer qn_answers_load() refused. */
void qn_answers_describe_load_error(GKeyFile *parsed, const char *file,
                                    const er_status *status,
                                    qn_problem *problem);

/* Finds answers that contradict each other; false when one was found. */
bool qn_answers_check(const qn_answers *answers, qn_problem *problem);
/* Zones of a group of servers: its own or all. */
char **qn_query_zones(const qn_answers *answers,
                      const qn_server_group *servers);
const qn_server_group *qn_query_server_group(const qn_answers *answers,
                                             const char *name);
/* Address of the nth server of a group (from 0); NULL: there is none. */
char *qn_query_address(const qn_server_group *servers, uint32_t nth);

/* Fills a problem; problem->question and would_do are allocated. */
bool qn_problem_set(qn_problem *problem, qn_problem_code code,
                    const char *group, const char *key, const char *format,
                    ...) __attribute__((format(printf, 5, 6)));

#endif
