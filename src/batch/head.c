/*
 * Parses and serializes the record of a batch, and frees a parsed submission.
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
	free(spec->model);
	memset(spec, 0, sizeof(*spec));
}

static const char *
get_string(const json_t *row, const char *name)
{
	const char *text = json_string_value(json_object_get(row, name));

	return text ? text : "";
}

void
kwb_batch_record_finish(struct kwb_batch_record *record)
{
	free(record->host);
	free(record->target);
	free(record->workspace);
	free(record->model);
	record->host = NULL;
	record->target = NULL;
	record->workspace = NULL;
	record->model = NULL;
}

/* Sets the texts of a record that has none. */
static int
record_set_texts(struct kwb_batch_record *record, const char *host,
    const char *target, const char *workspace, const char *model)
{
	record->host = strdup(host);
	record->target = strdup(target);
	record->workspace = strdup(workspace);
	record->model = strdup(model);
	if (record->host != NULL && record->target != NULL &&
	    record->workspace != NULL && record->model != NULL)
		return 0;
	kwb_batch_record_finish(record);
	return KWB_ERR_MEMORY;
}

int
kwb_batch_record_copy(
    struct kwb_batch_record *to, const struct kwb_batch_record *from)
{
	*to = *from;
	return record_set_texts(
	    to, from->host, from->target, from->workspace, from->model);
}

static uint64_t
get_number(const json_t *row, const char *name)
{
	return (uint64_t)json_integer_value(json_object_get(row, name));
}

int
kwb_batch_record_parse(
    struct kwb_batch_record *record, const struct kwb_row *row)
{
	json_t *value = json_loadb(row->value, row->value_bytes, 0, NULL);
	int code;

	memset(record, 0, sizeof(*record));
	kwb_text_copy(record->id, sizeof(record->id), row->key);
	record->revision = row->revision;
	if (!json_is_object(value)) {
		json_decref(value);
		return KWB_ERR_STORE_UNREADABLE;
	}
	kwb_text_copy(
	    record->owner, sizeof(record->owner), get_string(value, "owner"));
	code = record_set_texts(record, get_string(value, "host"),
	    get_string(value, "path"), get_string(value, "workspace"),
	    get_string(value, "model"));
	record->owner_incarnation = get_number(value, "incarnation");
	record->min_version = get_number(value, "min_version");
	record->config_version = get_number(value, "config");
	record->accepted_ms = get_number(value, "accepted_ms");
	record->step = get_number(value, "step");
	record->target_groups = (uint32_t)get_number(value, "target_groups");
	record->tokens = get_number(value, "tokens");
	record->total = (uint32_t)get_number(value, "total");
	record->ended = json_is_true(json_object_get(value, "ended"));
	record->listed = json_is_true(json_object_get(value, "listed"));
	record->fresh = json_is_true(json_object_get(value, "fresh"));
	json_decref(value);
	return code;
}

int
kwb_batch_record_serialize(
    const struct kwb_batch_record *record, struct kwb_buf *out)
{
	json_t *value = json_pack(
	    "{s:s, s:I, s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:b, s:b, s:b}",
	    "owner", record->owner, "incarnation",
	    (json_int_t)record->owner_incarnation, "host", record->host, "path",
	    record->target, "model", record->model, "min_version",
	    (json_int_t)record->min_version, "config",
	    (json_int_t)record->config_version, "accepted_ms",
	    (json_int_t)record->accepted_ms, "tokens",
	    (json_int_t)record->tokens, "step", (json_int_t)record->step,
	    "target_groups", (json_int_t)record->target_groups, "total",
	    (json_int_t)record->total, "ended", record->ended, "listed",
	    record->listed, "fresh", record->fresh);
	char *text;
	int code;

	if (record->workspace[0] != '\0')
		json_object_set_new(
		    value, "workspace", json_string(record->workspace));
	text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	if (text == NULL)
		return KWB_ERR_ARGUMENT;
	code = kwb_buf_add(out, text, strlen(text));
	free(text);
	return code;
}
