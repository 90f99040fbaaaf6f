/*
 * One HTTP/1.1 message. One buffer holds the target and the headers, another
 * one the body.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "kwb_node.h"

#define HEADERS_INITIAL_CAPACITY 16

void
kwb_message_init(struct kwb_message *message)
{
	memset(message, 0, sizeof(*message));
}

void
kwb_message_finish(struct kwb_message *message)
{
	kwb_buf_finish(&message->text);
	kwb_buf_finish(&message->body);
	free(message->headers);
	memset(message, 0, sizeof(*message));
}

void
kwb_message_clear(struct kwb_message *message)
{
	message->text.used_bytes = 0;
	message->body.used_bytes = 0;
	message->headers_count = 0;
	message->target_offset = 0;
	message->method[0] = '\0';
	message->status = 0;
	message->keep_alive = false;
}

const char *
kwb_message_target(const struct kwb_message *message)
{
	return kwb_buf_text(&message->text) + message->target_offset;
}

const char *
kwb_message_header_name(const struct kwb_message *message, uint32_t index)
{
	return message->text.data + message->headers[index].name_offset;
}

const char *
kwb_message_header_value(const struct kwb_message *message, uint32_t index)
{
	return message->text.data + message->headers[index].value_offset;
}

const char *
kwb_message_header(const struct kwb_message *message, const char *name)
{
	uint32_t i;

	for (i = 0; i < message->headers_count; i++)
		if (strcasecmp(kwb_message_header_name(message, i), name) == 0)
			return kwb_message_header_value(message, i);
	return NULL;
}

static struct kwb_header *
message_new_header(struct kwb_message *message)
{
	uint32_t capacity = message->headers_capacity
	    ? message->headers_capacity * 2
	    : HEADERS_INITIAL_CAPACITY;
	struct kwb_header *headers;

	if (message->headers_count == message->headers_capacity) {
		headers =
		    realloc(message->headers, capacity * sizeof(*headers));
		if (headers == NULL)
			return NULL;
		message->headers = headers;
		message->headers_capacity = capacity;
	}
	return &message->headers[message->headers_count++];
}

bool
kwb_text_is_token(const char *text)
{
	size_t i;

	for (i = 0; text[i] != '\0'; i++)
		if (!kwb_http_is_token_byte(text[i]))
			return false;
	return i > 0;
}

bool
kwb_text_is_field_value(const char *text)
{
	for (; *text != '\0'; text++)
		if (!kwb_http_is_value_byte(*text))
			return false;
	return true;
}

bool
kwb_text_is_target(const char *text)
{
	if (text[0] != '/')
		return false;
	for (; *text != '\0'; text++)
		if ((unsigned char)*text <= ' ' || *text == 0x7f)
			return false;
	return true;
}

int
kwb_message_add_header(
    struct kwb_message *message, const char *name, const char *value)
{
	struct kwb_header *header = message_new_header(message);

	if (header == NULL)
		return KWB_ERR_MEMORY;
	header->name_offset = (uint32_t)message->text.used_bytes;
	if (kwb_buf_add(&message->text, name, strlen(name) + 1) != 0)
		return KWB_ERR_MEMORY;
	header->value_offset = (uint32_t)message->text.used_bytes;
	return kwb_buf_add(&message->text, value, strlen(value) + 1);
}

int
kwb_message_copy(struct kwb_message *to, const struct kwb_message *from)
{
	size_t headers_bytes = from->headers_count * sizeof(*from->headers);

	memcpy(to->method, from->method, sizeof(to->method));
	to->status = from->status;
	to->target_offset = from->target_offset;
	to->keep_alive = from->keep_alive;
	if (kwb_buf_add(&to->text, from->text.data, from->text.used_bytes) !=
		0 ||
	    kwb_buf_add(&to->body, from->body.data, from->body.used_bytes) != 0)
		return KWB_ERR_MEMORY;
	if (headers_bytes == 0)
		return 0;
	to->headers = malloc(headers_bytes);
	if (to->headers == NULL)
		return KWB_ERR_MEMORY;
	memcpy(to->headers, from->headers, headers_bytes);
	to->headers_count = from->headers_count;
	to->headers_capacity = from->headers_count;
	return 0;
}
