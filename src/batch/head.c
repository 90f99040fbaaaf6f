/*
 * The row of a batch, its submission, and the order in which its items start.
 */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "batch.h"

void
kwb_batch_spec_finish(struct kwb_batch_spec *spec)
{
	struct kwb_batch_item *item;
	uint32_t i;

	for (i = 0; i < spec->items_count; i++) {
		item = &spec->items[i];
		kwb_message_finish(&item->headers);
		free(item->id);
		free(item->target);
		free(item->group);
		free(item->body);
		free(item->score_id);
		free(item->score_host);
		free(item->score_target);
		free(item->score_body);
	}
	free(spec->items);
	memset(spec, 0, sizeof(*spec));
}

static void
copy(char *to, size_t room_bytes, const json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	kwb_text_copy(to, room_bytes, text ? text : "");
}

static uint64_t
number(const json_t *row, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(row, name));
}

int
kwb_batch_head_parse(struct kwb_batch_head *head, const struct kwb_row *row)
{
	json_t *value = json_loadb(row->value, row->value_bytes, 0, NULL);

	memset(head, 0, sizeof(*head));
	kwb_text_copy(head->id, sizeof(head->id), row->key);
	head->revision = row->revision;
	if (!json_is_object(value)) {
		json_decref(value);
		return KWB_ERR_STORE_VALUE;
	}
	copy(head->owner, sizeof(head->owner), value, "owner");
	copy(head->host, sizeof(head->host), value, "host");
	copy(head->target, sizeof(head->target), value, "path");
	copy(head->model, sizeof(head->model), value, "model");
	head->owner_incarnation = number(value, "incarnation");
	head->min_version = number(value, "min_version");
	head->accepted_ms = number(value, "accepted_ms");
	head->step = number(value, "step");
	head->target_groups = (uint32_t)number(value, "target_groups");
	head->tokens = number(value, "tokens");
	head->total = (uint32_t)number(value, "total");
	head->ended = json_is_true(json_object_get(value, "ended"));
	head->listed = json_is_true(json_object_get(value, "listed"));
	head->fresh = json_is_true(json_object_get(value, "fresh"));
	json_decref(value);
	return 0;
}

int
kwb_batch_head_print(const struct kwb_batch_head *head, struct kwb_buf *out)
{
	json_t *value = json_pack(
	    "{s:s, s:I, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:b, s:b, s:b}",
	    "owner", head->owner, "incarnation",
	    (json_int_t)head->owner_incarnation, "host", head->host, "path",
	    head->target, "model", head->model, "min_version",
	    (json_int_t)head->min_version, "accepted_ms",
	    (json_int_t)head->accepted_ms, "tokens", (json_int_t)head->tokens,
	    "step", (json_int_t)head->step, "target_groups",
	    (json_int_t)head->target_groups, "total", (json_int_t)head->total,
	    "ended", head->ended, "listed", head->listed, "fresh", head->fresh);
	char *text = json_dumps(value, JSON_COMPACT);
	int code;

	json_decref(value);
	if (text == NULL)
		return KWB_ERR_ARGUMENT;
	code = kwb_buf_add(out, text, strlen(text));
	free(text);
	return code;
}
