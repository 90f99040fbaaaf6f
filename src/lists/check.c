/*
 * Validation of the two lists: names, ranges and references. Every fault is
 * reported, with the file and line of its field where the document is known.
 */
#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include "kwb.h"

#define CONCURRENT_MAX 1000000u
#define QUEUE_MAX 1000000u
#define TIMEOUT_MS_MAX 600000u
#define TOKENS_MAX 1000000u
#define STALENESS_MAX_VERSIONS 1000u
#define LOCATION_MAX_BYTES 160

struct check {
	const struct kwb_lists_source *sources;
	unsigned sources_count;
	struct kwb_faults *faults;
};

static void check_plan(
    const struct check *check, const struct kwb_lists *lists, uint32_t index);
static void check_allowance(
    const struct check *check, const struct kwb_lists *lists, uint32_t index);
static void check_rules(
    const struct check *check, const struct kwb_plan *plan, uint32_t index);
static void add_fault(const struct check *check, const char *list,
    uint32_t index, const char *field, const char *message);
static int field_line(
    const char *text, const char *list, uint32_t index, const char *field);
static bool line_has_field(const char *line, const char *field);
static bool name_is_valid(const char *name);

int
kwb_lists_check(const struct kwb_lists *lists,
    const struct kwb_lists_source *sources, unsigned sources_count,
    struct kwb_faults *faults)
{
	struct check check = {sources, sources_count, faults};
	unsigned before = faults->count;
	uint32_t i;

	for (i = 0; i < lists->plans_count; i++)
		check_plan(&check, lists, i);
	for (i = 0; i < lists->allowances_count; i++)
		check_allowance(&check, lists, i);
	return faults->count == before ? 0 : KWB_ERR_LISTS_INVALID;
}

static void
check_plan(
    const struct check *check, const struct kwb_lists *lists, uint32_t index)
{
	const struct kwb_plan *plan = &lists->plans[index];
	uint32_t i;

	if (!name_is_valid(plan->name))
		add_fault(check, "plans", index, "name",
		    "must be 1 to 63 letters, digits, '-' or '_'");
	for (i = 0; i < index; i++)
		if (strcmp(lists->plans[i].name, plan->name) == 0)
			add_fault(
			    check, "plans", index, "name", "duplicate name");
	if (plan->customer[0] == '\0')
		add_fault(check, "plans", index, "customer", "missing");
	if (plan->pool[0] == '\0')
		add_fault(check, "plans", index, "pool", "missing");
	if (plan->kind != KWB_PLAN_SERVICE && plan->model[0] == '\0')
		add_fault(check, "plans", index, "model", "missing");
	if (plan->kind == KWB_PLAN_SERVICE && plan->model[0] != '\0')
		add_fault(check, "plans", index, "model",
		    "a service plan has no model");
	if (plan->kind != KWB_PLAN_SERVICE && plan->rules_count > 0)
		add_fault(check, "plans", index, "rules",
		    "only a service plan has rules");
	if (plan->staleness_versions > STALENESS_MAX_VERSIONS)
		add_fault(check, "plans", index, "staleness_versions",
		    "must be 0 to 1000 versions");
	if (plan->max_tokens > TOKENS_MAX)
		add_fault(check, "plans", index, "max_tokens",
		    "must be 1 to 1000000 tokens");
	if (kwb_lists_find_allowance(lists, plan->name) == NULL)
		add_fault(check, "plans", index, "name",
		    "no allowance refers to this plan");
	check_rules(check, plan, index);
}

static void
check_rules(
    const struct check *check, const struct kwb_plan *plan, uint32_t index)
{
	uint32_t i;

	for (i = 0; i < plan->rules_count; i++) {
		const struct kwb_rule *rule = &plan->rules[i];

		if (rule->method[0] == '\0')
			add_fault(check, "plans", index, "method", "missing");
		if (rule->path[0] != '/')
			add_fault(check, "plans", index, "path",
			    "must begin with '/'");
		if (rule->timeout_ms > TIMEOUT_MS_MAX)
			add_fault(check, "plans", index, "timeout_ms",
			    "must be 1 to 600000 ms");
	}
}

static void
check_allowance(
    const struct check *check, const struct kwb_lists *lists, uint32_t index)
{
	const struct kwb_allowance *allowance = &lists->allowances[index];
	uint32_t i;

	if (kwb_lists_find_plan(lists, allowance->plan) == NULL)
		add_fault(
		    check, "allowances", index, "plan", "refers to no plan");
	for (i = 0; i < index; i++)
		if (strcmp(lists->allowances[i].plan, allowance->plan) == 0)
			add_fault(check, "allowances", index, "plan",
			    "duplicate allowance");
	if (allowance->concurrent == 0 ||
	    allowance->concurrent > CONCURRENT_MAX)
		add_fault(check, "allowances", index, "concurrent",
		    "must be 1 to 1000000 requests");
	if (allowance->queue > QUEUE_MAX)
		add_fault(check, "allowances", index, "queue",
		    "must be 0 to 1000000 requests");
}

static void
add_fault(const struct check *check, const char *list, uint32_t index,
    const char *field, const char *message)
{
	char location[LOCATION_MAX_BYTES] = "lists";
	unsigned i;
	int line;

	for (i = 0; i < check->sources_count; i++) {
		line = field_line(check->sources[i].text, list, index, field);
		if (line > 0)
			snprintf(location, sizeof(location), "%s:%d",
			    check->sources[i].file, line);
	}
	kwb_faults_add(check->faults, "%s: %s[%u].%s: %s", location, list,
	    index, field, message);
}

/*
 * Line number, from 1, of a field of the index-th item of a list in block
 * style. The item's first line if it lacks the field; 0 if there is no such
 * item.
 */
static int
field_line(
    const char *text, const char *list, uint32_t index, const char *field)
{
	size_t list_length = strlen(list);
	bool is_inside = false;
	int line = 0, item_line = 0;
	size_t item_indent = SIZE_MAX;
	uint32_t items_seen = 0;

	for (; *text != '\0';
	     text += strcspn(text, "\n"), text += *text == '\n') {
		size_t indent = strspn(text, " ");
		const char *word = text + indent;

		line++;
		if (indent == 0 && isalpha((unsigned char)*word))
			is_inside = strncmp(word, list, list_length) == 0 &&
			    word[list_length] == ':';
		if (!is_inside)
			continue;
		if (word[0] == '-' && word[1] == ' ') {
			if (item_indent == SIZE_MAX)
				item_indent = indent;
			if (indent == item_indent && items_seen++ == index)
				item_line = line;
			word += 1 + strspn(word + 1, " ");
		}
		if (items_seen == index + 1 && line_has_field(word, field))
			return line;
	}
	return item_line;
}

/* Whether the line has the field as a key, in block or in flow style. */
static bool
line_has_field(const char *line, const char *field)
{
	size_t length = strlen(field), end = strcspn(line, "\n");
	const char *match = line;

	while ((match = strstr(match, field)) != NULL && match < line + end) {
		if (match[length] == ':' &&
		    (match == line || match[-1] == ' ' || match[-1] == '{'))
			return true;
		match += length;
	}
	return false;
}

static bool
name_is_valid(const char *name)
{
	const char *c;

	for (c = name; *c != '\0'; c++)
		if (!isalnum((unsigned char)*c) && *c != '-' && *c != '_')
			return false;
	return name[0] != '\0';
}
