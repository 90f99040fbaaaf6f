/*
 * Messages about faults in settings and lists, collected for one report.
 */
#include <stdarg.h>
#include <stdio.h>

#include "kwb.h"

void
kwb_faults_add(struct kwb_faults *faults, const char *format, ...)
{
	va_list args;

	if (faults->count == KWB_FAULTS_MAX)
		return;
	va_start(args, format);
	vsnprintf(
	    faults->text[faults->count], KWB_FAULT_MAX_BYTES, format, args);
	va_end(args);
	faults->count++;
}
