/*
 * Stand-in for a trainer: pulls steps and checks every sample against what the
 * fake engine generates. It does not remove duplicates: a sample that arrives
 * twice is counted as doubled.
 */
#ifndef KWB_FAKES_TRAINER_H
#define KWB_FAKES_TRAINER_H

#include "kwb.h"

#define TRAINER_ENTRIES_MAX 8

struct trainer {
	const char *entries[TRAINER_ENTRIES_MAX]; /* "http://IP:PORT" */
	unsigned entries_count;
	const char *plan;
	uint32_t groups;
	uint32_t samples; /* of each group */
	uint32_t max_tokens;
	uint64_t weight_version;	   /* that the trainer has now */
	uint32_t staleness_bound_versions; /* older samples count as stale */
	int64_t length_median; /* tokens; 0: lengths are not checked */
	int64_t length_spread_percent;
	uint64_t deadline_ns;	     /* end of all attempts */
	uint32_t attempt_timeout_ms; /* 0: no limit but the deadline */
};

struct trainer_result {
	uint32_t received; /* different samples */
	uint32_t doubled;  /* copies beyond the first */
	uint32_t wrong;	   /* text, spans, checksum or length differ */
	uint32_t stale;	   /* more versions behind than the bound */
	uint32_t attempts;
	uint64_t tokens; /* of all samples */
	uint64_t longest_sample_tokens;
	uint64_t age_sum; /* versions behind, summed over samples */
	uint64_t age_max;
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t elapsed_ns;
	bool is_complete; /* every sample arrived before the deadline */
};

/*
 * Pulls a step from the entries in turn, again until every sample has arrived
 * or the deadline passes.
 */
void trainer_pull_step(const struct trainer *trainer, uint64_t step,
    struct trainer_result *result);
/* Prints the prompt of a group, which differs by plan and step. */
void trainer_format_prompt(char *text, size_t capacity_bytes, const char *plan,
    uint64_t step, uint32_t group);

#endif
