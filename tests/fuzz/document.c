/*
 * Fuzz target: documents that other processes write to the store. The first
 * byte selects the kind of document.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../platform/ctl_check.h"
#include "../../platform/platform.h"
#include "fuzz.h"

/* Checks it against itself, so that both sides are any bytes. */
static void
check_document(const char *text, size_t length_bytes)
{
	static FILE *nowhere;
	struct ctl_check check = {.text = text,
	    .text_bytes = length_bytes,
	    .current_text = text,
	    .current_bytes = length_bytes};
	struct ctl_check_counts counts;

	if (nowhere == NULL)
		nowhere = fopen("/dev/null", "w");
	if (nowhere == NULL)
		abort();
	ctl_check_run(&check, nowhere, &counts);
}

static void
parse_document(uint8_t kind, const char *text, size_t length_bytes)
{
	struct kwb_node_config config;
	struct kwb_upstream_status status;
	struct kwb_batch_record record;
	struct kwb_faults faults = {0};
	struct kwb_row row = {.key = (char *)"k",
	    .value = (char *)text,
	    .value_bytes = length_bytes};
	char *model;
	uint64_t version;

	memset(&config, 0, sizeof(config));
	switch (kind % 4) {
	case 0:
		if (platform_document_schema.parse_config(
			&config, text, length_bytes, &faults) == 0)
			kwb_node_config_finish(&config);
		check_document(text, length_bytes);
		break;
	case 1:
		if (platform_document_schema.parse_upstream(
			&status, "i", text, length_bytes) == 0)
			kwb_upstream_status_finish(&status);
		break;
	case 2:
		platform_document_schema.parse_version(
		    text, length_bytes, &model, &version);
		free(model);
		break;
	default:
		if (kwb_batch_record_parse(&record, &row) == 0)
			kwb_batch_record_finish(&record);
		break;
	}
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	char *text;

	if (length_bytes < 1)
		return 0;
	kwb_log_init("fuzz", KWB_LOG_ERROR + 1);
	text = malloc(length_bytes);
	if (text == NULL)
		abort();
	/* Values of rows are followed by a NUL. */
	memcpy(text, data + 1, length_bytes - 1);
	text[length_bytes - 1] = '\0';
	parse_document(data[0], text, length_bytes - 1);
	free(text);
	return 0;
}
