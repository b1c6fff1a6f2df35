package io.hickorydrift.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.limit.RateLimitAction.Cause;
import io.hickorydrift.core.message.GrantAnswer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refusals that claim an exceeded rate which the instance cannot know. */
class SlotRateLimiterTest {
  private static final long MS = 1_000_000L;
  private static final LimitSettings SETTINGS = LimitSettings.STANDARD;
  private static final String ORGANISATION = "o";
  private static final String PEER = "p";
  private static final long TICKET = 7;

  private final SlotRateLimiter limiter = new SlotRateLimiter(SETTINGS);
  private final List<RateLimitAction> actions = new ArrayList<>();

  @BeforeEach
  void setLimits() {
    limiter.setLimits(Map.of(ORGANISATION, new RateLimit(1_000, 1_000)), 0);
    limiter.setPeers(List.of(PEER));
  }

  private void tickUntil(long fromMs, long untilMs) {
    for (long ms = fromMs; ms < untilMs; ms += 5) {
      actions.addAll(limiter.tick(ms * MS));
    }
  }

  private List<RateLimitAction> decisions() {
    return actions.stream()
        .filter(action -> !(action instanceof RateLimitAction.RequestTokens))
        .toList();
  }

  private Cause causeOfRefusal() {
    assertThat(decisions()).hasSize(1);
    return ((RateLimitAction.Refuse) decisions().get(0)).cause();
  }

  private void answer(double tokens, long atMs) {
    RateLimitAction.RequestTokens request = null;
    for (RateLimitAction action : actions) {
      request = action instanceof RateLimitAction.RequestTokens last ? last : request;
    }
    long correlationId = request.request().correlationId();
    GrantAnswer answer = new GrantAnswer(correlationId, ORGANISATION, 1, tokens);
    actions.addAll(limiter.onGrantAnswer(PEER, answer, atMs * MS));
  }

  @Test
  void requestWithoutShareWaitsForFirstAnswerOfPeer() {
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    tickUntil(5, 400);
    assertThat(decisions()).isEmpty();
    answer(1, 400);
    assertThat(decisions()).containsExactly(new RateLimitAction.Admit(TICKET));
  }

  @Test
  void requestWithoutShareWaitsForPeerThatIsNotKnownYet() {
    limiter.setPeers(List.of());
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    tickUntil(5, 100);
    assertThat(actions).isEmpty();
    limiter.setPeers(List.of(PEER));
    tickUntil(100, 105);
    answer(1, 105);
    assertThat(decisions()).containsExactly(new RateLimitAction.Admit(TICKET));
  }

  @Test
  void silentPeersAreReportedAsSuchAfterBoundedWait() {
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    tickUntil(5, SETTINGS.grantValidityNanos() / MS);
    assertThat(decisions()).isEmpty();
    tickUntil(SETTINGS.grantValidityNanos() / MS, SETTINGS.grantValidityNanos() / MS + 5);
    assertThat(causeOfRefusal()).isEqualTo(Cause.NO_HOLDER_REACHED);
  }

  @Test
  void answerWithoutTokensEndsWaitAfterUsualTime() {
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    answer(0, 2);
    tickUntil(5, SETTINGS.maxWaitNanos() / MS + 5);
    assertThat(causeOfRefusal()).isEqualTo(Cause.RATE_EXCEEDED);
  }

  @Test
  void instanceWithShareWaitsUsualTimeForSilentPeers() {
    LeasedFraction lease = new LeasedFraction(1e-6, 10_000 * MS);
    limiter.setShare(new SlotShare(lease, LeasedFraction.NONE), 0);
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    tickUntil(5, SETTINGS.maxWaitNanos() / MS + 5);
    assertThat(causeOfRefusal()).isEqualTo(Cause.RATE_EXCEEDED);
  }

  @Test
  void unknownOrganisationIsNotReportedAsExceedingItsRate() {
    actions.addAll(limiter.acquire("unknown", TICKET, 0));
    assertThat(causeOfRefusal()).isEqualTo(Cause.NO_HOLDER_REACHED);
  }

  /** A peer sends its answer over a link of its own, which outlives the process that asked. */
  @Test
  void answerToRequestOfThePreviousProcessIsIgnored() {
    SlotRateLimiter previous = new SlotRateLimiter(SETTINGS);
    previous.setLimits(Map.of(ORGANISATION, new RateLimit(1_000, 1_000)), 0);
    previous.setPeers(List.of(PEER));
    RateLimitAction.RequestTokens former =
        (RateLimitAction.RequestTokens) previous.acquire(ORGANISATION, TICKET, 0).get(0);
    actions.addAll(limiter.acquire(ORGANISATION, TICKET, 0));
    GrantAnswer late = new GrantAnswer(former.request().correlationId(), ORGANISATION, 1, 1);
    actions.addAll(limiter.onGrantAnswer(PEER, late, 5 * MS));
    assertThat(decisions()).isEmpty();
    answer(1, 10);
    assertThat(decisions()).containsExactly(new RateLimitAction.Admit(TICKET));
  }
}
