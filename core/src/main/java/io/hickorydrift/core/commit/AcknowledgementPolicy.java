package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.message.Position;

/** Whether enough is known of a commit to acknowledge it. Implementations hold no state. */
public interface AcknowledgementPolicy {
  /** Returns whether {@code commit}, which the group's primary has carried out, may be told. */
  boolean isSatisfied(GroupState group, Position commit);
}
