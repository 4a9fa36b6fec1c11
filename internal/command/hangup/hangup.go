// Package hangup keeps SIGHUP from ending "lacewingd serve" as soon as the program is loaded. Import it for this
// effect.
//
// The platform sends SIGHUP when settings change, also to a process that has just been started. A Go program first
// initialises its packages, which takes some ten milliseconds. Until it subscribes to the signal, the default action
// applies: the process ends without any message. An ignored signal is delivered again as soon as the program
// subscribes to it.
package hangup

/*
#include <signal.h>
#include <string.h>

static void __attribute__((constructor)) ignore_hangups(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "serve") == 0) {
		signal(SIGHUP, SIG_IGN);
	}
}
*/
import "C"
