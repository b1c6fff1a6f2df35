package io.hickorydrift.proxy.gateway;

import io.hickorydrift.core.declaration.Route;
import io.hickorydrift.core.placement.AllowedRegions;

/**
 * What an operation's execution depends on besides its text.
 *
 * <p>Thread safety: immutable.
 *
 * @param route route in force when it was admitted
 * @param organisation organisation that it runs for
 * @param allowed regions whose targets may run it
 */
record OperationScope(Route route, String organisation, AllowedRegions allowed) {
  /** Returns the scope of a forwarded statement. */
  static OperationScope of(PeerMessage.Forward forward) {
    return new OperationScope(forward.route(), forward.organisation(), forward.allowed());
  }
}
