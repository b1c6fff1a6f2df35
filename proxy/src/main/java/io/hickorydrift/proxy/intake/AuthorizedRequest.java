package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.session.Session;

/**
 * Organisation, operation, route and session of an authorized request. It doesn't hold the caller's
 * key.
 *
 * <p>Thread safety: immutable.
 *
 * @param organisation organisation that the request runs for
 * @param op operation
 * @param group database group that serves the request
 * @param route route of the request, null within a transaction
 * @param transactionId id of the open transaction, or null
 * @param session session decoded from the request's token, an empty one if there was no token
 * @param requestId idempotency key, generated if the caller sent none; null within a transaction
 */
record AuthorizedRequest(
    String organisation,
    HomeOp op,
    String group,
    Route route,
    String transactionId,
    Session session,
    String requestId) {}
