package io.hickorydrift.core.commit;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.directory.Directory;
import io.hickorydrift.core.directory.GroupState;
import io.hickorydrift.core.directory.TargetEntry;
import io.hickorydrift.core.directory.TargetState;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.store.StorePosition;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AcknowledgementTest {
  private static final Position COMMIT = new Position(3, 7);

  private final Directory directory = new Directory(target -> {});
  private GroupState group;
  private TargetState primary;
  private TargetState replica;

  @BeforeEach
  void addTargets() {
    directory.put(entry("p", true, 1), new StorePosition(0, 1));
    directory.put(entry("r", false, 1), new StorePosition(0, 2));
    group = directory.group("g");
    for (TargetState target : group.targets()) {
      if (target.entry().primary()) {
        primary = target;
      } else {
        replica = target;
      }
    }
  }

  private static TargetEntry entry(String id, boolean primary, long startedAtMs) {
    return new TargetEntry(id, "g", "127.0.0.1:1", "d", 3, false, primary, startedAtMs, 1);
  }

  @Test
  void primaryPolicyNeedsNoReplica() {
    assertThat(Acknowledgement.PRIMARY.policy().isSatisfied(group, COMMIT)).isTrue();
  }

  @ParameterizedTest
  @CsvSource({"3, 6, false", "3, 7, true", "3, 8, true", "2, 9, false", "4, 9, false"})
  void replicaPolicyNeedsTheCommitInItsTerm(long term, long index, boolean satisfied) {
    replica.recordReceived(new Position(term, index));
    assertThat(Acknowledgement.REPLICA.policy().isSatisfied(group, COMMIT)).isEqualTo(satisfied);
  }

  @Test
  void appliedCommitCountsAsReceived() {
    replica.recordApplied(COMMIT);
    assertThat(Acknowledgement.REPLICA.policy().isSatisfied(group, COMMIT)).isTrue();
  }

  @Test
  void primaryDoesNotCountAsReplica() {
    primary.recordReceived(COMMIT);
    assertThat(Acknowledgement.REPLICA.policy().isSatisfied(group, COMMIT)).isFalse();
  }

  @Test
  void restartedReplicaLosesItsReceivedPosition() {
    replica.recordReceived(COMMIT);
    directory.put(entry("r", false, 2), new StorePosition(0, 3));
    assertThat(Acknowledgement.REPLICA.policy().isSatisfied(group, COMMIT)).isFalse();
  }
}
