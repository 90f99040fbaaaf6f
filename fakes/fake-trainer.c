/*
 * Stand-in for a trainer, as a program: pulls steps, publishes a new weight
 * version after each and prints a line for each step. Exits with 1 if any step
 * was incomplete or had a doubled, wrong or stale sample.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"
#include "trainer.h"

static void publish_version(
    const char *platform_url, const char *model, uint64_t version);

int
main(int argc, char **argv)
{
	const char *platform_url = fake_option(argc, argv, "--platform", "");
	const char *model = fake_option(argc, argv, "--model", "m");
	char entries[512], *rest = entries, *entry;
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
	/* ideal_ms: the longest sample, alone in the batch of an engine. */
	uint64_t token_us =
	    strtoull(fake_option(argc, argv, "--token_us", "2020"), NULL, 10);
	struct trainer_result result;
	int code = 0;

	kwb_http_init();
	kwb_text_copy(
	    entries, sizeof(entries), fake_option(argc, argv, "--entries", ""));
	while ((entry = strsep(&rest, ",")) != NULL &&
	    trainer.entries_count < TRAINER_ENTRIES_MAX)
		trainer.entries[trainer.entries_count++] = entry;
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
		publish_version(platform_url, model, ++trainer.weight_version);
	}
	return code;
}

static void
publish_version(const char *platform_url, const char *model, uint64_t version)
{
	char url[512], text[32];
	struct kwb_http_request request = {
	    .method = "PUT", .url = url, .body = text};
	struct kwb_http_answer answer;

	if (platform_url[0] == '\0')
		return;
	snprintf(url, sizeof(url), "%s/weights/%s", platform_url, model);
	request.body_bytes =
	    (size_t)snprintf(text, sizeof(text), "%" PRIu64, version);
	kwb_http_do(&request, &answer);
	kwb_http_answer_finish(&answer);
}
