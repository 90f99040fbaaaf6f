/*
 * Loads YAML texts with libcyaml and turns its log into faults, one message
 * each with file, line and path. All unknown keys are reported, but only the
 * first value of a wrong type or range, as libcyaml stops there.
 */
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "yaml.h"

#define LINE_MAX_BYTES 512
#define IGNORED_KEY_PREFIX "Load: Ignoring key: "
#define IGNORED_KEY_FORMAT IGNORED_KEY_PREFIX "%s\n"

static void yaml_on_log(
    cyaml_log_t level, void *context, const char *format, va_list args);
static void yaml_report_pending(struct kwb_yaml *yaml);
static void yaml_report_unknown_key(struct kwb_yaml *yaml, const char *key);

void
kwb_yaml_init(
    struct kwb_yaml *yaml, const char *file, struct kwb_faults *faults)
{
	memset(yaml, 0, sizeof(*yaml));
	yaml->file = file;
	yaml->faults = faults;
	kwb_buf_init(&yaml->pending);
	yaml->config.log_fn = yaml_on_log;
	yaml->config.log_ctx = yaml;
	yaml->config.mem_fn = cyaml_mem;
	yaml->config.log_level = CYAML_LOG_DEBUG;
	yaml->config.flags = CYAML_CFG_NO_ALIAS | CYAML_CFG_IGNORE_UNKNOWN_KEYS;
}

int
kwb_yaml_load(struct kwb_yaml *yaml, const char *text, size_t length_bytes,
    const cyaml_schema_value_t *schema, void **data)
{
	unsigned count_before = yaml->faults->count;
	cyaml_err_t error;

	*data = NULL;
	yaml->text = text;
	error = cyaml_load_data((const uint8_t *)text, length_bytes,
	    &yaml->config, schema, (cyaml_data_t **)data, NULL);
	yaml_report_pending(yaml);
	if (error != CYAML_OK && yaml->faults->count == count_before)
		kwb_faults_add(
		    yaml->faults, "%s: %s", yaml->file, cyaml_strerror(error));
	/* If only keys are unknown, *data is set and can be checked further. */
	if (yaml->faults->count == count_before)
		return 0;
	return KWB_ERR_SETTINGS;
}

void
kwb_yaml_finish(struct kwb_yaml *yaml)
{
	kwb_buf_finish(&yaml->pending);
}

int
kwb_file_read(const char *path, struct kwb_buf *out)
{
	char chunk[4096];
	FILE *file = fopen(path, "r");
	size_t read_bytes;

	if (file == NULL)
		return KWB_ERR_SYSTEM;
	while ((read_bytes = fread(chunk, 1, sizeof(chunk), file)) > 0)
		kwb_buf_add(out, chunk, read_bytes);
	fclose(file);
	return 0;
}

/*
 * Takes a line of libcyaml's log. A line without indentation begins a fault,
 * indented lines are its backtrace; they are gathered into one message.
 */
static void
yaml_on_log(cyaml_log_t level, void *context, const char *format, va_list args)
{
	struct kwb_yaml *yaml = context;
	char line[LINE_MAX_BYTES];
	const char *text = line;

	if (level < CYAML_LOG_WARNING &&
	    strcmp(format, IGNORED_KEY_FORMAT) != 0)
		return;
	vsnprintf(line, sizeof(line), format, args);
	line[strcspn(line, "\n")] = '\0';
	if (strncmp(line, IGNORED_KEY_PREFIX, strlen(IGNORED_KEY_PREFIX)) ==
	    0) {
		yaml_report_unknown_key(
		    yaml, line + strlen(IGNORED_KEY_PREFIX));
		return;
	}
	if (strncmp(text, "Load: ", 6) == 0)
		text += 6;
	if (strcmp(text, "Backtrace:") == 0)
		return;
	if (text[0] != ' ')
		yaml_report_pending(yaml);
	else
		text += strspn(text, " ");
	if (yaml->pending.used_bytes > 0)
		kwb_buf_add(&yaml->pending, ", ", 2);
	kwb_buf_add(&yaml->pending, text, strlen(text));
}

/* Reports the gathered fault, if any. */
static void
yaml_report_pending(struct kwb_yaml *yaml)
{
	const char *text = kwb_buf_text(&yaml->pending);
	const char *line_note = strstr(text, "(line: ");

	if (yaml->pending.used_bytes == 0)
		return;
	if (line_note != NULL)
		kwb_faults_add(yaml->faults, "%s:%d: %s", yaml->file,
		    atoi(line_note + 7), text);
	else
		kwb_faults_add(yaml->faults, "%s: %s", yaml->file, text);
	yaml->pending.used_bytes = 0;
}

/*
 * Reports a key that is not in the schema. libcyaml does not tell its line, so
 * the first line with that key is given.
 */
static void
yaml_report_unknown_key(struct kwb_yaml *yaml, const char *key)
{
	const char *text = yaml->text;
	size_t length = strlen(key);
	int line = 1;

	while (*text != '\0') {
		text += strspn(text, " -");
		if (strncmp(text, key, length) == 0 && text[length] == ':')
			break;
		text += strcspn(text, "\n");
		text += *text == '\n';
		line++;
	}
	kwb_faults_add(
	    yaml->faults, "%s:%d: %s: unknown field", yaml->file, line, key);
}
