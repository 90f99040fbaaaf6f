/*
 * Fuzz target: HTTP responses of upstreams, parsed as answers and as reports.
 */
#include "exchange.h"

static void
fuzz_on_answer(const struct kwb_message *message)
{
	struct kwb_upstream_answer answer;
	struct kwb_upstream_report report;

	if (message->status < 200 || message->status > 599)
		abort();
	platform_message_codec.parse_answer(message, &answer);
	if (platform_message_codec.parse_report(message, &report) == 0 &&
	    report.models_count > KWB_MODELS_MAX)
		abort();
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	fuzz_feed(data, length_bytes, false, fuzz_on_answer);
	return 0;
}
