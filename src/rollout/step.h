/*
 * Internals of a step that a trainer is pulling: its samples and their state.
 */
#ifndef KWB_ROLLOUT_STEP_H
#define KWB_ROLLOUT_STEP_H

#include <jansson.h>

#include "../entry/entry.h"

struct sample {
	struct generation generation;
	Kwb__Wire__Slot slot;
	bool delivered; /* now or in an earlier attempt */
	bool is_held;	/* by an agent, from an earlier attempt */
	bool held_done; /* the agent has all of it */
	uint32_t held_tokens;
	char held_vm[KWB_NAME_MAX_BYTES]; /* of that agent */
	char held_key[KWB_KEY_MAX_BYTES]; /* of its request there */
};

struct step {
	struct kwb_entry *entry;
	struct mg_connection *connection;
	struct plan_state *gate; /* of the plan */
	struct inbox inbox;
	struct kwb_plan plan; /* copy, without its rules */
	json_t *request;      /* body of the pull */
	uint64_t number;
	uint32_t attempt;	  /* from 1; a higher one supersedes it */
	uint64_t trainer_version; /* newest weights of the trainer */
	uint32_t bound_versions;  /* versions that a sample may be behind */
	uint64_t start_ns;
	uint64_t deadline_ns;
	uint32_t samples_count;
	uint32_t remaining; /* samples that the trainer doesn't have yet */
	uint32_t delivered_count; /* in this attempt */
	uint32_t stale_count;	  /* samples discarded as too old */
	uint64_t wasted_tokens;	  /* discarded */
	uint64_t generated_tokens;
	uint64_t token_ns; /* usual time between tokens */
	bool client_gone;
	bool superseded;	/* by a newer attempt or step */
	bool may_start;		/* a slot may have become free */
	struct sample *samples; /* array of samples_count */
};

/* step_pull.c: the trainer's request, and samples that agents already hold */
int step_parse(struct step *step, const char *plan, const char *body,
    const char **fault); /* 0 or an error, then with a text in `fault` */
void step_find_held(struct step *step);

#endif
