package io.hickorydrift.core.commit;

import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.message.Position;

/**
 * The primary's answer is enough. Exposure: a commit that no replica has received is rolled back if
 * another target is promoted after a crash.
 *
 * <p>Thread safety: immutable.
 */
final class PrimaryAcknowledgement implements AcknowledgementPolicy {
  @Override
  public boolean isSatisfied(GroupState group, Position commit) {
    return true;
  }
}
