/*
 * Stand-in for a trainer, as a program: pulls steps, publishes the next
 * weights after each, prints a line a step.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"
#include "trainer.h"

static void publish(const char *platform, const char *model, uint64_t version);

int
main(int argc, char **argv)
{
	const char *platform = fake_option(argc, argv, "--platform", "");
	const char *model = fake_option(argc, argv, "--model", "m");
	char entries[512], *rest = entries, *one;
	uint64_t steps =
	    strtoull(fake_option(argc, argv, "--steps", "1"), NULL, 10);
	uint64_t step;
	struct trainer trainer = {
	    .plan = fake_option(argc, argv, "--plan", "quotes"),
	    .groups = 8,
	    .samples = 4,
	    .max_tokens = 512,
	    .weight_version = 1,
	    .staleness_bound_versions = 1,
	};
	/* The longest sample alone, at the engine's pace. */
	uint64_t token_us =
	    strtoull(fake_option(argc, argv, "--token_us", "2020"), NULL, 10);
	struct trainer_result result;
	int code = 0;

	kwb_http_init();
	kwb_text_copy(
	    entries, sizeof(entries), fake_option(argc, argv, "--entries", ""));
	while ((one = strsep(&rest, ",")) != NULL &&
	    trainer.entries_count < TRAINER_ENTRIES_MAX)
		trainer.entries[trainer.entries_count++] = one;
	for (step = 1; step <= steps; step++) {
		trainer.deadline_ns = kwb_clock_now_ns() + 120000 * KWB_MS_NS;
		trainer_pull_step(&trainer, step, &result);
		printf(
		    "step=%" PRIu64 " version=%" PRIu64
		    " samples=%u doubled=%u wrong=%u stale=%u tokens=%" PRIu64
		    " oldest=%" PRIu64 " newest=%" PRIu64 " age_mean=%.2f "
		    "time_ms=%" PRIu64 " ideal_ms=%" PRIu64 " attempts=%u\n",
		    step, trainer.weight_version, result.received,
		    result.doubled, result.wrong, result.stale, result.tokens,
		    result.oldest_version, result.newest_version,
		    result.received ? (double)result.age_sum / result.received
				    : 0,
		    (uint64_t)(result.elapsed_ns / KWB_MS_NS),
		    result.longest_sample_tokens * token_us / 1000,
		    result.attempts);
		fflush(stdout);
		if (!result.is_complete || result.doubled || result.wrong ||
		    result.stale)
			code = 1;
		publish(platform, model, ++trainer.weight_version);
	}
	return code;
}

static void
publish(const char *platform, const char *model, uint64_t version)
{
	char url[512], text[32];
	struct kwb_http_request request = {
	    .method = "PUT", .url = url, .body = text};
	struct kwb_http_answer answer;

	if (platform[0] == '\0')
		return;
	snprintf(url, sizeof(url), "%s/weights/%s", platform, model);
	request.body_bytes =
	    (size_t)snprintf(text, sizeof(text), "%" PRIu64, version);
	kwb_http_do(&request, &answer);
	kwb_http_answer_finish(&answer);
}
