/*
 * Difference and three-way merge of the two lists. An entry is one plan or one
 * allowance: edits of different entries are combined, different edits of the
 * same entry conflict. Entries are compared by their printed text.
 */
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

static void plan_print(const struct kwb_plan *plan, struct kwb_buf *out);
static void allowance_print(
    const struct kwb_allowance *allowance, struct kwb_buf *out);
static void print_entry(const struct kwb_lists *lists, bool is_plan,
    const char *name, struct kwb_buf *out);
static uint32_t collect_names(const struct kwb_lists *const *lists,
    unsigned count, bool is_plan, const char **names);
static int merge_entries(struct kwb_lists *merged,
    const struct kwb_lists *const *sides, bool is_plan,
    struct kwb_buf *conflicts);
static int copy_entry(struct kwb_lists *merged, const struct kwb_lists *from,
    bool is_plan, const char *name);

int
kwb_lists_diff(const struct kwb_lists *from, const struct kwb_lists *to,
    struct kwb_buf *out)
{
	const struct kwb_lists *sides[] = {from, to};
	const char *names[2 * KWB_PLANS_MAX];
	struct kwb_buf old_text, new_text;
	uint32_t i, count;
	int differing = 0;
	int is_plan;

	kwb_buf_init(&old_text);
	kwb_buf_init(&new_text);
	for (is_plan = 1; is_plan >= 0; is_plan--) {
		count = collect_names(sides, 2, is_plan != 0, names);
		for (i = 0; i < count; i++) {
			old_text.used_bytes = new_text.used_bytes = 0;
			print_entry(from, is_plan != 0, names[i], &old_text);
			print_entry(to, is_plan != 0, names[i], &new_text);
			if (strcmp(kwb_buf_text(&old_text),
				kwb_buf_text(&new_text)) == 0)
				continue;
			differing++;
			if (old_text.used_bytes > 0)
				kwb_buf_printf(out, "- %s\n", old_text.data);
			if (new_text.used_bytes > 0)
				kwb_buf_printf(out, "+ %s\n", new_text.data);
		}
	}
	kwb_buf_finish(&old_text);
	kwb_buf_finish(&new_text);
	return differing;
}

int
kwb_lists_merge(struct kwb_lists **merged, const struct kwb_lists *base,
    const struct kwb_lists *theirs, const struct kwb_lists *ours,
    struct kwb_buf *conflicts)
{
	const struct kwb_lists *sides[] = {base, theirs, ours};
	int error;

	*merged = calloc(1, sizeof(**merged));
	if (*merged == NULL)
		return KWB_ERR_MEMORY;
	(*merged)->revision = theirs->revision;
	error = merge_entries(*merged, sides, true, conflicts);
	if (error == 0 || error == KWB_ERR_LISTS_CONFLICT) {
		int allowances_error =
		    merge_entries(*merged, sides, false, conflicts);

		error = error ? error : allowances_error;
	}
	if (error == 0)
		return 0;
	kwb_lists_free(*merged);
	*merged = NULL;
	return error;
}

static int
merge_entries(struct kwb_lists *merged, const struct kwb_lists *const *sides,
    bool is_plan, struct kwb_buf *conflicts)
{
	const char *names[3 * KWB_PLANS_MAX];
	uint32_t i, count = collect_names(sides, 3, is_plan, names);
	struct kwb_buf text[3];
	const struct kwb_lists *winner;
	int side, error = 0;

	for (i = 0; i < count; i++) {
		for (side = 0; side < 3; side++) {
			kwb_buf_init(&text[side]);
			print_entry(
			    sides[side], is_plan, names[i], &text[side]);
		}
		const char *base = kwb_buf_text(&text[0]);
		const char *theirs = kwb_buf_text(&text[1]);
		const char *ours = kwb_buf_text(&text[2]);

		winner = strcmp(ours, base) == 0 ? sides[1] : sides[2];
		if (strcmp(ours, base) != 0 && strcmp(theirs, base) != 0 &&
		    strcmp(ours, theirs) != 0) {
			kwb_buf_printf(conflicts,
			    "base   %s\ntheirs %s\nours   %s\n", base, theirs,
			    ours);
			error = KWB_ERR_LISTS_CONFLICT;
		}
		if (error == 0)
			error = copy_entry(merged, winner, is_plan, names[i]);
		for (side = 0; side < 3; side++)
			kwb_buf_finish(&text[side]);
	}
	return error;
}

static int
copy_entry(struct kwb_lists *merged, const struct kwb_lists *from, bool is_plan,
    const char *name)
{
	const struct kwb_plan *plan = kwb_lists_find_plan(from, name);
	const struct kwb_allowance *allowance =
	    kwb_lists_find_allowance(from, name);
	struct kwb_plan *to;
	void *grown;

	if (is_plan ? plan == NULL : allowance == NULL)
		return 0;
	if (!is_plan) {
		grown = realloc(merged->allowances,
		    (merged->allowances_count + 1) * sizeof(*allowance));
		if (grown == NULL)
			return KWB_ERR_MEMORY;
		merged->allowances = grown;
		merged->allowances[merged->allowances_count++] = *allowance;
		return 0;
	}
	grown =
	    realloc(merged->plans, (merged->plans_count + 1) * sizeof(*plan));
	if (grown == NULL)
		return KWB_ERR_MEMORY;
	merged->plans = grown;
	to = &merged->plans[merged->plans_count++];
	*to = *plan;
	to->rules = NULL;
	if (plan->rules_count == 0)
		return 0;
	to->rules = malloc(plan->rules_count * sizeof(*plan->rules));
	if (to->rules == NULL) {
		to->rules_count = 0;
		return KWB_ERR_MEMORY;
	}
	memcpy(
	    to->rules, plan->rules, plan->rules_count * sizeof(*plan->rules));
	return 0;
}

/* Collects the distinct names of all sides, in order of first appearance. */
static uint32_t
collect_names(const struct kwb_lists *const *lists, unsigned count,
    bool is_plan, const char **names)
{
	uint32_t i, j, entries, used = 0;
	unsigned side;

	for (side = 0; side < count; side++) {
		entries = is_plan ? lists[side]->plans_count
				  : lists[side]->allowances_count;
		for (i = 0; i < entries; i++) {
			const char *name = is_plan
			    ? lists[side]->plans[i].name
			    : lists[side]->allowances[i].plan;

			for (j = 0; j < used; j++)
				if (strcmp(names[j], name) == 0)
					break;
			if (j == used)
				names[used++] = name;
		}
	}
	return used;
}

static void
print_entry(const struct kwb_lists *lists, bool is_plan, const char *name,
    struct kwb_buf *out)
{
	const struct kwb_plan *plan = kwb_lists_find_plan(lists, name);
	const struct kwb_allowance *allowance =
	    kwb_lists_find_allowance(lists, name);

	if (is_plan && plan != NULL)
		plan_print(plan, out);
	if (!is_plan && allowance != NULL)
		allowance_print(allowance, out);
}

static void
plan_print(const struct kwb_plan *plan, struct kwb_buf *out)
{
	static const char *const kinds[] = {
	    "training", "interactive", "service"};
	uint32_t i;

	kwb_buf_printf(out,
	    "plan %s: customer=%s kind=%s pool=%s model=%s objective=%s "
	    "staleness_versions=%u mixed_versions=%d max_tokens=%u",
	    plan->name, plan->customer, kinds[plan->kind], plan->pool,
	    plan->model,
	    plan->objective == KWB_OBJECTIVE_IDLE ? "idle" : "staleness",
	    plan->staleness_versions, plan->mixed_versions, plan->max_tokens);
	for (i = 0; i < plan->rules_count; i++)
		kwb_buf_printf(out, " rule=%s:%s:%s:%ums",
		    plan->rules[i].method, plan->rules[i].path,
		    plan->rules[i].idempotent ? "idempotent" : "not-idempotent",
		    plan->rules[i].timeout_ms);
}

static void
allowance_print(const struct kwb_allowance *allowance, struct kwb_buf *out)
{
	kwb_buf_printf(out, "allowance %s: concurrent=%u queue=%u",
	    allowance->plan, allowance->concurrent, allowance->queue);
}
