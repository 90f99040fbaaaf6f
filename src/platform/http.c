/*
 * HTTP client over libcurl: each thread has one easy handle, which keeps its
 * connection open. When a kept connection turns out to be closed, libcurl
 * resends the request by itself; a request that must not run twice therefore
 * asks for a new connection.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <curl/curl.h>

#include "kwb.h"
#include "kwb_http_syntax.h"

#define HEADER_MAX_BYTES 512 /* longer ones of an answer are ignored */

/* A request and its answer, passed to libcurl's callbacks. */
struct exchange {
	const struct kwb_http_request *request;
	struct kwb_http_answer *answer;
	bool has_head; /* the empty line that ends it has come */
	struct kwb_http_syntax syntax; /* of what libcurl takes for a head */
	bool has_length;	       /* the head names the body's length */
	bool has_coding;	       /* or how it is transferred */
};

static pthread_key_t handle_key;
static pthread_once_t handle_once = PTHREAD_ONCE_INIT;

static void handle_key_init(void);
static CURL *handle_of_thread(void);
static size_t request_on_body(
    char *data, size_t size, size_t count, void *context);
static size_t request_on_header(
    char *data, size_t size, size_t count, void *context);
static int request_on_progress(void *context, curl_off_t download_total,
    curl_off_t downloaded, curl_off_t upload_total, curl_off_t uploaded);
static struct curl_slist *headers_create(
    const struct kwb_http_request *request);
static void handle_prepare(
    CURL *curl, struct exchange *exchange, struct curl_slist *headers);

void
kwb_http_init(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	pthread_once(&handle_once, handle_key_init);
}

void
kwb_http_finish(void)
{
	CURL *curl = pthread_getspecific(handle_key);

	if (curl != NULL)
		curl_easy_cleanup(curl);
	pthread_setspecific(handle_key, NULL);
	curl_global_cleanup();
}

int
kwb_http_do(
    const struct kwb_http_request *request, struct kwb_http_answer *answer)
{
	struct exchange exchange = {.request = request, .answer = answer};
	struct curl_slist *headers;
	CURL *curl = handle_of_thread();
	CURLcode code;

	memset(answer, 0, sizeof(*answer));
	kwb_buf_init(&answer->body);
	kwb_http_syntax_init(&exchange.syntax, false);
	if (curl == NULL)
		return KWB_ERR_MEMORY;
	if (request->content_type != NULL &&
	    strpbrk(request->content_type, "\r\n") != NULL)
		return KWB_ERR_ARGUMENT; /* it would add lines to the head */
	headers = headers_create(request);
	handle_prepare(curl, &exchange, headers);
	code = curl_easy_perform(curl);
	if (exchange.syntax.fault != NULL) {
		kwb_log(KWB_LOG_WARN, "http",
		    "event=malformed_answer url=%s reason=%s", request->url,
		    exchange.syntax.fault);
		answer->revision = 0;
		code = CURLE_WEIRD_SERVER_REPLY;
	}
	/* libcurl takes a head that ends with its connection for whole. */
	if (code == CURLE_OK && !exchange.has_head) {
		kwb_log(KWB_LOG_WARN, "http", "event=head_cut_off url=%s",
		    request->url);
		code = CURLE_GOT_NOTHING;
	}
	answer->sent = code != CURLE_COULDNT_CONNECT &&
	    code != CURLE_COULDNT_RESOLVE_HOST && code != CURLE_URL_MALFORMAT;
	if (code == CURLE_OK)
		curl_easy_getinfo(
		    curl, CURLINFO_RESPONSE_CODE, &answer->status);
	/* Sending begins after the pretransfer time, which is then set. */
	if (code == CURLE_OPERATION_TIMEDOUT) {
		double pretransfer_s = 0;

		curl_easy_getinfo(
		    curl, CURLINFO_PRETRANSFER_TIME, &pretransfer_s);
		answer->sent = pretransfer_s > 0;
	}
	curl_slist_free_all(headers);
	return code == CURLE_OK ? 0 : KWB_ERR_PLATFORM_UNREACHABLE;
}

void
kwb_http_answer_finish(struct kwb_http_answer *answer)
{
	kwb_buf_finish(&answer->body);
}

/* A thread that ends frees its handle. */
static void
handle_key_init(void)
{
	pthread_key_create(&handle_key, curl_easy_cleanup);
}

/* Returns the thread's handle, created on first use; NULL without memory. */
static CURL *
handle_of_thread(void)
{
	CURL *curl = pthread_getspecific(handle_key);

	if (curl != NULL)
		return curl;
	curl = curl_easy_init();
	pthread_setspecific(handle_key, curl);
	return curl;
}

/* The empty Expect header keeps libcurl from waiting for a 100 status. */
static struct curl_slist *
headers_create(const struct kwb_http_request *request)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char line[HEADER_MAX_BYTES];

	if (request->content_type != NULL) {
		snprintf(line, sizeof(line), "Content-Type: %s",
		    request->content_type);
		list = curl_slist_append(list, line);
	}
	if (request->expected_revision != NULL &&
	    request->expected_revision[0] == '*') {
		list = curl_slist_append(list, "If-None-Match: *");
	} else if (request->expected_revision != NULL) {
		snprintf(line, sizeof(line), "If-Match: %s",
		    request->expected_revision);
		list = curl_slist_append(list, line);
	}
	if (request->known_revision != NULL) {
		snprintf(line, sizeof(line), "If-None-Match: %s",
		    request->known_revision);
		list = curl_slist_append(list, line);
	}
	return list;
}

static void
handle_prepare(
    CURL *curl, struct exchange *exchange, struct curl_slist *headers)
{
	const struct kwb_http_request *request = exchange->request;
	long is_new = request->needs_new_connection ? 1 : 0;

	curl_easy_reset(curl);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_URL, request->url);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(
	    curl, CURLOPT_CONNECTTIMEOUT_MS, (long)KWB_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
	    (long)(request->timeout_ms ? request->timeout_ms
				       : KWB_HTTP_TIMEOUT_MS));
	curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, is_new);
	curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, is_new);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, request_on_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, request_on_header);
	curl_easy_setopt(curl, CURLOPT_HEADERDATA, exchange);
	if (request->should_stop != NULL) {
		curl_easy_setopt(
		    curl, CURLOPT_XFERINFOFUNCTION, request_on_progress);
		curl_easy_setopt(curl, CURLOPT_XFERINFODATA, exchange);
		curl_easy_setopt(curl, CURLOPT_NOPROGRESS, 0L);
	}
	if (strcmp(request->method, "HEAD") == 0)
		curl_easy_setopt(curl, CURLOPT_NOBODY, 1L);
	if (request->body != NULL) {
		curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)request->body_bytes);
		curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body);
	}
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request->method);
}

/* Returning another length than was given aborts the exchange. */
static size_t
request_on_body(char *data, size_t size, size_t count, void *context)
{
	struct exchange *exchange = context;
	const struct kwb_http_request *request = exchange->request;
	size_t length = size * count;

	if (request->on_data != NULL)
		return request->on_data(request->context, data, length) ? length
									: 0;
	if (exchange->answer->body.used_bytes + length >
	    KWB_HTTP_BODY_MAX_BYTES)
		return 0;
	return kwb_buf_add(&exchange->answer->body, data, length) == 0 ? length
								       : 0;
}

/* Called by libcurl regularly during an exchange; 1 aborts it. */
static int
request_on_progress(void *context, curl_off_t download_total,
    curl_off_t downloaded, curl_off_t upload_total, curl_off_t uploaded)
{
	struct exchange *exchange = context;
	const struct kwb_http_request *request = exchange->request;

	(void)download_total;
	(void)downloaded;
	(void)upload_total;
	(void)uploaded;
	return request->should_stop(request->context) ? 1 : 0;
}

/* The value of a field, up to the end of its line; NULL if it has another name.
 */
static const char *
value_of(const char *name, const char *line, size_t length)
{
	size_t name_bytes = strlen(name);

	return length > name_bytes && line[name_bytes] == ':' &&
		strncasecmp(line, name, name_bytes) == 0
	    ? line + name_bytes + 1
	    : NULL;
}

static bool
is_number(const char *value, const char *end)
{
	const char *digits;

	while (value < end && (*value == ' ' || *value == '\t'))
		value++;
	for (digits = value; value < end && *value >= '0' && *value <= '9';)
		value++;
	if (value == digits)
		return false;
	while (value < end && strchr(" \t\r\n", *value) != NULL)
		value++;
	return value == end;
}

/*
 * Whether the fields so far tell in one way where the body ends (RFC 9112,
 * 6.3). libcurl would choose one of several, or read a part of a number.
 */
static bool
is_framing_sound(struct exchange *exchange, const char *line, size_t length)
{
	const char *value = value_of("Content-Length", line, length);

	if (value != NULL) {
		if (exchange->has_length || !is_number(value, line + length))
			return false;
		exchange->has_length = true;
	}
	if (value_of("Transfer-Encoding", line, length) != NULL)
		exchange->has_coding = true;
	return !exchange->has_length || !exchange->has_coding;
}

/* Whether a line of a head or trailer is sound. */
static bool
is_line_sound(struct exchange *exchange, const char *line, size_t length)
{
	struct kwb_http_syntax *syntax = &exchange->syntax;

	if (exchange->has_head && syntax->status < 200) {
		kwb_http_syntax_init(syntax, false); /* after an interim head */
		exchange->has_head = false;
		exchange->has_length = false;
		exchange->has_coding = false;
	}
	if (exchange->has_head && syntax->state == KWB_SYNTAX_HEAD_END)
		kwb_http_syntax_go_on(syntax, KWB_SYNTAX_FIELD);
	if (kwb_http_syntax_check(syntax, line, length) == length &&
	    !exchange->has_head && !is_framing_sound(exchange, line, length))
		syntax->fault = "framing";
	return syntax->fault == NULL;
}

static size_t
request_on_header(char *data, size_t size, size_t count, void *context)
{
	struct exchange *exchange = context;
	struct kwb_http_answer *answer = exchange->answer;
	size_t length = size * count;
	char line[HEADER_MAX_BYTES];

	if (!is_line_sound(exchange, data, length))
		return 0;
	if (length >= sizeof(line))
		return length;
	memcpy(line, data, length);
	line[length] = '\0';
	line[strcspn(line, "\r\n")] = '\0';
	if (line[0] == '\0')
		exchange->has_head = true;
	if (strncasecmp(line, "ETag: ", 6) == 0)
		answer->revision = strtoull(line + 6, NULL, 10);
	if (strncasecmp(line, "Content-Type: ", 14) == 0)
		kwb_text_copy(answer->content_type,
		    sizeof(answer->content_type), line + 14);
	return length;
}
