package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Admits requests against the rates of all organisations at one instance. A request that finds no
 * token waits a short bounded time while peers are asked, and is refused at once where the wait
 * could not help.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SlotRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MIN_RETRY_MS = 10;
  private static final double MIN_ASK = 0.05;

  private record Waiting(long ticket, long untilNanos) {}

  private record Asked(String peer, String organisation, long sentNanos) {}

  private static final class Account {
    private final OrganisationTokens allowance;
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private long nextAskNanos = Long.MIN_VALUE;
    private int nextPeer;

    private Account(OrganisationTokens allowance) {
      this.allowance = allowance;
    }
  }

  private final LimitSettings settings;
  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<Long, Asked> asked = new HashMap<>();
  private List<String> peers = List.of();
  private SlotShare share = SlotShare.NONE;
  private long nextCorrelationId = 1;

  /** Starts with no organisations and no share. */
  public SlotRateLimiter(LimitSettings settings) {
    this.settings = settings;
  }

  /** Sets the live peers that may be asked. */
  public void setPeers(List<String> livePeers) {
    peers = List.copyOf(livePeers);
  }

  /** Sets the limits of all organisations; the others are forgotten. */
  public void setLimits(Map<String, RateLimit> limits, long nowNanos) {
    accounts.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) -> {
          Account account =
              accounts.computeIfAbsent(
                  organisation,
                  name -> new Account(new OrganisationTokens(settings, limit, nowNanos)));
          account.allowance.update(limit, share, nowNanos);
        });
  }

  /** Sets this instance's share of all limits. */
  public void setShare(SlotShare newShare, long nowNanos) {
    share = newShare;
    for (Account account : accounts.values()) {
      account.allowance.update(account.allowance.limit(), share, nowNanos);
    }
  }

  /** A request of {@code organisation} wants in. */
  public List<RateLimitAction> acquire(String organisation, long ticket, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    Account account = accounts.get(organisation);
    if (account == null) {
      actions.add(new RateLimitAction.Refuse(ticket, MIN_RETRY_MS));
      return actions;
    }
    account.allowance.recordRequest(nowNanos);
    if (account.queue.isEmpty() && account.allowance.tryTake(nowNanos)) {
      actions.add(new RateLimitAction.Admit(ticket));
    } else if (account.queue.size() >= waitingRoom(account)) {
      actions.add(new RateLimitAction.Refuse(ticket, retryAfterMs(account)));
    } else {
      account.queue.addLast(new Waiting(ticket, nowNanos + settings.maxWaitNanos()));
    }
    ask(organisation, account, nowNanos, actions);
    return actions;
  }

  /** Moves time on. */
  public List<RateLimitAction> tick(long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    asked.values().removeIf(ask -> nowNanos - ask.sentNanos > settings.grantValidityNanos());
    accounts.forEach(
        (organisation, account) -> {
          serve(account, nowNanos, actions);
          expire(account, nowNanos, actions);
          ask(organisation, account, nowNanos, actions);
        });
    return actions;
  }

  /** A peer asks for tokens. */
  public List<RateLimitAction> onTokenRequest(String peer, GrantRequest request, long nowNanos) {
    Account account = accounts.get(request.organisation());
    GrantAnswer answer =
        account == null
            ? new GrantAnswer(request.correlationId(), request.organisation(), 0, 0)
            : account.allowance.grant(request, account.queue.size(), nowNanos);
    return List.of(new RateLimitAction.Grant(peer, answer));
  }

  /** A peer answers. */
  public List<RateLimitAction> onGrantAnswer(String peer, GrantAnswer answer, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    Asked ask = asked.remove(answer.correlationId());
    if (ask == null || !ask.peer.equals(peer)) {
      return actions;
    }
    Account account = accounts.get(ask.organisation);
    if (account != null) {
      account.allowance.credit(peer, answer, ask.sentNanos);
      serve(account, nowNanos, actions);
      ask(ask.organisation, account, nowNanos, actions);
    }
    return actions;
  }

  /** Returns the tokens of {@code organisation} usable here, for status and tests. */
  public double level(String organisation, long nowNanos) {
    Account account = accounts.get(organisation);
    return account == null ? 0 : account.allowance.level(nowNanos);
  }

  private void serve(Account account, long nowNanos, List<RateLimitAction> actions) {
    while (!account.queue.isEmpty() && account.allowance.tryTake(nowNanos)) {
      actions.add(new RateLimitAction.Admit(account.queue.removeFirst().ticket));
    }
  }

  private void expire(Account account, long nowNanos, List<RateLimitAction> actions) {
    for (Iterator<Waiting> each = account.queue.iterator(); each.hasNext(); ) {
      Waiting waiting = each.next();
      if (waiting.untilNanos - nowNanos <= 0) {
        each.remove();
        actions.add(new RateLimitAction.Refuse(waiting.ticket, retryAfterMs(account)));
      }
    }
  }

  private void ask(
      String organisation, Account account, long nowNanos, List<RateLimitAction> actions) {
    boolean tooSoon = account.nextAskNanos != Long.MIN_VALUE && nowNanos - account.nextAskNanos < 0;
    if (tooSoon || peers.isEmpty()) {
      return;
    }
    double shortage = account.allowance.shortage(account.queue.size(), nowNanos);
    if (shortage < MIN_ASK) {
      return;
    }
    account.nextAskNanos = nowNanos + settings.requestIntervalNanos();
    int fanOut = Math.min(settings.fanOut(), peers.size());
    for (int i = 0; i < fanOut; i++) {
      String peer = peers.get(Math.floorMod(account.nextPeer++, peers.size()));
      long correlationId = nextCorrelationId++;
      asked.put(correlationId, new Asked(peer, organisation, nowNanos));
      actions.add(
          new RateLimitAction.RequestTokens(
              peer,
              new GrantRequest(
                  correlationId,
                  organisation,
                  shortage / fanOut,
                  account.allowance.drainUsedGrants(peer))));
    }
  }

  private double waitingRoom(Account account) {
    return 1
        + account.allowance.limit().ratePerSecond() * settings.maxWaitNanos() / NANOS_PER_SECOND;
  }

  private long retryAfterMs(Account account) {
    double ahead = account.queue.size() + 1;
    double rate = Math.max(account.allowance.limit().ratePerSecond(), 0.001);
    return Math.max(MIN_RETRY_MS, (long) (1000 * ahead / rate));
  }
}
