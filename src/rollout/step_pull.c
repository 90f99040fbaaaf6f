/*
 * A trainer's request for a step: parsed and checked, then matched with the
 * samples that agents hold from earlier attempts. Agents refuse those attempts
 * from then on.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "step.h"

#define FIND_TIMEOUT_NS (500 * KWB_MS_NS) /* for the agents' answers */
#define SAMPLES_MAX 16384		  /* of a step; error texts name it */

static int groups_parse(struct step *step, json_t *groups, const char **fault);
static void sample_init(
    struct step *step, struct sample *sample, json_t *group, uint32_t index);
static void have_parse(struct step *step, json_t *have);
static struct sample *sample_find(
    struct step *step, uint64_t group, uint64_t index);
static void found_merge(struct step *step, const struct target *target,
    const Kwb__Wire__Found *found);

int
step_parse(
    struct step *step, const char *plan, const char *body, const char **fault)
{
	const struct kwb_plan *found;
	json_t *value;

	found = kwb_lists_find_plan(kwb_current_lists_read_lock(), plan);
	if (found != NULL)
		step->plan = *found;
	step->plan.rules = NULL;
	step->plan.rules_count = 0;
	kwb_current_lists_read_unlock();
	if (found == NULL || step->plan.kind != KWB_PLAN_TRAINING) {
		*fault = "no such training plan";
		return KWB_ERR_ARGUMENT;
	}
	step->gate = entry_plan_state(step->entry, plan);
	entry_note_demand(step->entry, step->gate);
	step->request = json_loads(body, 0, NULL);
	if (!json_is_object(step->request)) {
		*fault = "body is no JSON object";
		return KWB_ERR_ARGUMENT;
	}
	value = json_object_get(step->request, "attempt");
	step->attempt = (uint32_t)json_integer_value(value);
	if (!json_is_integer(value) || step->attempt == 0) {
		*fault = "attempt must be an integer from 1";
		return KWB_ERR_ARGUMENT;
	}
	value = json_object_get(step->request, "weight_version");
	step->trainer_version = (uint64_t)json_integer_value(value);
	if (!json_is_integer(value)) {
		*fault = "weight_version must be an integer";
		return KWB_ERR_ARGUMENT;
	}
	step->bound_versions = step->plan.staleness_versions;
	value = json_object_get(step->request, "staleness_bound");
	if (json_is_integer(value) && json_integer_value(value) >= 0 &&
	    (uint64_t)json_integer_value(value) < step->bound_versions)
		step->bound_versions = (uint32_t)json_integer_value(value);
	if (step->trainer_version > atomic_load(&step->gate->trainer_version))
		atomic_store(
		    &step->gate->trainer_version, step->trainer_version);
	if (groups_parse(
		step, json_object_get(step->request, "groups"), fault) != 0)
		return KWB_ERR_ARGUMENT;
	have_parse(step, json_object_get(step->request, "have"));
	return 0;
}

/*
 * Fences earlier attempts at all agents of the pool and collects the samples
 * that these hold.
 */
void
step_find_held(struct step *step)
{
	struct target *targets = calloc(KWB_PEERS_MAX, sizeof(*targets));
	uint64_t requests[KWB_PEERS_MAX];
	Kwb__Wire__Find find = KWB__WIRE__FIND__INIT;
	KWB_FRAME_DECLARE(frame, FIND, find, find);
	struct kwb_entry *entry = step->entry;
	uint64_t deadline_ns = kwb_clock_now_ns() + FIND_TIMEOUT_NS;
	struct event *event;
	unsigned i, count, answered = 0;

	if (targets == NULL)
		return;
	count = peers_in_pool(entry, step->plan.pool, targets, KWB_PEERS_MAX);
	find.plan = step->plan.name;
	find.step = step->number;
	find.attempt = step->attempt;
	for (i = 0; i < count; i++) {
		requests[i] = registry_open_request(
		    &entry->registry, &step->inbox, targets[i].link, NULL);
		find.request = requests[i];
		kwb_link_send(&entry->loop, targets[i].link, &frame);
	}
	while (answered < count &&
	    (event = inbox_wait(&step->inbox, deadline_ns)) != NULL) {
		for (i = 0; i < count; i++) {
			if (event->request_id != requests[i])
				continue;
			answered++;
			if (event->kind == EVENT_FRAME &&
			    event->frame->body_case ==
				KWB__WIRE__FRAME__BODY_FOUND)
				found_merge(
				    step, &targets[i], event->frame->found);
		}
		inbox_event_free(event);
	}
	for (i = 0; i < count; i++)
		registry_close_request(&entry->registry, requests[i]);
	free(targets);
}

static int
groups_parse(struct step *step, json_t *groups, const char **fault)
{
	json_t *group;
	size_t i;
	json_int_t wanted;
	uint64_t total = 0;
	uint32_t index;

	json_array_foreach (groups, i, group) {
		wanted = json_integer_value(json_object_get(group, "samples"));
		if (wanted < 1 || wanted > SAMPLES_MAX ||
		    !json_is_integer(json_object_get(group, "group")) ||
		    !json_is_string(json_object_get(group, "prompt"))) {
			*fault = "a group needs group, prompt and samples";
			return KWB_ERR_ARGUMENT;
		}
		total += (uint64_t)wanted;
	}
	if (total == 0 || total > SAMPLES_MAX) {
		*fault = "groups must want 1 to 16384 samples in all";
		return KWB_ERR_ARGUMENT;
	}
	step->samples = calloc(total, sizeof(*step->samples));
	if (step->samples == NULL)
		return KWB_ERR_MEMORY;
	json_array_foreach (groups, i, group) {
		wanted = json_integer_value(json_object_get(group, "samples"));
		for (index = 0; index < wanted; index++)
			sample_init(step, &step->samples[step->samples_count++],
			    group, index);
	}
	step->remaining = step->samples_count;
	return 0;
}

static void
sample_init(
    struct step *step, struct sample *sample, json_t *group, uint32_t index)
{
	struct generation *generation = &sample->generation;
	json_int_t seed = json_integer_value(json_object_get(group, "seed"));
	json_int_t tokens =
	    json_integer_value(json_object_get(group, "max_tokens"));

	generation_init(generation, &step->inbox);
	kwb__wire__slot__init(&sample->slot);
	sample->slot.step = step->number;
	sample->slot.attempt = step->attempt;
	sample->slot.group =
	    (uint32_t)json_integer_value(json_object_get(group, "group"));
	sample->slot.index = index;
	generation->slot = &sample->slot;
	generation->plan = step->plan.name;
	generation->model = step->plan.model;
	generation->prompt =
	    json_string_value(json_object_get(group, "prompt"));
	generation->max_tokens = step->plan.max_tokens;
	if (tokens > 0 && tokens < (json_int_t)step->plan.max_tokens)
		generation->max_tokens = (uint32_t)tokens;
	generation->seed = (uint64_t)seed * SAMPLES_MAX + index;
	generation->deadline_ns = step->deadline_ns;
	generation->slack_deadline_ns = step->deadline_ns;
	snprintf(generation->name, sizeof(generation->name),
	    "s/%.20s/%" PRIu64 "/%u/%u", step->plan.name, step->number,
	    sample->slot.group, index);
}

/* Marks the samples that the trainer has, [group, index], as delivered. */
static void
have_parse(struct step *step, json_t *have)
{
	struct sample *sample;
	json_t *pair;
	size_t i;

	json_array_foreach (have, i, pair) {
		sample = sample_find(step,
		    (uint64_t)json_integer_value(json_array_get(pair, 0)),
		    (uint64_t)json_integer_value(json_array_get(pair, 1)));
		if (sample == NULL || sample->delivered)
			continue;
		sample->delivered = true;
		step->remaining--;
	}
}

static struct sample *
sample_find(struct step *step, uint64_t group, uint64_t index)
{
	uint32_t i;

	for (i = 0; i < step->samples_count; i++)
		if (step->samples[i].slot.group == group &&
		    step->samples[i].slot.index == index)
			return &step->samples[i];
	return NULL;
}

/* Notes the samples that an agent holds; the most complete copy counts. */
static void
found_merge(struct step *step, const struct target *target,
    const Kwb__Wire__Found *found)
{
	size_t i;

	for (i = 0; i < found->n_held; i++) {
		const Kwb__Wire__Held *held = found->held[i];
		struct sample *sample;

		if (held->slot == NULL)
			continue;
		sample =
		    sample_find(step, held->slot->group, held->slot->index);
		if (sample == NULL || sample->delivered ||
		    (sample->is_held &&
			(sample->held_done ||
			    sample->held_tokens >= held->tokens) &&
			!(held->done && !sample->held_done)))
			continue;
		sample->is_held = true;
		sample->held_done = held->done;
		sample->held_tokens = held->tokens;
		kwb_text_copy(
		    sample->held_vm, sizeof(sample->held_vm), target->vm);
		kwb_text_copy(
		    sample->held_key, sizeof(sample->held_key), held->key);
	}
}
