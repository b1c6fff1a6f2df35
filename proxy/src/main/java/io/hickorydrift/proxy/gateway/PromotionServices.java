package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.KeyValueStore;
import io.hickorydrift.proxy.port.PromotionClient;

/**
 * What the promotion attempts of an instance share.
 *
 * <p>Thread safety: confined to the loop's thread.
 *
 * @param self id of the instance
 */
record PromotionServices(
    EventLoop loop,
    KeyValueStore store,
    PromotionClient promotionClient,
    TargetPools pools,
    Declarations declarations,
    String self) {}
