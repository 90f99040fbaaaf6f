/*
 * Frames: a 4-byte big-endian length, then one packed protobuf Frame. The
 * length is checked before it is used, as the peer may send anything; a bad
 * length or message is an error after which the link must be closed.
 */
#include <arpa/inet.h>
#include <string.h>

#include "kwb.h"
#include "wire.h"

#define HEADER_BYTES 4 /* the length */

int
kwb_frame_pack(const struct Kwb__Wire__Frame *frame, struct kwb_buf *out)
{
	size_t length = kwb__wire__frame__get_packed_size(frame);
	uint32_t header = htonl((uint32_t)length);

	if (length > KWB_FRAME_MAX_BYTES)
		return KWB_ERR_WIRE_SIZE;
	if (kwb_buf_reserve(out, HEADER_BYTES + length) != 0)
		return KWB_ERR_MEMORY;
	kwb_buf_add(out, &header, HEADER_BYTES);
	kwb__wire__frame__pack(frame, (uint8_t *)out->data + out->used_bytes);
	out->used_bytes += length;
	return 0;
}

/*
 * Whether a message, or one inside it, has an unknown field with the number 0.
 * No field may have it, but protobuf-c reads it from a tag of several bytes.
 */
static bool
has_field_zero(const ProtobufCMessage *message)
{
	const ProtobufCMessageDescriptor *descriptor = message->descriptor;
	unsigned i;

	for (i = 0; i < message->n_unknown_fields; i++)
		if (message->unknown_fields[i].tag == 0)
			return true;
	for (i = 0; i < descriptor->n_fields; i++) {
		const ProtobufCFieldDescriptor *field = &descriptor->fields[i];
		const char *base = (const char *)message;
		const ProtobufCMessage *const *inner =
		    (const void *)(base + field->offset);
		size_t count = 1;

		if (field->type != PROTOBUF_C_TYPE_MESSAGE)
			continue;
		if (field->label == PROTOBUF_C_LABEL_REPEATED) {
			count =
			    *(const size_t *)(base + field->quantifier_offset);
			inner = *(const ProtobufCMessage *const *const *)inner;
		} else if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0 &&
		    *(const uint32_t *)(base + field->quantifier_offset) !=
			field->id) {
			continue;
		}
		for (; count > 0; count--, inner++)
			if (*inner != NULL && has_field_zero(*inner))
				return true;
	}
	return false;
}

/*
 * Takes one frame off the front of in. Returns 1 with a frame, 0 when more
 * bytes are needed, or an error after which the stream is unusable.
 */
int
kwb_frame_unpack(struct kwb_buf *in, struct Kwb__Wire__Frame **frame)
{
	uint32_t header, length;

	*frame = NULL;
	if (in->used_bytes < HEADER_BYTES)
		return 0;
	memcpy(&header, in->data, HEADER_BYTES);
	length = ntohl(header);
	if (length > KWB_FRAME_MAX_BYTES)
		return KWB_ERR_WIRE_SIZE;
	if (in->used_bytes < HEADER_BYTES + (size_t)length)
		return 0;
	*frame = kwb__wire__frame__unpack(
	    NULL, length, (const uint8_t *)in->data + HEADER_BYTES);
	kwb_buf_consume(in, HEADER_BYTES + (size_t)length);
	if (*frame == NULL)
		return KWB_ERR_WIRE_FRAME;
	if ((*frame)->body_case == KWB__WIRE__FRAME__BODY__NOT_SET ||
	    has_field_zero(&(*frame)->base)) {
		kwb_frame_free(*frame);
		*frame = NULL;
		return KWB_ERR_WIRE_FRAME;
	}
	return 1;
}

void
kwb_frame_free(struct Kwb__Wire__Frame *frame)
{
	if (frame != NULL)
		kwb__wire__frame__free_unpacked(frame, NULL);
}
