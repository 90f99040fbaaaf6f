/*
 * Syntax of HTTP/1.1 messages, byte by byte. A line may end with a bare LF, as
 * RFC 9112, 2.2 permits, but not those between chunks.
 */
#include <ctype.h>
#include <string.h>

#include "kwb_http_syntax.h"

#define TOKEN_MARKS "!#$%&'*+-.^_`|~" /* besides letters and digits */

#define STATUS_LINE "HTTP/1.# ###" /* each "#" stands for a digit */
#define STATUS_LINE_BYTES (sizeof(STATUS_LINE) - 1) /* may be all of it */
#define STATUS_OFFSET (STATUS_LINE_BYTES - 3)

/* Others are invalid (RFC 9110, 15). */
#define STATUS_MIN 100
#define STATUS_MAX 599
#define STATUS_SWITCHING 101 /* answers a request for it, which none makes */

bool
kwb_http_is_token_byte(char byte)
{
	return isalnum((unsigned char)byte) ||
	    (byte != '\0' && strchr(TOKEN_MARKS, byte) != NULL);
}

bool
kwb_http_is_value_byte(char byte)
{
	return !iscntrl((unsigned char)byte) || byte == '\t';
}

void
kwb_http_syntax_init(struct kwb_http_syntax *syntax, bool is_request)
{
	memset(syntax, 0, sizeof(*syntax));
	syntax->state = KWB_SYNTAX_START;
	syntax->is_request = is_request;
}

void
kwb_http_syntax_go_on(
    struct kwb_http_syntax *syntax, enum kwb_syntax_state next)
{
	syntax->state = next;
}

/* Sets the state, or the fault if the byte is not as it must be. */
static void
expect(struct kwb_http_syntax *syntax, bool is_sound,
    enum kwb_syntax_state next, const char *fault)
{
	if (is_sound)
		syntax->state = next;
	else
		syntax->fault = fault;
}

static bool
is_status_valid(uint16_t status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX &&
	    status != STATUS_SWITCHING;
}

static void
check_status_line(struct kwb_http_syntax *syntax, char byte)
{
	size_t at = syntax->line_offset;
	bool is_digit = isdigit((unsigned char)byte) != 0;

	if (at > STATUS_LINE_BYTES) {
		expect(syntax, kwb_http_is_value_byte(byte),
		    KWB_SYNTAX_START_LINE, "reason_phrase");
		return;
	}
	syntax->line_offset++;
	expect(syntax,
	    at == STATUS_LINE_BYTES	 ? byte == ' '
		: STATUS_LINE[at] == '#' ? is_digit
					 : byte == STATUS_LINE[at],
	    KWB_SYNTAX_START_LINE, "status_line");
	if (at < STATUS_OFFSET || !is_digit)
		return;
	syntax->status = (uint16_t)(syntax->status * 10 + (byte - '0'));
	if (at == STATUS_LINE_BYTES - 1 && !is_status_valid(syntax->status))
		syntax->fault = "status";
}

static void
check_start_line(struct kwb_http_syntax *syntax, char byte)
{
	bool is_end = byte == '\r' || byte == '\n';

	if (!syntax->is_request && !is_end)
		check_status_line(syntax, byte);
	else if (is_end)
		expect(syntax,
		    syntax->is_request ||
			syntax->line_offset >= STATUS_LINE_BYTES,
		    byte == '\n' ? KWB_SYNTAX_FIELD : KWB_SYNTAX_START_LF,
		    "status_line");
}

static void
check_field(struct kwb_http_syntax *syntax, char byte)
{
	switch (byte) {
	case '\r':
		syntax->state = KWB_SYNTAX_HEAD_LF;
		break;
	case '\n':
		syntax->state = KWB_SYNTAX_HEAD_END;
		break;
	default:
		expect(syntax, kwb_http_is_token_byte(byte),
		    KWB_SYNTAX_FIELD_NAME, "field_name");
	}
}

static void
check_field_value(struct kwb_http_syntax *syntax, char byte)
{
	if (byte == '\r')
		syntax->state = KWB_SYNTAX_FIELD_LF;
	else if (byte == '\n')
		syntax->state = KWB_SYNTAX_FIELD;
	else
		expect(syntax, kwb_http_is_value_byte(byte),
		    KWB_SYNTAX_FIELD_VALUE, "field_value");
}

static int
hex_digit_value(char byte)
{
	if (isdigit((unsigned char)byte))
		return byte - '0';
	return isxdigit((unsigned char)byte)
	    ? tolower((unsigned char)byte) - 'a' + 10
	    : -1;
}

static void
check_chunk_size(struct kwb_http_syntax *syntax, char byte)
{
	int digit = hex_digit_value(byte);

	if (digit >= 0) {
		expect(syntax, syntax->chunk_left_bytes <= UINT64_MAX >> 4,
		    KWB_SYNTAX_CHUNK_SIZE, "chunk_size");
		syntax->chunk_left_bytes =
		    syntax->chunk_left_bytes << 4 | (unsigned)digit;
	} else if (byte == '\r') {
		syntax->state = KWB_SYNTAX_CHUNK_LF;
	} else {
		expect(syntax, byte == ';' || byte == ' ',
		    KWB_SYNTAX_CHUNK_EXTENSION, "chunk_size");
	}
}

static void
check_byte(struct kwb_http_syntax *syntax, char byte)
{
	switch (syntax->state) {
	case KWB_SYNTAX_START:
		if (byte != '\r' && byte != '\n') {
			syntax->state = KWB_SYNTAX_START_LINE;
			check_start_line(syntax, byte);
		}
		break;
	case KWB_SYNTAX_START_LINE:
		check_start_line(syntax, byte);
		break;
	case KWB_SYNTAX_START_LF:
	case KWB_SYNTAX_FIELD_LF:
		expect(syntax, byte == '\n', KWB_SYNTAX_FIELD, "line_end");
		break;
	case KWB_SYNTAX_FIELD:
		check_field(syntax, byte);
		break;
	case KWB_SYNTAX_FIELD_NAME:
		if (byte == ':')
			syntax->state = KWB_SYNTAX_FIELD_VALUE;
		else
			expect(syntax, kwb_http_is_token_byte(byte),
			    KWB_SYNTAX_FIELD_NAME, "field_name");
		break;
	case KWB_SYNTAX_FIELD_VALUE:
		check_field_value(syntax, byte);
		break;
	case KWB_SYNTAX_HEAD_LF:
		expect(syntax, byte == '\n', KWB_SYNTAX_HEAD_END, "line_end");
		break;
	case KWB_SYNTAX_CHUNK_LINE:
		syntax->chunk_left_bytes = 0;
		expect(syntax, hex_digit_value(byte) >= 0,
		    KWB_SYNTAX_CHUNK_SIZE, "chunk_size");
		if (syntax->fault == NULL)
			check_chunk_size(syntax, byte);
		break;
	case KWB_SYNTAX_CHUNK_SIZE:
		check_chunk_size(syntax, byte);
		break;
	case KWB_SYNTAX_CHUNK_EXTENSION:
		expect(syntax, byte == '\r' || kwb_http_is_value_byte(byte),
		    byte == '\r' ? KWB_SYNTAX_CHUNK_LF
				 : KWB_SYNTAX_CHUNK_EXTENSION,
		    "chunk_extension");
		break;
	case KWB_SYNTAX_CHUNK_LF:
		/* The last chunk is empty; a trailer or the end follows. */
		expect(syntax, byte == '\n',
		    syntax->chunk_left_bytes == 0 ? KWB_SYNTAX_FIELD
						  : KWB_SYNTAX_CHUNK_DATA,
		    "chunk_line_end");
		break;
	case KWB_SYNTAX_CHUNK_DATA_CR:
		expect(syntax, byte == '\r', KWB_SYNTAX_CHUNK_DATA_LF,
		    "chunk_end");
		break;
	case KWB_SYNTAX_CHUNK_DATA_LF:
		expect(
		    syntax, byte == '\n', KWB_SYNTAX_CHUNK_LINE, "chunk_end");
		break;
	case KWB_SYNTAX_HEAD_END:
	case KWB_SYNTAX_BODY:
	case KWB_SYNTAX_CHUNK_DATA:
		break; /* taken in runs */
	}
}

/* Takes bytes of a chunk's data; returns how many. */
static size_t
take_chunk_data(struct kwb_http_syntax *syntax, size_t length)
{
	if (length > syntax->chunk_left_bytes)
		length = (size_t)syntax->chunk_left_bytes;
	syntax->chunk_left_bytes -= length;
	if (syntax->chunk_left_bytes == 0)
		syntax->state = KWB_SYNTAX_CHUNK_DATA_CR;
	return length;
}

size_t
kwb_http_syntax_check(
    struct kwb_http_syntax *syntax, const char *bytes, size_t length)
{
	size_t at = 0;

	if (syntax->state == KWB_SYNTAX_BODY)
		return length;
	while (at < length && syntax->fault == NULL &&
	    syntax->state != KWB_SYNTAX_HEAD_END) {
		if (syntax->state == KWB_SYNTAX_CHUNK_DATA) {
			at += take_chunk_data(syntax, length - at);
			continue;
		}
		check_byte(syntax, bytes[at]);
		at += syntax->fault == NULL;
	}
	return at;
}
