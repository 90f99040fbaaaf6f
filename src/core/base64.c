/*
 * Base64 encoding and decoding.
 */
#include <nettle/base64.h>

#include "kwb_node.h"

int
kwb_base64_encode(struct kwb_buf *out, const void *data, size_t length_bytes)
{
	size_t encoded_bytes = BASE64_ENCODE_RAW_LENGTH(length_bytes);

	if (kwb_buf_reserve(out, encoded_bytes) != 0)
		return KWB_ERR_MEMORY;
	base64_encode_raw(out->data + out->used_bytes, length_bytes, data);
	out->used_bytes += encoded_bytes;
	out->data[out->used_bytes] = '\0';
	return 0;
}

int
kwb_base64_decode(struct kwb_buf *out, const char *text, size_t length_bytes)
{
	struct base64_decode_ctx context;
	size_t decoded_bytes = BASE64_DECODE_LENGTH(length_bytes);

	if (kwb_buf_reserve(out, decoded_bytes) != 0)
		return KWB_ERR_MEMORY;
	base64_decode_init(&context);
	if (!base64_decode_update(&context, &decoded_bytes,
		(uint8_t *)out->data + out->used_bytes, length_bytes, text) ||
	    !base64_decode_final(&context))
		return KWB_ERR_ARGUMENT;
	out->used_bytes += decoded_bytes;
	out->data[out->used_bytes] = '\0';
	return 0;
}
