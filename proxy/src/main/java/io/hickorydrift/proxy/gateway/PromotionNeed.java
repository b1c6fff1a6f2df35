package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * The need for a change of a group's primary.
 *
 * <p>Thread safety: confined to the loop's thread.
 *
 * @param sinceNanos time since when the group has needed it
 * @param syncReplicas number of replicas that have each acknowledged commit, 0 for none; it may
 *     change
 * @param primaryIsReachable whether the primary that is to be replaced is reachable
 */
record PromotionNeed(
    GroupState group,
    PrimaryVerdict verdict,
    long sinceNanos,
    IntSupplier syncReplicas,
    BooleanSupplier primaryIsReachable) {}
