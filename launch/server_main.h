/**
 * @file
 * Interface between the executable of a server and the server's module.
 */
#ifndef WISTERIAVANE_LAUNCH_SERVER_MAIN_H
#define WISTERIAVANE_LAUNCH_SERVER_MAIN_H

/** Name of the module's function. */
#define SERVER_MAIN_SYMBOL "server_main"

/** Type of server_main(). */
typedef int server_main_fn(int argc, char **argv);

/**
 * Runs the server; each module defines it.
 *
 * When it is called, SIGHUP, SIGINT and SIGTERM are blocked, further signals
 * that would end the process for no reason are ignored, and the three standard
 * streams are open.
 *
 * @return the exit code of the process
 */
__attribute__((visibility("default"))) server_main_fn server_main;

#endif
