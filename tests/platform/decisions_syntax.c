/*
 * Syntax of HTTP messages: what a head, its lines and chunks may be, and what
 * is named as broken. Each message is checked whole and in two pieces, split at
 * each byte.
 */
#include <CUnit/CUnit.h>
#include <stdio.h>
#include <string.h>

#include "kwb_http_syntax.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

struct syntax_case {
	const char *text;
	const char *fault; /* NULL: sound, and checked to its end */
};

/* As a reader of bytes does: behind a head that names them come chunks. */
static void
feed(struct kwb_http_syntax *syntax, const char *bytes, size_t length,
    bool is_chunked)
{
	size_t at = 0;

	while (at < length && syntax->fault == NULL) {
		if (syntax->state == KWB_SYNTAX_HEAD_END)
			kwb_http_syntax_go_on(syntax,
			    is_chunked ? KWB_SYNTAX_CHUNK_LINE
				       : KWB_SYNTAX_BODY);
		at += kwb_http_syntax_check(syntax, bytes + at, length - at);
	}
}

static const char *
name_of(const char *fault)
{
	return fault != NULL ? fault : "none";
}

static void
check_cases(const struct syntax_case *cases, size_t count, bool is_request)
{
	struct kwb_http_syntax syntax;
	bool is_chunked;
	size_t length;
	size_t split;
	size_t i;

	for (i = 0; i < count; i++) {
		length = strlen(cases[i].text);
		is_chunked = strstr(cases[i].text, "chunked") != NULL;
		for (split = 0; split < length; split++) {
			kwb_http_syntax_init(&syntax, is_request);
			feed(&syntax, cases[i].text, split, is_chunked);
			feed(&syntax, cases[i].text + split, length - split,
			    is_chunked);
			CU_ASSERT_STRING_EQUAL(
			    name_of(syntax.fault), name_of(cases[i].fault));
		}
		if (strcmp(name_of(syntax.fault), name_of(cases[i].fault)) != 0)
			printf("%s instead of %s: %s\n", name_of(syntax.fault),
			    name_of(cases[i].fault), cases[i].text);
	}
}

static void
test_status_lines(void)
{
	static const struct syntax_case cases[] = {
	    {"HTTP/1.1 200 OK\r\n\r\n", NULL},
	    {"HTTP/1.0 100 \r\n\r\n", NULL},
	    {"HTTP/1.1 599\r\n\r\n", NULL},
	    {"HTTP/1.9 204 a\tb \xe4\r\n\r\n", NULL},
	    {"\r\n\nHTTP/1.1 200 OK\r\n\r\n", NULL},
	    {"HTTP/1.1 000 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 001 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 099 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 101 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 600 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 999 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 20 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1 2\r\n\r\n", "status_line"},
	    {"HTTP/1.1 20\r\n\r\n", "status_line"},
	    {"HTTP/1.1\r\n\r\n", "status_line"},
	    {"HTTP/1.1 2000 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1 0200 OK\r\n\r\n", "status"},
	    {"HTTP/1.1 +20 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1 2x0 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1  200 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1\t200 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1 200\tOK\r\n\r\n", "status_line"},
	    {"HTTP/0.9 200 OK\r\n\r\n", "status_line"},
	    {"HTTP/2.0 200 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.x 200 OK\r\n\r\n", "status_line"},
	    {"HTTP/1.1 200 a\x01\x62\r\n\r\n", "reason_phrase"},
	    {"HTTP/1.1 200 a\x7f\x62\r\n\r\n", "reason_phrase"},
	    {"HTTP/1.1 200 OK\rX: y\r\n\r\n", "line_end"},
	};

	check_cases(cases, COUNT(cases), false);
}

static void
test_fields(void)
{
	static const struct syntax_case cases[] = {
	    {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: b\r\n\r\n", NULL},
	    {"HTTP/1.1 200 OK\r\na:\r\nb: c\td \xff\r\n\r\nany\1bytes", NULL},
	    {"HTTP/1.1 200 OK\na: b\n\n", NULL},
	    {"HTTP/1.1 200 OK\r\nX A: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\n X: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\na: b\r\n\tX: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX : b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\n : b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\n: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX\1A: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX\x7f: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX\xe4: b\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX\r\n\r\n", "field_name"},
	    {"HTTP/1.1 200 OK\r\nX: a\1b\r\n\r\n", "field_value"},
	    {"HTTP/1.1 200 OK\r\nX: a\x7f\r\n\r\n", "field_value"},
	    {"HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", "line_end"},
	    {"HTTP/1.1 200 OK\r\n\rX: a\r\n\r\n", "line_end"},
	};

	check_cases(cases, COUNT(cases), false);
}

#define CHUNKED_HEAD "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

static void
test_chunks(void)
{
	static const struct syntax_case cases[] = {
	    {CHUNKED_HEAD "0\r\n\r\n", NULL},
	    {CHUNKED_HEAD "4\r\na\r\nb\r\n0A\r\n0123456789\r\n00\r\n\r\n",
		NULL},
	    {CHUNKED_HEAD "1;a=\"b\"\r\n1\r\n0 ;c\r\nX: y\r\n\r\n", NULL},
	    {CHUNKED_HEAD "\r\n", "chunk_size"},
	    {CHUNKED_HEAD "g\r\n", "chunk_size"},
	    {CHUNKED_HEAD "-1\r\n", "chunk_size"},
	    {CHUNKED_HEAD "1x\r\n1\r\n", "chunk_size"},
	    {CHUNKED_HEAD "1\n1\r\n", "chunk_size"},
	    {CHUNKED_HEAD "11112222333344445\r\n", "chunk_size"},
	    {CHUNKED_HEAD "1;a\nb\r\n", "chunk_extension"},
	    {CHUNKED_HEAD "1;a\1b\r\n", "chunk_extension"},
	    {CHUNKED_HEAD "1\rx1\r\n", "chunk_line_end"},
	    {CHUNKED_HEAD "4\r\ngoodxx0\r\n\r\n", "chunk_end"},
	    {CHUNKED_HEAD "4\r\ngood\rx0\r\n\r\n", "chunk_end"},
	    {CHUNKED_HEAD "4\r\ngood\n0\r\n\r\n", "chunk_end"},
	    {CHUNKED_HEAD "0\r\nX A: y\r\n\r\n", "field_name"},
	    {CHUNKED_HEAD "0\r\n\rx", "line_end"},
	};

	check_cases(cases, COUNT(cases), false);
}

static void
test_requests(void)
{
	static const struct syntax_case cases[] = {
	    {"GET /a HTTP/1.1\r\nHost: b\r\n\r\n", NULL},
	    {"\r\nGET /a HTTP/1.1\n\n", NULL},
	    {"GET /a HTTP/1.1\r\nX A: b\r\n\r\n", "field_name"},
	    {"GET /a HTTP/1.1\r\n X: b\r\n\r\n", "field_name"},
	    {"GET /a HTTP/1.1\r\nContent-Length : 1\r\n\r\n", "field_name"},
	};

	check_cases(cases, COUNT(cases), true);
}

extern unsigned syntax_tests_add(CU_pSuite suite);

unsigned
syntax_tests_add(CU_pSuite suite)
{
	CU_add_test(suite, "status_lines", test_status_lines);
	CU_add_test(suite, "fields", test_fields);
	CU_add_test(suite, "chunks", test_chunks);
	CU_add_test(suite, "request_syntax", test_requests);
	return 4;
}
