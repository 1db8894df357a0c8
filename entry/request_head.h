/**
 * @file
 * Heads of the requests to searchers, composed from those of callers.
 */
#ifndef WISTERIAVANE_ENTRY_REQUEST_HEAD_H
#define WISTERIAVANE_ENTRY_REQUEST_HEAD_H

#include "entry/message.h"
#include "entry/platform_adapter.h"

/**
 * Composes the request line and the fields that are the same for all attempts.
 * The fields of an attempt and the empty line follow later. The caller owns the
 * text.
 *
 * @param with_teams  the routes have teams: searchers get neither keys nor a
 *                    team's name from the caller
 * @param team        of the request, whose name searchers get; NULL: none
 */
GString *request_head_compose(const struct platform_adapter *adapter,
    const struct message *message, bool with_teams, const struct wv_team *team);

#endif
