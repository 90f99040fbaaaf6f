/*
 * HTTP server and controls of the stand-ins.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

static struct fake_control *controls;
static unsigned controls_count;

static int control_on_request(struct mg_connection *connection, void *context);

struct mg_context *
fake_start(const char *listen, unsigned threads,
    struct fake_control *own_controls, unsigned own_controls_count)
{
	char count[16];
	const char *options[] = {"listening_ports", listen, "num_threads",
	    count, "tcp_nodelay", "1", "enable_keep_alive", "yes",
	    "keep_alive_timeout_ms", "2000", NULL};
	struct mg_callbacks callbacks = {0};
	struct mg_context *context;
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	controls = own_controls;
	controls_count = own_controls_count;
	snprintf(count, sizeof(count), "%u", threads);
	mg_init_library(0);
	context = mg_start(&callbacks, NULL, options);
	if (context == NULL) {
		fprintf(stderr, "cannot listen on %s\n", listen);
		exit(1);
	}
	mg_set_request_handler(context, "/control$", control_on_request, NULL);
	return context;
}

const char *
fake_option(int argc, char **argv, const char *name, const char *fallback)
{
	int i;

	for (i = 1; i + 1 < argc; i++)
		if (strcmp(argv[i], name) == 0)
			return argv[i + 1];
	return fallback;
}

int64_t
fake_control_get(const char *name)
{
	unsigned i;

	for (i = 0; i < controls_count; i++)
		if (strcmp(controls[i].name, name) == 0)
			return controls[i].value;
	fprintf(stderr, "unknown control %s\n", name);
	exit(1);
}

void
fake_send_response(struct mg_connection *connection, int status,
    const char *headers, const void *body, size_t length_bytes)
{
	mg_printf(connection, "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n%s\r\n",
	    status, mg_get_response_code_text(connection, status), length_bytes,
	    headers);
	mg_write(connection, body, length_bytes);
}

void
fake_read_body(struct mg_connection *connection, struct kwb_buf *body)
{
	char chunk[8192];
	int received;

	while ((received = mg_read(connection, chunk, sizeof(chunk))) > 0)
		kwb_buf_add(body, chunk, (size_t)received);
}

void
fake_wait_for_signal(void)
{
	sigset_t set;
	int number;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigwait(&set, &number);
}

/*
 * "POST /control?down=1" sets a control and returns its old value,
 * "GET /control?down" reads it.
 */
static int
control_on_request(struct mg_connection *connection, void *context)
{
	const char *query = mg_get_request_info(connection)->query_string;
	size_t length = query ? strcspn(query, "=") : 0;
	char text[32];
	unsigned i;

	(void)context;
	for (i = 0; i < controls_count; i++) {
		struct fake_control *found = &controls[i];

		if (length != strlen(found->name) ||
		    strncmp(query, found->name, length) != 0)
			continue;
		snprintf(text, sizeof(text), "%lld\n", (long long)found->value);
		if (query[length] == '=')
			found->value = strtoll(query + length + 1, NULL, 10);
		fake_send_response(connection, 200, "", text, strlen(text));
		return 200;
	}
	fake_send_response(connection, 404, "", "", 0);
	return 404;
}
