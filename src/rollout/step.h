/*
 * Inside of a step being pulled: its samples and where they stand.
 */
#ifndef KWB_ROLLOUT_STEP_H
#define KWB_ROLLOUT_STEP_H

#include <jansson.h>

#include "../entry/entry.h"

struct sample {
	struct generation generation;
	Kwb__Wire__Slot slot;
	bool delivered; /* now or in an earlier attempt */
	bool attachable;
	bool held_done;
	uint32_t held_tokens;
	char held_vm[KWB_NAME_MAX_BYTES];
	char held_key[KWB_KEY_MAX_BYTES];
};

struct step {
	struct kwb_entry *entry;
	struct mg_connection *connection;
	struct plan_gate *gate;
	struct inbox inbox;
	struct kwb_plan plan;
	json_t *pull;
	uint64_t number;
	uint32_t attempt;
	uint64_t trainer_version;
	uint32_t bound_versions;
	uint64_t begun_ns;
	uint64_t deadline_ns;
	uint32_t samples_count;
	uint32_t left;
	uint32_t delivered_now;
	uint32_t stale;
	uint64_t wasted_tokens;
	uint64_t generated_tokens;
	uint64_t token_ns; /* usual time between tokens */
	bool client_gone;
	bool superseded;
	bool refill; /* a place may have become free */
	struct sample *samples;
};

/* step_pull.c: what the trainer asks for and what agents already hold */
int step_parse(
    struct step *step, const char *plan, const char *body, const char **fault);
void step_find(struct step *step);

#endif
