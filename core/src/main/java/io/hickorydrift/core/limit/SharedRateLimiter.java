package io.hickorydrift.core.limit;

import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Admits operations against the rates of all organisations at one instance. Each rate has a few
 * holders, each with a bucket of its part; whoever has no token asks one holder after the other and
 * waits a bounded time.
 *
 * <p>Invariant: a token leaves a bucket before it is used, and is used within {@link
 * #TOKEN_VALIDITY_NANOS} of being asked for. A bucket holds its part of the burst less what the
 * rate brings in that time. So in any window no more than rate times window plus burst is admitted
 * in all.
 *
 * <p>Thread safety: confined to one thread.
 */
public final class SharedRateLimiter {
  /** How long a token may be used after it was asked for. */
  public static final long TOKEN_VALIDITY_NANOS = 120_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;
  private static final long MAX_WAIT_NANOS = 35_000_000L;
  // A round over all holders takes a few milliseconds; holders without tokens get some at their
  // rate, so that asking again at once is in vain.
  private static final long ROUND_NANOS = 8_000_000L;
  private static final int MAX_BACKOFF_STEPS = 4;
  private static final long ANSWER_NANOS = 30_000_000L;
  private static final double SMOOTHING = 0.3;
  private static final long DEMAND_WINDOW_NANOS = 100_000_000L;
  private static final double AHEAD_SECONDS = 0.06;
  private static final double ROUNDING = 1e-6;
  private static final long MIN_RETRY_MS = 20;

  private record Waiting(long ticket, long untilNanos) {}

  private record Asked(String organisation, long sentNanos) {}

  private static final class Account {
    private final TokenBucket bucket;
    private final ExpiringTokens stock = new ExpiringTokens();
    private final ArrayDeque<Waiting> queue = new ArrayDeque<>();
    private RateLimit limit;
    private List<String> holders = List.of();
    private int nextHolder;
    private int askedInRound;
    private boolean asking;
    private long askedNanos;
    private long nextRoundNanos;
    private int fruitless;
    private double demandPerSecond;
    private int arrivals;
    private long windowNanos;

    private Account(RateLimit limit, long nowNanos) {
      this.limit = limit;
      bucket = new TokenBucket(0, 0, nowNanos);
      nextRoundNanos = nowNanos;
      windowNanos = nowNanos;
    }
  }

  private final Map<String, Account> accounts = new HashMap<>();
  private final Map<Long, Asked> asked = new HashMap<>();
  private long nextCorrelation = 1;

  /** Sets the limits of all organisations; the others are forgotten. */
  public void setLimits(Map<String, RateLimit> limits, long nowNanos) {
    accounts.keySet().retainAll(limits.keySet());
    limits.forEach(
        (organisation, limit) ->
            accounts.computeIfAbsent(organisation, key -> new Account(limit, nowNanos)).limit =
                limit);
  }

  /**
   * Sets the holders of an organisation's rate.
   *
   * @param reachable the holders that can be asked, without this instance
   * @param part this instance's part, 0 if it holds none
   */
  public void setHolders(String organisation, List<String> reachable, double part, long nowNanos) {
    Account account = accounts.get(organisation);
    if (account == null) {
      return;
    }
    account.holders = reachable;
    double rate = account.limit.ratePerSecond();
    double brought = rate * TOKEN_VALIDITY_NANOS / NANOS_PER_SECOND;
    double capacity = Math.max(account.limit.burst() - brought, Math.min(1, account.limit.burst()));
    account.bucket.resize(rate * part, capacity * part, nowNanos);
  }

  /** Forgets all tokens, as after a time of unknown length. */
  public void discardTokens(long nowNanos) {
    asked.clear();
    for (Account account : accounts.values()) {
      account.bucket.drain(nowNanos);
      account.stock.discardAll();
      account.asking = false;
    }
  }

  /** An operation of {@code organisation} wants in. */
  public List<RateLimitAction> acquire(String organisation, long ticket, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>(1);
    Account account = accounts.get(organisation);
    if (account == null) {
      actions.add(new RateLimitAction.Refuse(ticket, MIN_RETRY_MS));
      return actions;
    }
    account.arrivals++;
    if (account.queue.isEmpty() && tryTake(account, nowNanos)) {
      actions.add(new RateLimitAction.Admit(ticket));
    } else if (account.holders.isEmpty() && account.bucket.level(nowNanos) <= 0) {
      actions.add(new RateLimitAction.Refuse(ticket, retryMs(account)));
    } else {
      account.queue.addLast(new Waiting(ticket, nowNanos + MAX_WAIT_NANOS));
    }
    ask(organisation, account, nowNanos, actions);
    return actions;
  }

  /** Moves time on. */
  public List<RateLimitAction> tick(long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    asked.values().removeIf(each -> nowNanos - each.sentNanos > TOKEN_VALIDITY_NANOS);
    accounts.forEach(
        (organisation, account) -> {
          rollWindow(account, nowNanos);
          serve(account, nowNanos, actions);
          ask(organisation, account, nowNanos, actions);
        });
    return actions;
  }

  /** A peer asks this holder for tokens; whole ones are given. */
  public GrantAnswer onTokenRequest(GrantRequest request, long nowNanos) {
    Account account = accounts.get(request.organisation());
    double given = 0;
    if (account != null) {
      double spare = account.bucket.level(nowNanos) + ROUNDING - account.queue.size();
      given = Math.max(0, Math.floor(Math.min(request.tokens(), spare)));
      account.bucket.take(given, nowNanos);
    }
    return new GrantAnswer(request.correlationId(), request.organisation(), 0, given);
  }

  /** A holder answers. */
  public List<RateLimitAction> onGrantAnswer(GrantAnswer answer, long nowNanos) {
    List<RateLimitAction> actions = new ArrayList<>();
    Asked ask = asked.remove(answer.correlationId());
    Account account = ask == null ? null : accounts.get(ask.organisation);
    if (account == null) {
      return actions;
    }
    account.asking = false;
    if (answer.tokens() > 0) {
      account.stock.add(answer.tokens(), ask.sentNanos + TOKEN_VALIDITY_NANOS);
      account.fruitless = 0;
    }
    serve(account, nowNanos, actions);
    ask(ask.organisation, account, nowNanos, actions);
    return actions;
  }

  /** Returns the tokens of {@code organisation} usable here. */
  public double level(String organisation, long nowNanos) {
    Account account = accounts.get(organisation);
    return account == null ? 0 : account.bucket.level(nowNanos) + account.stock.level(nowNanos);
  }

  private static boolean tryTake(Account account, long nowNanos) {
    if (account.stock.level(nowNanos) >= 1 - ROUNDING) {
      account.stock.takeOne();
      return true;
    }
    if (account.bucket.level(nowNanos) >= 1 - ROUNDING) {
      account.bucket.take(1, nowNanos);
      return true;
    }
    return false;
  }

  private void serve(Account account, long nowNanos, List<RateLimitAction> actions) {
    while (!account.queue.isEmpty()) {
      Waiting first = account.queue.peekFirst();
      if (tryTake(account, nowNanos)) {
        actions.add(new RateLimitAction.Admit(first.ticket));
      } else if (first.untilNanos - nowNanos <= 0) {
        actions.add(new RateLimitAction.Refuse(first.ticket, retryMs(account)));
      } else {
        return;
      }
      account.queue.removeFirst();
    }
  }

  private void ask(
      String organisation, Account account, long nowNanos, List<RateLimitAction> actions) {
    if (account.asking && nowNanos - account.askedNanos > ANSWER_NANOS) {
      account.asking = false;
    }
    double wanted = wanted(account, nowNanos);
    if (account.asking || account.holders.isEmpty() || wanted < 1) {
      return;
    }
    if (account.askedInRound >= account.holders.size()) {
      account.askedInRound = 0;
      account.nextRoundNanos = nowNanos + (ROUND_NANOS << account.fruitless);
      account.fruitless = Math.min(account.fruitless + 1, MAX_BACKOFF_STEPS);
    }
    if (account.askedInRound == 0 && account.nextRoundNanos - nowNanos > 0) {
      return;
    }
    final String holder = account.holders.get(account.nextHolder++ % account.holders.size());
    account.askedInRound++;
    account.asking = true;
    account.askedNanos = nowNanos;
    long correlation = nextCorrelation++;
    asked.put(correlation, new Asked(organisation, nowNanos));
    actions.add(
        new RateLimitAction.RequestTokens(
            holder, new GrantRequest(correlation, organisation, Math.floor(wanted), List.of())));
  }

  /** What waits, and what is expected soon beyond what is here. */
  private static double wanted(Account account, long nowNanos) {
    if (account.queue.isEmpty() && account.demandPerSecond * AHEAD_SECONDS < 1) {
      return 0;
    }
    // A part of a token admits nothing, so that only whole ones count.
    double here =
        Math.floor(account.stock.level(nowNanos) + ROUNDING)
            + Math.floor(account.bucket.level(nowNanos) + ROUNDING);
    return account.queue.size() + account.demandPerSecond * AHEAD_SECONDS - here;
  }

  private static void rollWindow(Account account, long nowNanos) {
    long passedNanos = nowNanos - account.windowNanos;
    if (passedNanos < DEMAND_WINDOW_NANOS) {
      return;
    }
    double latest = account.arrivals * NANOS_PER_SECOND / passedNanos;
    account.demandPerSecond += SMOOTHING * (latest - account.demandPerSecond);
    account.arrivals = 0;
    account.windowNanos = nowNanos;
  }

  private static long retryMs(Account account) {
    double ahead = account.queue.size() + 1;
    double rate = Math.max(account.limit.ratePerSecond(), 0.001);
    return Math.max(MIN_RETRY_MS, (long) (1_000 * ahead / rate));
  }
}
