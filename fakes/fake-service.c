/*
 * Stand-in for a plain service: records every call that it ran, in order, at
 * GET /journal. Controls: work_ms (duration of a call), lose_answers (a call
 * runs, but the connection is closed without a response). running, most and ran
 * count calls: now, the most at the same time, in total.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fake.h"

#define SERVER_THREADS 128

/* Indexes of controls. */
enum { WORK_MS, LOSE_ANSWERS, RUNNING, MOST, RAN };

static struct fake_control controls[] = {
    [WORK_MS] = {"work_ms", 0},
    [LOSE_ANSWERS] = {"lose_answers", 0},
    [RUNNING] = {"running", 0},
    [MOST] = {"most", 0},
    [RAN] = {"ran", 0},
};
static struct kwb_buf journal; /* "METHOD PATH BODY" lines */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int call_on_request(struct mg_connection *connection, void *context);
static int health_on_request(struct mg_connection *connection, void *context);
static int journal_on_request(struct mg_connection *connection, void *context);

int
main(int argc, char **argv)
{
	struct mg_context *context;

	context = fake_start(
	    fake_option(argc, argv, "--listen", "127.0.0.1:7200"),
	    SERVER_THREADS, controls, sizeof(controls) / sizeof(controls[0]));
	mg_set_request_handler(context, "/journal$", journal_on_request, NULL);
	mg_set_request_handler(context, "/health$", health_on_request, NULL);
	mg_set_request_handler(context, "/**", call_on_request, NULL);
	fake_wait_for_signal();
	return 0;
}

static int
call_on_request(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct kwb_buf body, answer;

	(void)context;
	kwb_buf_init(&body);
	kwb_buf_init(&answer);
	fake_read_body(connection, &body);
	pthread_mutex_lock(&lock);
	controls[RAN].value++;
	if (++controls[RUNNING].value > controls[MOST].value)
		controls[MOST].value = (int64_t)controls[RUNNING].value;
	kwb_buf_printf(&journal, "%s %s %s\n", info->request_method,
	    info->local_uri, kwb_buf_text(&body));
	pthread_mutex_unlock(&lock);
	kwb_clock_sleep_ns((uint64_t)fake_control_get("work_ms") * KWB_MS_NS);
	pthread_mutex_lock(&lock);
	controls[RUNNING].value--;
	pthread_mutex_unlock(&lock);
	kwb_buf_printf(
	    &answer, "done %s %s", info->local_uri, kwb_buf_text(&body));
	if (fake_control_get("lose_answers"))
		mg_close_connection(connection);
	else
		fake_send_response(connection, 200,
		    "Content-Type: text/plain\r\n", answer.data,
		    answer.used_bytes);
	kwb_buf_finish(&body);
	kwb_buf_finish(&answer);
	return 200;
}

static int
health_on_request(struct mg_connection *connection, void *context)
{
	char text[64];

	(void)context;
	snprintf(text, sizeof(text), "{\"running\":%lld}",
	    (long long)fake_control_get("running"));
	fake_send_response(connection, 200, "", text, strlen(text));
	return 200;
}

static int
journal_on_request(struct mg_connection *connection, void *context)
{
	struct kwb_buf copy;

	(void)context;
	kwb_buf_init(&copy);
	pthread_mutex_lock(&lock);
	kwb_buf_add(&copy, kwb_buf_text(&journal), journal.used_bytes);
	pthread_mutex_unlock(&lock);
	fake_send_response(
	    connection, 200, "", kwb_buf_text(&copy), copy.used_bytes);
	kwb_buf_finish(&copy);
	return 200;
}
