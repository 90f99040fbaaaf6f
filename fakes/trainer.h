/*
 * Stand-in for a trainer: pulls steps and checks every sample against what
 * the fake engines make. It drops nothing by itself: a sample that comes twice
 * is counted as doubled.
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
	uint32_t samples; /* in a group */
	uint32_t max_tokens;
	uint64_t weight_version;
	uint32_t staleness_bound_versions;
	int64_t length_median; /* 0: lengths are not checked */
	int64_t length_spread_percent;
	uint64_t deadline_ns;
	uint32_t attempt_timeout_ms; /* most time of one attempt; 0 for none */
};

struct trainer_result {
	uint32_t received;
	uint32_t doubled;
	uint32_t wrong; /* text, spans or checksum not as made */
	uint32_t stale;
	uint32_t attempts;
	uint64_t tokens;
	uint64_t longest_sample_tokens;
	uint64_t age_sum; /* versions behind, summed over samples */
	uint64_t age_max;
	uint64_t oldest_version;
	uint64_t newest_version;
	uint64_t elapsed_ns;
	bool is_complete;
};

void trainer_pull_step(const struct trainer *trainer, uint64_t step,
    struct trainer_result *result);
void trainer_format_prompt(char *text, size_t capacity_bytes, const char *plan,
    uint64_t step, uint32_t group);

#endif
