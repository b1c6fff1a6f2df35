package io.hickorydrift.proxy.control;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Organisation;
import io.hickorydrift.core.limit.LimitSettings;
import io.hickorydrift.core.limit.RateLimit;
import io.hickorydrift.core.limit.RateLimitAction;
import io.hickorydrift.core.limit.SlotRateLimiter;
import io.hickorydrift.core.limit.SlotShare;
import io.hickorydrift.core.message.GrantAnswer;
import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.proxy.peer.PeerNetwork;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.runtime.Worker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The allowance duty: admits requests against the organisations' rates and trades tokens with
 * peers.
 *
 * <p>Thread safety: public methods may be called from any thread; state belongs to the duty.
 */
public final class RateLimitService implements AutoCloseable {
  private static final int RING_SIZE = 32_768;
  private static final long TICK_MS = 5;
  private static final long RING_FULL_RETRY_MS = 50;

  /** Learns whether a request is admitted. Called on the allowance duty; must not block. */
  public interface AdmissionListener {
    /** The request is admitted. */
    void admitted();

    /** The request is over the rate; it may come back after {@code retryAfterMs}. */
    void refused(long retryAfterMs);
  }

  private final Worker duty;
  private final SlotRateLimiter ledger;
  private final PeerNetwork peers;
  private final Map<Long, AdmissionListener> waiting = new HashMap<>();
  private long nextTicket = 1;

  /** Starts the duty. */
  public RateLimitService(
      String instance, LimitSettings settings, PeerNetwork peers, TimerService timer) {
    duty = new Worker("allowance-" + instance, RING_SIZE);
    ledger = new SlotRateLimiter(settings);
    this.peers = peers;
    timer.subscribe(duty, TICK_MS, nowNanos -> run(ledger.tick(nowNanos)));
  }

  /** Asks for one request of {@code organisation} to be admitted. */
  public void acquire(String organisation, AdmissionListener verdict) {
    boolean taken =
        duty.offer(
            () -> {
              long ticket = nextTicket++;
              waiting.put(ticket, verdict);
              run(ledger.acquire(organisation, ticket, System.nanoTime()));
            });
    if (!taken) {
      verdict.refused(RING_FULL_RETRY_MS);
    }
  }

  /** Brings limits up to date. */
  public void setLimits(Settings settings) {
    Map<String, RateLimit> limits = new HashMap<>();
    for (Organisation organisation : settings.organisations().values()) {
      limits.put(organisation.name(), organisation.limit());
    }
    duty.submit(() -> ledger.setLimits(limits, System.nanoTime()));
  }

  /** Brings this instance's share and the live peers up to date. */
  public void setShare(SlotShare share, List<String> livePeers) {
    duty.submit(
        () -> {
          ledger.setShare(share, System.nanoTime());
          ledger.setPeers(livePeers);
        });
  }

  /** A peer asks for tokens. */
  public void onTokenRequest(String peer, GrantRequest request) {
    duty.offer(() -> run(ledger.onTokenRequest(peer, request, System.nanoTime())));
  }

  /** A peer grants tokens. */
  public void onGrantAnswer(String peer, GrantAnswer answer) {
    duty.offer(() -> run(ledger.onGrantAnswer(peer, answer, System.nanoTime())));
  }

  @Override
  public void close() {
    duty.close();
  }

  private void run(List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit admit) {
        waiting.remove(admit.ticket()).admitted();
      } else if (action instanceof RateLimitAction.Refuse refuse) {
        waiting.remove(refuse.ticket()).refused(refuse.retryAfterMs());
      } else if (action instanceof RateLimitAction.RequestTokens ask) {
        peers.send(ask.peer(), ask.request());
      } else if (action instanceof RateLimitAction.Grant grant) {
        peers.send(grant.peer(), grant.answer());
      }
    }
  }
}
