package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;

/**
 * A replica has shown that it received the commit. A promotion takes the replica that has received
 * most, so that the commit outlives the primary unless that replica is lost as well.
 *
 * <p>Thread safety: immutable.
 */
final class ReplicaAcknowledgement implements AcknowledgementPolicy {
  @Override
  public boolean isSatisfied(GroupState group, Position commit) {
    for (TargetState replica : group.replicas()) {
      if (replica.hasReceived(commit)) {
        return true;
      }
    }
    return false;
  }
}
