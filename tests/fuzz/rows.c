/*
 * Fuzz target: rows in answers of the platform's store.
 */
#include <stdlib.h>

#include "../../platform/platform.h"
#include "fuzz.h"

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t length_bytes)
{
	struct kwb_store_answer answer = {0};
	struct kwb_buf values;
	json_t *body = json_loadb((const char *)data, length_bytes, 0, NULL);
	uint32_t i;

	kwb_log_init("fuzz", KWB_LOG_ERROR + 1);
	kwb_buf_init(&values);
	platform_parse_rows(json_object_get(body, "rows"), &answer, &values);
	for (i = 0; i < answer.rows_count; i++)
		if (answer.rows[i].value[answer.rows[i].value_bytes] != '\0')
			abort();
	free(answer.rows);
	kwb_buf_finish(&values);
	json_decref(body);
	return 0;
}
