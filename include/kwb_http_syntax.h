/*
 * Syntax of HTTP/1.1 messages (RFC 9112), checked beside parsers that accept
 * more than it allows. A recipient that guesses what a broken message means may
 * pass on a head or a body that its sender never wrote.
 */
#ifndef KWB_HTTP_SYNTAX_H
#define KWB_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What the next byte belongs to. */
enum kwb_syntax_state {
	KWB_SYNTAX_START, /* empty lines ahead of the message */
	KWB_SYNTAX_START_LINE,
	KWB_SYNTAX_START_LF, /* a CR was read */
	KWB_SYNTAX_FIELD,    /* its first byte, or the end of the head */
	KWB_SYNTAX_FIELD_NAME,
	KWB_SYNTAX_FIELD_VALUE,
	KWB_SYNTAX_FIELD_LF,
	KWB_SYNTAX_HEAD_LF,
	KWB_SYNTAX_HEAD_END,   /* nothing before kwb_http_syntax_go_on() */
	KWB_SYNTAX_BODY,       /* of any bytes; the parser knows its length */
	KWB_SYNTAX_CHUNK_LINE, /* the first digit of the size */
	KWB_SYNTAX_CHUNK_SIZE,
	KWB_SYNTAX_CHUNK_EXTENSION,
	KWB_SYNTAX_CHUNK_LF,
	KWB_SYNTAX_CHUNK_DATA,
	KWB_SYNTAX_CHUNK_DATA_CR,
	KWB_SYNTAX_CHUNK_DATA_LF
};

struct kwb_http_syntax {
	enum kwb_syntax_state state;
	bool is_request;
	uint8_t line_offset; /* in the status line, up to the reason phrase */
	uint16_t status;
	uint64_t chunk_left_bytes;
	const char *fault; /* the part that is broken, or NULL */
};

/* Bytes of a token and of a field's value (RFC 9110, 5.6.2 and 5.5). */
bool kwb_http_is_token_byte(char byte);
bool kwb_http_is_value_byte(char byte);

/*
 * Begins a message. The line of a request is left to the parser; the status of
 * an answer must be one that a final or interim answer can have.
 */
void kwb_http_syntax_init(struct kwb_http_syntax *syntax, bool is_request);
/*
 * Goes on behind the head: with KWB_SYNTAX_BODY, KWB_SYNTAX_CHUNK_LINE or,
 * where another reader takes the chunks, KWB_SYNTAX_FIELD for a trailer.
 */
void kwb_http_syntax_go_on(
    struct kwb_http_syntax *syntax, enum kwb_syntax_state next);
/*
 * Checks bytes, up to the end of a head or trailer at most, and returns how
 * many of them are sound. After a broken one syntax->fault is set; nothing may
 * follow.
 */
size_t kwb_http_syntax_check(
    struct kwb_http_syntax *syntax, const char *bytes, size_t length);

#endif
