/*
 * Logger: one line an event, "time level module key=value ...", written with
 * a single call so that lines of several threads never mix.
 */
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "kwb.h"

#define LINE_MAX_BYTES 1024

static const char *const level_names[] = {"debug", "info", "warn", "error"};
static enum kwb_log_level threshold = KWB_LOG_INFO;
static char process_name[KWB_NAME_MAX_BYTES] = "-";

void
kwb_log_init(const char *process, enum kwb_log_level lowest)
{
	kwb_text_copy(process_name, sizeof(process_name), process);
	threshold = lowest;
}

void
kwb_log(enum kwb_log_level level, const char *module, const char *format, ...)
{
	char line[LINE_MAX_BYTES];
	uint64_t wall_ms = kwb_clock_wall_ms();
	size_t used;
	int length;
	va_list args;

	if (level < threshold)
		return;
	length = snprintf(line, sizeof(line),
	    "%s: time_ms=%llu level=%s process=%s ", module,
	    (unsigned long long)wall_ms, level_names[level], process_name);
	used = (size_t)length;
	va_start(args, format);
	length = vsnprintf(line + used, sizeof(line) - used, format, args);
	va_end(args);
	if (length > 0)
		used += (size_t)length;
	if (used > sizeof(line) - 2)
		used = sizeof(line) - 2;
	line[used++] = '\n';
	if (write(STDERR_FILENO, line, used) < 0)
		return;
}
