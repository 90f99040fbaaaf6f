/*
 * Fuzz target: HTTP responses of upstreams, parsed as answers and as reports.
 */
#include "exchange.h"

static void
fuzz_on_answer(const struct kwb_message *message)
{
	struct kwb_upstream_answer answer;
	struct kwb_upstream_report report;
	uint32_t i;

	if (message->status < 200 || message->status > 599)
		abort();
	platform_message_codec.parse_answer(message, &answer);
	if (platform_message_codec.parse_report(message, &report) != 0)
		return;
	for (i = 0; i < report.models.count; i++)
		if (report.models.list[i].name[0] == '\0')
			abort();
	kwb_upstream_models_finish(&report.models);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	fuzz_feed(data, length_bytes, false, fuzz_on_answer);
	return 0;
}
