/*
 * Fuzz target: HTTP requests of callers and trainers, and batch submissions.
 */
#include "exchange.h"

static void
fuzz_on_request(const struct kwb_message *message)
{
	struct kwb_request_head request;
	struct kwb_batch_spec spec;

	platform_message_codec.parse_request(message, &request);
	if (platform_message_codec.parse_batch(kwb_buf_text(&message->body),
		message->body.used_bytes, &spec) == 0)
		kwb_batch_spec_finish(&spec);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	fuzz_feed(data, length_bytes, true, fuzz_on_request);
	return 0;
}
