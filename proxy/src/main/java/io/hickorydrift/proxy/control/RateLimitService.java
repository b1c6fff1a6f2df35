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
 * Admits requests against the organisations' rate limits and exchanges tokens with peers, on a
 * worker thread of its own.
 *
 * <p>Thread safety: public methods may be called from any thread; state is confined to the worker.
 */
public final class RateLimitService implements AutoCloseable {
  private static final int QUEUE_CAPACITY = 32_768;
  private static final long TICK_INTERVAL_MS = 5;
  private static final long QUEUE_FULL_RETRY_MS = 50;

  /** Receives the decision on a request. Called on the worker thread; must not block. */
  public interface AdmissionListener {
    /** The request is admitted. */
    void admitted();

    /** The request is refused for {@code cause}; it may be retried after {@code retryAfterMs}. */
    void refused(RateLimitAction.Cause cause, long retryAfterMs);
  }

  private final Worker worker;
  private final SlotRateLimiter limiter;
  private final PeerNetwork peers;
  private final Map<Long, AdmissionListener> pendingListeners = new HashMap<>();
  private long nextTicket = 1;

  /** Starts the worker. */
  public RateLimitService(
      String instance, LimitSettings settings, PeerNetwork peers, TimerService timer) {
    worker = new Worker("allowance-" + instance, QUEUE_CAPACITY);
    limiter = new SlotRateLimiter(settings);
    this.peers = peers;
    timer.subscribe(worker, TICK_INTERVAL_MS, nowNanos -> perform(limiter.tick(nowNanos)));
  }

  /** Requests admission of one request of {@code organisation}. */
  public void acquire(String organisation, AdmissionListener listener) {
    boolean queued =
        worker.offer(
            () -> {
              long ticket = nextTicket++;
              pendingListeners.put(ticket, listener);
              perform(limiter.acquire(organisation, ticket, System.nanoTime()));
            });
    if (!queued) {
      listener.refused(RateLimitAction.Cause.RATE_EXCEEDED, QUEUE_FULL_RETRY_MS);
    }
  }

  /** Sets the rate limits of all organisations. */
  public void setLimits(Settings settings) {
    Map<String, RateLimit> limits = new HashMap<>();
    for (Organisation organisation : settings.organisations().values()) {
      limits.put(organisation.name(), organisation.limit());
    }
    worker.submit(() -> limiter.setLimits(limits, System.nanoTime()));
  }

  /** Sets this instance's share of all limits and the peers that may be asked for tokens. */
  public void setShare(SlotShare share, List<String> livePeers) {
    worker.submit(
        () -> {
          limiter.setShare(share, System.nanoTime());
          limiter.setPeers(livePeers);
        });
  }

  /** Handles a request of a peer for tokens. */
  public void onTokenRequest(String peer, GrantRequest request) {
    worker.offer(() -> perform(limiter.onTokenRequest(peer, request, System.nanoTime())));
  }

  /** Handles the answer of a peer to a request for tokens. */
  public void onGrantAnswer(String peer, GrantAnswer answer) {
    worker.offer(() -> perform(limiter.onGrantAnswer(peer, answer, System.nanoTime())));
  }

  @Override
  public void close() {
    worker.close();
  }

  private void perform(List<RateLimitAction> actions) {
    for (RateLimitAction action : actions) {
      if (action instanceof RateLimitAction.Admit admit) {
        pendingListeners.remove(admit.ticket()).admitted();
      } else if (action instanceof RateLimitAction.Refuse refuse) {
        pendingListeners.remove(refuse.ticket()).refused(refuse.cause(), refuse.retryAfterMs());
      } else if (action instanceof RateLimitAction.RequestTokens tokenRequest) {
        peers.send(tokenRequest.peer(), tokenRequest.request());
      } else if (action instanceof RateLimitAction.Grant grant) {
        peers.send(grant.peer(), grant.answer());
      }
    }
  }
}
