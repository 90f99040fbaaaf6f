/*
 * Fuzz target: frames between entries and agents. A frame that can be unpacked
 * must be one again after packing.
 */
#include <stdlib.h>

#include "kwb.h"
#include "fuzz.h"

static void
repack_frame(const struct Kwb__Wire__Frame *frame)
{
	struct Kwb__Wire__Frame *again = NULL;
	struct kwb_buf out;

	kwb_buf_init(&out);
	if (kwb_frame_pack(frame, &out) == 0 &&
	    (kwb_frame_unpack(&out, &again) != 1 || out.used_bytes != 0))
		abort();
	kwb_frame_free(again);
	kwb_buf_finish(&out);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	struct Kwb__Wire__Frame *frame;
	struct kwb_buf in;

	kwb_buf_init(&in);
	if (kwb_buf_add(&in, data, length_bytes) != 0)
		abort();
	while (kwb_frame_unpack(&in, &frame) == 1) {
		repack_frame(frame);
		kwb_frame_free(frame);
	}
	kwb_buf_finish(&in);
	return 0;
}
