package io.hickorydrift.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.message.Alive;
import io.hickorydrift.core.message.DigestMark;
import io.hickorydrift.core.message.DomainDigest;
import io.hickorydrift.core.message.Heartbeat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Who counts as live, by heartbeats and by digests. */
class MembershipTest {
  private static final long LIVE = 100;
  private static final long DIGEST = 1_000;
  private final Membership membership = new Membership("me", "d1", LIVE, DIGEST);

  private static Heartbeat beat(String instance, String domain, long slot) {
    return Heartbeat.builder().instance(instance).failureDomain(domain).slot(slot).build();
  }

  private static DomainDigest digest(long mark, Heartbeat... members) {
    return new DomainDigest("d2", mark, List.of(members));
  }

  private List<String> live(long nowNanos) {
    return membership.livePeers(nowNanos).stream().map(Heartbeat::instance).toList();
  }

  @Test
  void heartbeatCountsUntilItsTimeAndAliveRenewsIt() {
    membership.onHeartbeat(beat("a", "d1", 1), 0);
    assertThat(live(LIVE)).containsExactly("a");
    membership.onAlive("a", new Alive(7), LIVE);
    assertThat(live(2 * LIVE)).containsExactly("a");
    assertThat(membership.livePeers(2 * LIVE).get(0).configEntry()).isEqualTo(7);
    assertThat(live(2 * LIVE + 1)).isEmpty();
  }

  @Test
  void aliveOfAnUnknownPeerIsPassedOver() {
    membership.onAlive("stranger", new Alive(1), 0);
    assertThat(live(1)).isEmpty();
  }

  @Test
  void digestCountsWhileItsMarkIsRenewed() {
    membership.onDigest(digest(5, beat("b", "d2", 3)), 0);
    membership.renewDigests(List.of(new DigestMark("d2", 5)), DIGEST);
    assertThat(membership.slotHolders(2 * DIGEST)).containsEntry(3, "b");
    membership.renewDigests(List.of(new DigestMark("d2", 6)), 2 * DIGEST);
    assertThat(live(2 * DIGEST + 1)).as("another mark renews nothing").isEmpty();
  }

  @Test
  void directSilenceCountsUntilTheDomainVouchesForThePeer() {
    membership.onDigest(digest(5, beat("b", "d2", 3), beat("c", "d2", 4)), 0);
    membership.onHeartbeat(beat("b", "d2", 3), 0);
    assertThat(live(LIVE + 1)).containsExactly("c");
    membership.renewDigests(List.of(new DigestMark("d2", 5)), LIVE + 1);
    assertThat(live(LIVE + 2)).containsExactly("b", "c");
  }

  @Test
  void ownDigestNamesTheOwnDomainOnlyAndItsMarkFollowsTheMembers() {
    Heartbeat own = beat("me", "d1", 0);
    membership.onHeartbeat(beat("a", "d1", 1), 0);
    membership.onHeartbeat(beat("b", "d2", 2), 0);
    DomainDigest first = membership.ownDigest(own, 1);
    assertThat(first.members()).extracting(Heartbeat::instance).containsExactly("a", "me");
    membership.onAlive("a", new Alive(9), 2);
    assertThat(membership.ownDigest(own, 3).mark()).isEqualTo(first.mark());
    membership.onHeartbeat(beat("a", "d1", 5), 4);
    assertThat(membership.ownDigest(own, 5).mark()).isNotEqualTo(first.mark());
  }

  @Test
  void slotOfLeavingPeerIsNotHeld() {
    Heartbeat leaving =
        Heartbeat.builder().instance("a").failureDomain("d1").slot(1).leaving(true).build();
    membership.onHeartbeat(leaving, 0);
    assertThat(membership.slotHolders(1)).isEmpty();
    assertThat(live(1)).containsExactly("a");
  }
}
