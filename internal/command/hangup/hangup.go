// Package hangup keeps SIGHUP from ending "lacewingd serve" from the moment on in which it is loaded. Import it for that.
//
// The platform sends SIGHUP when settings change, also to a process that has just been started. Go programs run their
// packages' initialisation first, which takes some ten milliseconds, and until they ask for the signal its default holds:
// the process ends without a word. What is ignored here is delivered as soon as the program asks for it.
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
