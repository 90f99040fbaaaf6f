/*
 * Growable byte buffers, and string copies that are cut to fit.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kwb.h"

#define INITIAL_CAPACITY 256 /* bytes */

void
kwb_buf_init(struct kwb_buf *buf)
{
	memset(buf, 0, sizeof(*buf));
}

void
kwb_buf_finish(struct kwb_buf *buf)
{
	free(buf->data);
	memset(buf, 0, sizeof(*buf));
}

int
kwb_buf_reserve(struct kwb_buf *buf, size_t more_bytes)
{
	/* Doubled as needed, for appends of constant amortized cost. */
	size_t capacity_bytes =
	    buf->capacity_bytes ? buf->capacity_bytes : INITIAL_CAPACITY;
	char *data;

	while (capacity_bytes < buf->used_bytes + more_bytes + 1)
		capacity_bytes *= 2;
	if (capacity_bytes == buf->capacity_bytes)
		return 0;
	data = realloc(buf->data, capacity_bytes);
	if (data == NULL)
		return KWB_ERR_MEMORY;
	buf->data = data;
	buf->capacity_bytes = capacity_bytes;
	return 0;
}

int
kwb_buf_add(struct kwb_buf *buf, const void *data, size_t length_bytes)
{
	if (kwb_buf_reserve(buf, length_bytes) != 0)
		return KWB_ERR_MEMORY;
	if (length_bytes > 0)
		memcpy(buf->data + buf->used_bytes, data, length_bytes);
	buf->used_bytes += length_bytes;
	buf->data[buf->used_bytes] = '\0';
	return 0;
}

int
kwb_buf_printf(struct kwb_buf *buf, const char *format, ...)
{
	va_list args;
	int length;

	va_start(args, format);
	length = vsnprintf(NULL, 0, format, args);
	va_end(args);
	if (length < 0 || kwb_buf_reserve(buf, (size_t)length) != 0)
		return KWB_ERR_MEMORY;
	va_start(args, format);
	vsnprintf(
	    buf->data + buf->used_bytes, (size_t)length + 1, format, args);
	va_end(args);
	buf->used_bytes += (size_t)length;
	return 0;
}

void
kwb_buf_consume(struct kwb_buf *buf, size_t length_bytes)
{
	if (length_bytes > buf->used_bytes)
		length_bytes = buf->used_bytes;
	buf->used_bytes -= length_bytes;
	if (buf->used_bytes > 0)
		memmove(buf->data, buf->data + length_bytes, buf->used_bytes);
}

const char *
kwb_buf_text(const struct kwb_buf *buf)
{
	return buf->data ? buf->data : "";
}

void
kwb_text_copy(char *to, size_t capacity_bytes, const char *from)
{
	size_t length = strnlen(from, capacity_bytes - 1);

	memcpy(to, from, length);
	to[length] = '\0';
}

int
kwb_text_replace(char **text, const char *from)
{
	char *copy;

	if (*text != NULL && strcmp(*text, from) == 0)
		return 0;
	copy = strdup(from);
	if (copy == NULL)
		return KWB_ERR_MEMORY;
	free(*text);
	*text = copy;
	return 0;
}
