package io.hickorydrift.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.DigestMark;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.Heartbeat;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks which peers are live according to heartbeats and digests. */
class MembershipTest {
  private static final long HEARTBEAT_VALIDITY_NANOS = 100;
  private static final long DIGEST_VALIDITY_NANOS = 1_000;
  private static final int SLOTS = 4_000;
  private final Membership membership =
      new Membership("me", "d1", HEARTBEAT_VALIDITY_NANOS, DIGEST_VALIDITY_NANOS);

  private static Heartbeat heartbeat(String instance, String domain, long slot) {
    return Heartbeat.builder().instance(instance).failureDomain(domain).slot(slot).build();
  }

  private static DomainDigest digest(long mark, Heartbeat... members) {
    return new DomainDigest("d2", mark, List.of(members));
  }

  private List<String> livePeers(long nowNanos) {
    return membership.livePeers(nowNanos).stream().map(Heartbeat::instance).toList();
  }

  @Test
  void heartbeatExpiresUnlessRenewedByAlive() {
    membership.onHeartbeat(heartbeat("a", "d1", 1), 0);
    assertThat(livePeers(HEARTBEAT_VALIDITY_NANOS)).containsExactly("a");
    membership.onAlive("a", new Alive(7), HEARTBEAT_VALIDITY_NANOS);
    assertThat(livePeers(2 * HEARTBEAT_VALIDITY_NANOS)).containsExactly("a");
    assertThat(membership.livePeers(2 * HEARTBEAT_VALIDITY_NANOS).get(0).configEntry())
        .isEqualTo(7);
    assertThat(livePeers(2 * HEARTBEAT_VALIDITY_NANOS + 1)).isEmpty();
  }

  @Test
  void aliveOfUnknownPeerIsIgnored() {
    membership.onAlive("unknown", new Alive(1), 0);
    assertThat(livePeers(1)).isEmpty();
  }

  @Test
  void digestExpiresUnlessRenewedWithItsMark() {
    membership.onDigest(digest(5, heartbeat("b", "d2", 3)), 0);
    membership.renewDigests(List.of(new DigestMark("d2", 5)), DIGEST_VALIDITY_NANOS);
    assertThat(membership.slotHolders(2 * DIGEST_VALIDITY_NANOS)).containsEntry(3, "b");
    membership.renewDigests(List.of(new DigestMark("d2", 6)), 2 * DIGEST_VALIDITY_NANOS);
    assertThat(livePeers(2 * DIGEST_VALIDITY_NANOS + 1))
        .as("another mark does not renew the digest")
        .isEmpty();
  }

  /**
   * Guards against changes of a slot that peers do not learn of until the next full heartbeat: it
   * is only sent earlier if its mark has changed.
   */
  @Test
  void markDistinguishesAllSlotsAndNone() {
    Set<Long> marks = new HashSet<>();
    Set<Long> digestMarks = new HashSet<>();
    for (long slot = -1; slot < SLOTS; slot++) {
      Heartbeat own = heartbeat("a", "d1", slot);
      marks.add(Membership.mark(own));
      digestMarks.add(membership.ownDigest(own, 0).mark());
    }
    assertThat(marks).hasSize(SLOTS + 1);
    assertThat(digestMarks).hasSize(SLOTS + 1);
  }

  @Test
  void expiredHeartbeatHidesPeerUntilDigestIsRenewed() {
    membership.onDigest(digest(5, heartbeat("b", "d2", 3), heartbeat("c", "d2", 4)), 0);
    membership.onHeartbeat(heartbeat("b", "d2", 3), 0);
    assertThat(livePeers(HEARTBEAT_VALIDITY_NANOS + 1)).containsExactly("c");
    membership.renewDigests(List.of(new DigestMark("d2", 5)), HEARTBEAT_VALIDITY_NANOS + 1);
    assertThat(livePeers(HEARTBEAT_VALIDITY_NANOS + 2)).containsExactly("b", "c");
  }

  @Test
  void ownDigestListsOwnDomainAndItsMarkChangesWithMembers() {
    Heartbeat own = heartbeat("me", "d1", 0);
    membership.onHeartbeat(heartbeat("a", "d1", 1), 0);
    membership.onHeartbeat(heartbeat("b", "d2", 2), 0);
    DomainDigest first = membership.ownDigest(own, 1);
    assertThat(first.members()).extracting(Heartbeat::instance).containsExactly("a", "me");
    membership.onAlive("a", new Alive(9), 2);
    assertThat(membership.ownDigest(own, 3).mark()).isEqualTo(first.mark());
    membership.onHeartbeat(heartbeat("a", "d1", 5), 4);
    assertThat(membership.ownDigest(own, 5).mark()).isNotEqualTo(first.mark());
  }

  @Test
  void leavingPeerHoldsNoSlot() {
    Heartbeat leaving =
        Heartbeat.builder().instance("a").failureDomain("d1").slot(1).leaving(true).build();
    membership.onHeartbeat(leaving, 0);
    assertThat(membership.slotHolders(1)).isEmpty();
    assertThat(livePeers(1)).containsExactly("a");
  }
}
