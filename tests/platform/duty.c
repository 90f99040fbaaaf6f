/*
 * Fake of the platform's interface for duties. It checks what a platform can
 * see: that a window has one report, and who calls with which token.
 */
#include <stdlib.h>
#include <string.h>

#include "stage.h"

#define LATE_NS (300 * KWB_MS_NS)

struct late_call {
	struct event *timer;
	struct testbed_duty *duty;
	struct kwb_message message;
	TAILQ_ENTRY(late_call) entry;
};

static uint64_t
header_number(const struct kwb_message *message, const char *name)
{
	const char *value = kwb_message_header(message, name);

	return value != NULL ? strtoull(value, NULL, 10) : 0;
}

/* Notes a report; one that differs from an earlier one breaks the rule. */
static struct recorded_report *
note_report(struct testbed_duty *duty, const struct kwb_message *message)
{
	json_t *body =
	    json_loadb(message->body.data, message->body.used_bytes, 0, NULL);
	uint64_t window =
	    (uint64_t)json_integer_value(json_object_get(body, "window-id"));
	json_t *counts = json_object_get(body, "counts");
	struct recorded_report *report = NULL;
	unsigned i;

	for (i = 0; i < duty->reports_count; i++)
		if (duty->reports[i].window == window)
			report = &duty->reports[i];
	if (report == NULL) {
		if (duty->reports_count == RECORDED_REPORTS_MAX)
			abort();
		report = &duty->reports[duty->reports_count++];
		report->window = window;
		report->counts = json_incref(counts);
	} else if (!json_equal(report->counts, counts)) {
		duty->differing_reports++;
	}
	json_decref(body);
	return report;
}

static void
note_order(struct testbed_duty *duty, const struct kwb_message *message)
{
	json_t *body =
	    json_loadb(message->body.data, message->body.used_bytes, 0, NULL);
	const char *service = "";
	const char *zone = "";
	int count = 0;

	json_unpack(body, "{s:s, s:s, s:i}", "service", &service, "zone", &zone,
	    "target-groups", &count);
	kwb_buf_printf(&duty->scale_orders, "%s%s in %s: %d",
	    duty->scale_orders.used_bytes > 0 ? ", " : "", service, zone,
	    count);
	json_decref(body);
}

/* Carries a call out; its status. */
static unsigned
apply_call(struct testbed_duty *duty, const struct kwb_message *message)
{
	const char *holder = kwb_message_header(message, "Duty-Holder");
	uint64_t fence = header_number(message, "Fencing-Token");

	if (fence < duty->fence && !duty->ignores_fences) {
		duty->refused_count++;
		return 409;
	}
	if (strcmp(duty->holder, holder) != 0) {
		duty->same_tokens += fence == duty->fence;
		kwb_text_copy(duty->holder, sizeof(duty->holder), holder);
		kwb_buf_printf(&duty->holders, "%s%s",
		    duty->holders.used_bytes > 0 ? " " : "", holder);
	}
	duty->fence = fence;
	if (strcmp(kwb_message_target(message), "/scale") == 0)
		note_order(duty, message);
	else
		note_report(duty, message)->is_accepted = true;
	return 200;
}

static void
late_on_timer(int fd, short what, void *context)
{
	struct late_call *late = context;

	(void)fd;
	(void)what;
	apply_call(late->duty, &late->message);
	TAILQ_REMOVE(&late->duty->late_calls, late, entry);
	event_free(late->timer);
	kwb_message_finish(&late->message);
	free(late);
}

static void
delay_call(struct testbed_duty *duty, const struct kwb_message *message)
{
	struct late_call *late = calloc(1, sizeof(*late));

	late->duty = duty;
	kwb_message_copy(&late->message, message);
	late->timer = kwb_timer_new(duty->port.base, late_on_timer, late);
	kwb_timer_arm(late->timer, kwb_clock_now_ns() + LATE_NS);
	TAILQ_INSERT_TAIL(&duty->late_calls, late, entry);
}

static enum duty_fault
take_fault(struct testbed_duty *duty, const char *holder)
{
	enum duty_fault fault = duty->fault;

	if (duty->deaf_to[0] != '\0')
		return strcmp(duty->deaf_to, holder) == 0 ? DUTY_FAULT_SILENT
							  : DUTY_FAULT_NONE;
	if (duty->fault_remaining > 0 && --duty->fault_remaining == 0)
		duty->fault = DUTY_FAULT_NONE;
	return fault;
}

static void
on_request(struct http_session *session)
{
	struct testbed_duty *duty = session->listener->context;
	struct kwb_message *message = &session->conn.message;

	duty->calls_count++;
	switch (take_fault(duty, kwb_message_header(message, "Duty-Holder"))) {
	case DUTY_FAULT_NONE:
		http_session_answer(
		    session, apply_call(duty, message), "", "", 0);
		return;
	case DUTY_FAULT_503:
		http_session_answer(session, 503, "", "", 0);
		return;
	case DUTY_FAULT_429:
		http_session_answer(session, 429, "", "", 0);
		return;
	case DUTY_FAULT_SILENT:
		if (strcmp(kwb_message_target(message), "/usage") == 0)
			note_report(duty, message);
		return;
	case DUTY_FAULT_LOSE_ANSWER:
		apply_call(duty, message);
		http_session_close(session, true);
		return;
	case DUTY_FAULT_LATE:
		note_report(duty, message);
		delay_call(duty, message);
		http_session_close(session, true);
		return;
	}
}

int
testbed_duty_open(struct testbed_duty *duty, struct event_base *base)
{
	memset(duty, 0, sizeof(*duty));
	TAILQ_INIT(&duty->late_calls);
	return http_listener_open(&duty->port, base, on_request, NULL, duty);
}

void
testbed_duty_close(struct testbed_duty *duty)
{
	struct late_call *late;
	unsigned i;

	http_listener_close(&duty->port);
	while ((late = TAILQ_FIRST(&duty->late_calls)) != NULL) {
		TAILQ_REMOVE(&duty->late_calls, late, entry);
		event_free(late->timer);
		kwb_message_finish(&late->message);
		free(late);
	}
	for (i = 0; i < duty->reports_count; i++)
		json_decref(duty->reports[i].counts);
	kwb_buf_finish(&duty->holders);
	kwb_buf_finish(&duty->scale_orders);
}

json_t *
testbed_duty_sum(const struct testbed_duty *duty)
{
	json_t *sums = json_object();
	const char *name;
	json_t *count;
	unsigned i;

	for (i = 0; i < duty->reports_count; i++) {
		if (!duty->reports[i].is_accepted)
			continue;
		json_object_foreach (duty->reports[i].counts, name, count)
			json_object_set_new(sums, name,
			    json_integer(json_integer_value(
					     json_object_get(sums, name)) +
				json_integer_value(count)));
	}
	return sums;
}

void
testbed_duty_print(const struct testbed_duty *duty, struct kwb_buf *out)
{
	json_t *sums = testbed_duty_sum(duty);
	char *text = json_dumps(sums, JSON_SORT_KEYS);
	uint64_t first = UINT64_MAX;
	uint64_t last = 0;
	unsigned accepted = 0;
	unsigned i;

	for (i = 0; i < duty->reports_count; i++) {
		const struct recorded_report *report = &duty->reports[i];

		if (!report->is_accepted)
			continue;
		accepted++;
		first = report->window < first ? report->window : first;
		last = report->window > last ? report->window : last;
	}
	kwb_buf_printf(out,
	    "%s\nby %s, %s, %u differ, %u with another's token\n", text,
	    kwb_buf_text(&duty->holders),
	    accepted > 0 && last - first + 1 == accepted ? "no window missing"
							 : "windows missing",
	    duty->differing_reports, duty->same_tokens);
	free(text);
	json_decref(sums);
}
