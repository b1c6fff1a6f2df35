package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;

/**
 * Acknowledges a commit once at least one replica has proven that it received it. A promotion
 * chooses the replica with the latest received position, so that the commit survives the loss of
 * the primary unless that replica is lost as well.
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
