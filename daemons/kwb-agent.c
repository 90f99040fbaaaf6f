/*
 * kwb-agent: runs an agent of libkwb until SIGTERM or SIGINT.
 */
#include "daemon.h"

int
main(int argc, char **argv)
{
	struct kwb_agent_settings *settings;
	struct kwb_faults faults = {0};
	struct daemon_options options;
	struct kwb_agent *agent;
	int code;

	if (!daemon_options_parse(&options, argc, argv, &code))
		return code;
	if (kwb_agent_settings_load(
		&settings, options.settings_file, &faults) != 0) {
		daemon_faults_print(&faults);
		return 1;
	}
	if (!options.is_check_only) {
		daemon_signals_block();
		kwb_log_init(settings->vm, options.log_level);
		kwb_http_init();
		kwb_current_lists_init();
		code = kwb_agent_start(&agent, settings);
		if (code != 0) {
			kwb_log(KWB_LOG_ERROR, "agent",
			    "event=no_start error=%s", kwb_error_name(code));
			return 1;
		}
		daemon_wait_for_signal();
		kwb_agent_stop(agent);
		kwb_current_lists_finish();
		kwb_http_finish();
	}
	kwb_agent_settings_unload(settings);
	return 0;
}
