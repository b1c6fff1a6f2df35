package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.promotion.PrimaryVerdict;
import java.util.function.BooleanSupplier;

/**
 * The need for a change of a group's primary.
 *
 * <p>Thread safety: confined to the loop's thread.
 *
 * @param sinceNanos time since when the group has needed it
 * @param syncReplicas number of replicas that the group demands to have a commit before it is
 *     acknowledged
 * @param primaryIsReachable whether the primary that is to be replaced is reachable
 */
record PromotionNeed(
    GroupState group,
    PrimaryVerdict verdict,
    long sinceNanos,
    int syncReplicas,
    BooleanSupplier primaryIsReachable) {}
