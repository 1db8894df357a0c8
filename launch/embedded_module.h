/**
 * @file
 * Copy of the server's module that the executable contains, for an executable
 * that was copied without the module's file.
 */
#ifndef WISTERIAVANE_LAUNCH_EMBEDDED_MODULE_H
#define WISTERIAVANE_LAUNCH_EMBEDDED_MODULE_H

/**
 * Loads the module from a file in memory, to which the copy is written.
 *
 * @return the handle of dlopen(); NULL if there is no memory or no /proc, with
 *         the reason in dlerror() in the second case
 */
void *embedded_module_load(void);

#endif
