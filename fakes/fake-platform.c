/*
 * Stand-in for the platform: a table with conditional writes, an object store,
 * a rate-limited weight store and a VM list that changes with a delay.
 *
 * Controls: down (closes every connection without a response), objects_down,
 * weights_down and vms_down (the same for one service), slow_ms (delay of each
 * response), lose_answers (a write to the table takes effect, but the
 * connection is closed without a response), vms_lag_ms, weights_mb_s. reads and
 * writes count requests to the table.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sys/queue.h>

#include "fake.h"

#define PATH_MAX_BYTES 512
#define SERVER_THREADS 384

/* A row of the table, an object or a model's newest version, by its path. */
struct row {
	LIST_ENTRY(row) next;
	char path[PATH_MAX_BYTES];
	uint64_t revision; /* 1 once written, then one more a write */
	struct kwb_buf value;
};

LIST_HEAD(row_list, row);

static struct fake_control controls[] = {{"down", 0}, {"slow_ms", 0},
    {"lose_answers", 0}, {"objects_down", 0}, {"weights_down", 0},
    {"vms_down", 0}, {"vms_lag_ms", 0}, {"weights_mb_s", 0}, {"reads", 0},
    {"writes", 0}};
static struct row_list rows = LIST_HEAD_INITIALIZER(rows);
static pthread_mutex_t rows_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t weights_lock = PTHREAD_MUTEX_INITIALIZER;

static int table_on_request(struct mg_connection *connection, void *context);
static int objects_on_request(struct mg_connection *connection, void *context);
static int weights_on_request(struct mg_connection *connection, void *context);
static int vms_on_request(struct mg_connection *connection, void *context);
static bool apply_faults(
    struct mg_connection *connection, const char *fault_control);
static struct row *row_find(const char *path, bool create);
static int row_write(struct mg_connection *connection, struct row *row,
    const struct kwb_buf *body, const char *path);
static bool is_unchanged(struct mg_connection *connection, uint64_t revision);
static void count(const char *name);

int
main(int argc, char **argv)
{
	struct mg_context *context;

	context = fake_start(
	    fake_option(argc, argv, "--listen", "127.0.0.1:7000"),
	    SERVER_THREADS, controls, sizeof(controls) / sizeof(controls[0]));
	mg_set_request_handler(context, "/table/", table_on_request, NULL);
	mg_set_request_handler(context, "/objects/", objects_on_request, NULL);
	mg_set_request_handler(context, "/weights/", weights_on_request, NULL);
	mg_set_request_handler(context, "/vms$", vms_on_request, NULL);
	fake_wait_for_signal();
	return 0;
}

/*
 * GET and PUT of a row. The response's ETag is the row's revision. If-Match and
 * If-None-Match make a write conditional; a GET with If-None-Match gets 304 if
 * the revision is unchanged.
 */
static int
table_on_request(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	bool put = strcmp(info->request_method, "PUT") == 0;
	struct kwb_buf body, value;
	char headers[64];
	uint64_t revision = 0;
	struct row *row;
	int status = 404;

	(void)context;
	kwb_buf_init(&body);
	kwb_buf_init(&value);
	fake_read_body(connection, &body);
	if (apply_faults(connection, "down")) {
		kwb_buf_finish(&body);
		return 0;
	}
	count(put ? "writes" : "reads");
	pthread_mutex_lock(&rows_lock);
	row = row_find(info->local_uri, false);
	if (put)
		status = row_write(connection, row, &body, info->local_uri);
	else if (row != NULL && row->revision > 0)
		status = 200;
	row = row_find(info->local_uri, false);
	if (row != NULL)
		revision = row->revision;
	if (!put && status == 200 && is_unchanged(connection, revision))
		status = 304;
	if (!put && status == 200)
		kwb_buf_add(&value, row->value.data, row->value.used_bytes);
	pthread_mutex_unlock(&rows_lock);
	kwb_buf_finish(&body);
	if (put && fake_control_get("lose_answers")) {
		mg_close_connection(connection);
		kwb_buf_finish(&value);
		return 0;
	}
	snprintf(headers, sizeof(headers), "ETag: %llu\r\n",
	    (unsigned long long)revision);
	fake_send_response(connection, status, headers, kwb_buf_text(&value),
	    value.used_bytes);
	kwb_buf_finish(&value);
	return status;
}

/*
 * Stores the body. Returns 200, or 412 if the request's precondition fails.
 * row is NULL if there is none yet. The caller holds rows_lock.
 */
static int
row_write(struct mg_connection *connection, struct row *row,
    const struct kwb_buf *body, const char *path)
{
	const char *match = mg_get_header(connection, "If-Match");
	uint64_t revision = row ? row->revision : 0;

	if (mg_get_header(connection, "If-None-Match") != NULL && revision != 0)
		return 412;
	if (match != NULL && strtoull(match, NULL, 10) != revision)
		return 412;
	row = row_find(path, true);
	row->revision++;
	row->value.used_bytes = 0;
	kwb_buf_add(&row->value, kwb_buf_text(body), body->used_bytes);
	return 200;
}

/* GET and PUT of an object. */
static int
objects_on_request(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	struct kwb_buf body;
	struct row *row;
	int status = 404;

	(void)context;
	kwb_buf_init(&body);
	fake_read_body(connection, &body);
	if (apply_faults(connection, "objects_down")) {
		kwb_buf_finish(&body);
		return 0;
	}
	pthread_mutex_lock(&rows_lock);
	if (strcmp(info->request_method, "PUT") == 0) {
		status = row_write(connection, row_find(info->local_uri, false),
		    &body, info->local_uri);
		body.used_bytes = 0;
	} else if ((row = row_find(info->local_uri, false)) != NULL) {
		status = 200;
		kwb_buf_add(&body, row->value.data, row->value.used_bytes);
	}
	pthread_mutex_unlock(&rows_lock);
	fake_send_response(
	    connection, status, "", kwb_buf_text(&body), body.used_bytes);
	kwb_buf_finish(&body);
	return status;
}

/*
 * GET /weights/MODEL returns the newest version, PUT publishes a version. GET
 * /weights/MODEL/N returns the weights, one download at a time, each as long as
 * 1 MB takes at weights_mb_s (0 for no limit).
 */
static int
weights_on_request(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	const char *version = strchr(info->local_uri + 9, '/');
	int64_t rate = fake_control_get("weights_mb_s");
	struct kwb_buf body;
	struct row *row;
	int status = 200;

	(void)context;
	kwb_buf_init(&body);
	fake_read_body(connection, &body);
	if (apply_faults(connection, "weights_down")) {
		kwb_buf_finish(&body);
		return 0;
	}
	if (version != NULL) {
		pthread_mutex_lock(&weights_lock);
		if (rate > 0)
			kwb_clock_sleep_ns(1000 * KWB_MS_NS / (uint64_t)rate);
		pthread_mutex_unlock(&weights_lock);
		fake_send_response(connection, 200, "", "weights", 7);
		kwb_buf_finish(&body);
		return 200;
	}
	pthread_mutex_lock(&rows_lock);
	row = row_find(info->local_uri, false);
	if (strcmp(info->request_method, "PUT") == 0) {
		status = row_write(connection, row, &body, info->local_uri);
		body.used_bytes = 0;
	} else if (row != NULL) {
		kwb_buf_add(&body, row->value.data, row->value.used_bytes);
	} else {
		status = 404;
	}
	pthread_mutex_unlock(&rows_lock);
	fake_send_response(
	    connection, status, "", kwb_buf_text(&body), body.used_bytes);
	kwb_buf_finish(&body);
	return status;
}

/*
 * GET returns the VM list, PUT replaces it after vms_lag_ms. The ETag is the
 * list's revision.
 */
static int
vms_on_request(struct mg_connection *connection, void *context)
{
	const struct mg_request_info *info = mg_get_request_info(connection);
	static struct kwb_buf now, next;
	static uint64_t next_ns, revision;
	struct kwb_buf body;
	char headers[64];
	int status = 200;

	(void)context;
	kwb_buf_init(&body);
	fake_read_body(connection, &body);
	if (apply_faults(connection, "vms_down")) {
		kwb_buf_finish(&body);
		return 0;
	}
	pthread_mutex_lock(&rows_lock);
	if (next_ns != 0 && kwb_clock_now_ns() >= next_ns) {
		now.used_bytes = 0;
		kwb_buf_add(&now, next.data, next.used_bytes);
		next_ns = 0;
		revision++;
	}
	if (strcmp(info->request_method, "PUT") == 0) {
		next.used_bytes = 0;
		kwb_buf_add(&next, kwb_buf_text(&body), body.used_bytes);
		next_ns = kwb_clock_now_ns() + 1 +
		    (uint64_t)fake_control_get("vms_lag_ms") * KWB_MS_NS;
	}
	body.used_bytes = 0;
	snprintf(headers, sizeof(headers), "ETag: %llu\r\n",
	    (unsigned long long)revision);
	if (is_unchanged(connection, revision))
		status = 304;
	else
		kwb_buf_add(&body, now.used_bytes ? now.data : "[]",
		    now.used_bytes ? now.used_bytes : 2);
	pthread_mutex_unlock(&rows_lock);
	fake_send_response(
	    connection, status, headers, kwb_buf_text(&body), body.used_bytes);
	kwb_buf_finish(&body);
	return 200;
}

/* Closes the connection and returns true if a control says so; else delays. */
static bool
apply_faults(struct mg_connection *connection, const char *fault_control)
{
	uint64_t slow_ms = (uint64_t)fake_control_get("slow_ms");

	if (fake_control_get("down") || fake_control_get(fault_control)) {
		mg_close_connection(connection);
		return true;
	}
	if (slow_ms > 0)
		kwb_clock_sleep_ns(slow_ms * KWB_MS_NS);
	return false;
}

/* Returns NULL if there is no such row and none is created. */
static struct row *
row_find(const char *path, bool create)
{
	struct row *row;

	LIST_FOREACH (row, &rows, next)
		if (strcmp(row->path, path) == 0)
			return row;
	if (!create)
		return NULL;
	row = calloc(1, sizeof(*row));
	kwb_text_copy(row->path, sizeof(row->path), path);
	LIST_INSERT_HEAD(&rows, row, next);
	return row;
}

/* Whether the request's If-None-Match names this revision. */
static bool
is_unchanged(struct mg_connection *connection, uint64_t revision)
{
	const char *known = mg_get_header(connection, "If-None-Match");

	return known != NULL && strtoull(known, NULL, 10) == revision;
}

/* Adds one to the control name, which is a counter. */
static void
count(const char *name)
{
	unsigned i;

	for (i = 0; i < sizeof(controls) / sizeof(controls[0]); i++)
		if (strcmp(controls[i].name, name) == 0)
			controls[i].value++;
}
