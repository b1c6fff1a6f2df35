package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.message.Position;

/** Decides whether a commit may be acknowledged. Implementations hold no state. */
public interface AcknowledgementPolicy {
  /**
   * Returns whether {@code commit}, which the group's primary has executed, may be acknowledged to
   * the caller.
   */
  boolean isSatisfied(GroupState group, Position commit);
}
