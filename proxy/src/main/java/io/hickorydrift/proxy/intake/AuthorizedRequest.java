package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.session.Session;

/**
 * Who asks for what; the caller's key is not part of it.
 *
 * <p>Thread safety: immutable.
 *
 * @param organisation organisation that the request runs for
 * @param op what it does
 * @param group database group that it leads to
 * @param route route that was called, null within a transaction
 * @param transactionId open transaction, else null
 * @param session session shown, a fresh one if none was
 * @param requestId id of a write, else null
 */
record AuthorizedRequest(
    String organisation,
    HomeOp op,
    String group,
    Route route,
    String transactionId,
    Session session,
    String requestId) {}
