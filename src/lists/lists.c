/*
 * The two lists: schema of the YAML document, parsing, printing and look-up.
 */
#include <stdlib.h>
#include <string.h>

#include "../core/yaml.h"

#define OPT CYAML_FLAG_OPTIONAL
#define RULE_TIMEOUT_MS_DEFAULT 10000
#define MAX_TOKENS_DEFAULT 4096

/* Optional fields whose key in the document is the name of the member. */
#define TEXT(type, field) CYAML_FIELD_STRING(#field, OPT, type, field, 0)
#define UINT(type, field) CYAML_FIELD_UINT(#field, OPT, type, field)

static const cyaml_strval_t plan_kinds[] = {
    {"training", KWB_PLAN_TRAINING},
    {"interactive", KWB_PLAN_INTERACTIVE},
    {"service", KWB_PLAN_SERVICE},
};

static const cyaml_strval_t objectives[] = {
    {"idle", KWB_OBJECTIVE_IDLE},
    {"staleness", KWB_OBJECTIVE_STALENESS},
};

static const cyaml_schema_field_t rule_fields[] = {
    TEXT(struct kwb_rule, method),
    TEXT(struct kwb_rule, path),
    CYAML_FIELD_BOOL("idempotent", OPT, struct kwb_rule, idempotent),
    UINT(struct kwb_rule, timeout_ms),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t rule_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct kwb_rule, rule_fields),
};

static const cyaml_schema_field_t plan_fields[] = {
    TEXT(struct kwb_plan, name),
    TEXT(struct kwb_plan, customer),
    CYAML_FIELD_ENUM("kind", OPT, struct kwb_plan, kind, plan_kinds, 3),
    TEXT(struct kwb_plan, pool),
    TEXT(struct kwb_plan, model),
    CYAML_FIELD_ENUM(
	"objective", OPT, struct kwb_plan, objective, objectives, 2),
    UINT(struct kwb_plan, staleness_versions),
    CYAML_FIELD_BOOL("mixed_versions", OPT, struct kwb_plan, mixed_versions),
    UINT(struct kwb_plan, max_tokens),
    CYAML_FIELD_SEQUENCE("rules", OPT | CYAML_FLAG_POINTER, struct kwb_plan,
	rules, &rule_schema, 0, KWB_RULES_MAX),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t plan_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_DEFAULT, struct kwb_plan, plan_fields),
};

static const cyaml_schema_field_t allowance_fields[] = {
    TEXT(struct kwb_allowance, plan),
    UINT(struct kwb_allowance, concurrent),
    UINT(struct kwb_allowance, queue),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t allowance_schema = {
    CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct kwb_allowance, allowance_fields),
};

static const cyaml_schema_field_t lists_fields[] = {
    CYAML_FIELD_UINT("revision", OPT, struct kwb_lists, revision),
    CYAML_FIELD_SEQUENCE("plans", OPT | CYAML_FLAG_POINTER, struct kwb_lists,
	plans, &plan_schema, 0, KWB_PLANS_MAX),
    CYAML_FIELD_SEQUENCE("allowances", OPT | CYAML_FLAG_POINTER,
	struct kwb_lists, allowances, &allowance_schema, 0, KWB_PLANS_MAX),
    CYAML_FIELD_END,
};

static const cyaml_schema_value_t lists_schema = {
    CYAML_VALUE_MAPPING(CYAML_FLAG_POINTER, struct kwb_lists, lists_fields),
};

static void fill_defaults(struct kwb_lists *lists);

int
kwb_lists_parse(struct kwb_lists **lists, const struct kwb_lists_source *source,
    struct kwb_faults *faults)
{
	struct kwb_yaml yaml;
	int error;

	kwb_yaml_init(&yaml, source->file, faults);
	error = kwb_yaml_load(&yaml, source->text, strlen(source->text),
	    &lists_schema, (void **)lists);
	kwb_yaml_finish(&yaml);
	if (*lists != NULL)
		fill_defaults(*lists);
	return error ? KWB_ERR_LISTS_INVALID : 0;
}

int
kwb_lists_print(const struct kwb_lists *lists, struct kwb_buf *out)
{
	struct kwb_faults faults = {0};
	struct kwb_yaml yaml;
	char *text = NULL;
	size_t length = 0;
	cyaml_err_t error;

	kwb_yaml_init(&yaml, "lists", &faults);
	error = cyaml_save_data(&text, &length, &yaml.config, &lists_schema,
	    (const cyaml_data_t *)lists, 0);
	kwb_yaml_finish(&yaml);
	if (error != CYAML_OK)
		return KWB_ERR_LISTS_INVALID;
	kwb_buf_add(out, text, length);
	free(text);
	return 0;
}

void
kwb_lists_free(struct kwb_lists *lists)
{
	struct kwb_faults faults = {0};
	struct kwb_yaml yaml;

	if (lists == NULL)
		return;
	kwb_yaml_init(&yaml, "", &faults);
	cyaml_free(&yaml.config, &lists_schema, lists, 0);
	kwb_yaml_finish(&yaml);
}

const struct kwb_plan *
kwb_lists_find_plan(const struct kwb_lists *lists, const char *name)
{
	uint32_t i;

	for (i = 0; lists != NULL && i < lists->plans_count; i++)
		if (strcmp(lists->plans[i].name, name) == 0)
			return &lists->plans[i];
	return NULL;
}

const struct kwb_allowance *
kwb_lists_find_allowance(const struct kwb_lists *lists, const char *plan)
{
	uint32_t i;

	for (i = 0; lists != NULL && i < lists->allowances_count; i++)
		if (strcmp(lists->allowances[i].plan, plan) == 0)
			return &lists->allowances[i];
	return NULL;
}

/* The method must be equal; the rule's path must be a prefix of the path. */
const struct kwb_rule *
kwb_plan_match_rule(
    const struct kwb_plan *plan, const char *method, const char *path)
{
	uint32_t i;

	for (i = 0; i < plan->rules_count; i++) {
		const struct kwb_rule *rule = &plan->rules[i];

		if (strcmp(rule->method, method) == 0 &&
		    strncmp(rule->path, path, strlen(rule->path)) == 0)
			return rule;
	}
	return NULL;
}

static void
fill_defaults(struct kwb_lists *lists)
{
	uint32_t i, j;

	for (i = 0; i < lists->plans_count; i++) {
		struct kwb_plan *plan = &lists->plans[i];

		if (plan->max_tokens == 0)
			plan->max_tokens = MAX_TOKENS_DEFAULT;
		for (j = 0; j < plan->rules_count; j++)
			if (plan->rules[j].timeout_ms == 0)
				plan->rules[j].timeout_ms =
				    RULE_TIMEOUT_MS_DEFAULT;
	}
}
