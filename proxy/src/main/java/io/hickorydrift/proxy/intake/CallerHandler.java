package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.limit.RateLimitAction;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.session.Session;
import io.hickorydrift.core.session.decoder.SessionDecoder;
import io.hickorydrift.core.session.encoder.SessionEncoder;
import io.hickorydrift.proxy.control.RateLimitService;
import io.hickorydrift.proxy.control.Router;
import io.hickorydrift.proxy.metrics.Metrics;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles callers' requests: authorizes them, applies the organisation's rate limit and routes
 * admitted requests to a home.
 *
 * <p>Invariants: each request's key is checked against the settings that are current at that time;
 * each request gets exactly one answer. Thread safety: safe.
 */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
  /** Header of the session token, in requests and responses. */
  public static final String SESSION_HEADER = "Session-Token";

  /** Header that identifies a write, so that it is executed at most once. */
  public static final String REQUEST_ID_HEADER = "Idempotency-Key";

  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long BODY_TIMEOUT_MS = 5_000;
  private static final long STOPPING_RETRY_AFTER_MS = 100;
  private static final String NO_HOLDER_REACHED =
      "no instance that holds a share of the organisation's rate limit answers";

  private final String instance;
  private final Supplier<Settings> settings;
  private final RequestAuthorizer authorizer;
  private final RateLimitService allowance;
  private final Router router;
  private final SessionEncoder encoder;
  private final Metrics metrics;
  private final AtomicLong requestsInFlight = new AtomicLong();
  private final AtomicLong bodiesInDiscard = new AtomicLong();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Creates a handler for the callers of {@code instance}. */
  public CallerHandler(
      String instance,
      Supplier<Settings> settings,
      RateLimitService allowance,
      Router router,
      SessionEncoder encoder,
      SessionDecoder decoder,
      Metrics metrics) {
    this.instance = instance;
    this.settings = settings;
    this.allowance = allowance;
    this.router = router;
    this.encoder = encoder;
    authorizer = new RequestAuthorizer(settings, decoder);
    this.metrics = metrics;
  }

  /** Returns the number of requests that have not been answered yet. */
  public long requestsInFlight() {
    return requestsInFlight.get();
  }

  /**
   * Returns whether refused callers may still be sending. They may lose their answers if their
   * connections are closed now.
   */
  public boolean isDiscardingBodies() {
    return bodiesInDiscard.get() > 0;
  }

  /** Refuses all requests that arrive after this call. */
  public void stopAccepting() {
    stopping.set(true);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long arrivedNanos = System.nanoTime();
    requestsInFlight.incrementAndGet();
    RequestBody requestBody = new RequestBody(request, MAX_BODY_BYTES);
    Exchange exchange = new Exchange(response, requestBody, callback, arrivedNanos);
    try {
      if (stopping.get()) {
        throw new ProxyException(ResultCode.STOPPING, null, STOPPING_RETRY_AFTER_MS);
      }
      AuthorizedRequest authorized = authorizer.authorize(request);
      exchange.authorized = authorized;
      requestBody
          .read(BODY_TIMEOUT_MS)
          .whenComplete(
              (body, failure) -> {
                if (failure != null) {
                  exchange.refuse(HttpMessages.toProxyException(failure));
                } else {
                  rateLimitAndRoute(authorized, body, exchange);
                }
              });
    } catch (ProxyException refusal) {
      exchange.refuse(refusal);
    }
    return true;
  }

  private void rateLimitAndRoute(AuthorizedRequest authorized, byte[] body, Exchange exchange) {
    ForwardRequest request;
    try {
      request = CallerBodyParser.toForwardRequest(authorized, body);
    } catch (ProxyException refusal) {
      exchange.refuse(refusal);
      return;
    }
    boolean exemptFromRateLimit =
        authorized.op() == HomeOp.COMMIT || authorized.op() == HomeOp.ROLLBACK;
    if (exemptFromRateLimit) {
      route(request, exchange);
      return;
    }
    allowance.acquire(
        authorized.organisation(),
        new RateLimitService.AdmissionListener() {
          @Override
          public void admitted() {
            route(request, exchange);
          }

          @Override
          public void refused(RateLimitAction.Cause cause, long retryAfterMs) {
            exchange.refuse(toRefusal(cause, retryAfterMs));
          }
        });
  }

  private static ProxyException toRefusal(RateLimitAction.Cause cause, long retryAfterMs) {
    return cause == RateLimitAction.Cause.NO_HOLDER_REACHED
        ? new ProxyException(ResultCode.OVERLOADED, NO_HOLDER_REACHED, retryAfterMs)
        : new ProxyException(ResultCode.RATE_EXCEEDED, null, retryAfterMs);
  }

  private void route(ForwardRequest request, Exchange exchange) {
    router.route(request, settings.get(), exchange::respond);
  }

  private final class Exchange {
    private final Response response;
    private final RequestBody requestBody;
    private final Callback callback;
    private final long arrivedNanos;
    private AuthorizedRequest authorized;

    private Exchange(
        Response response, RequestBody requestBody, Callback callback, long arrivedNanos) {
      this.response = response;
      this.requestBody = requestBody;
      this.callback = callback;
      this.arrivedNanos = arrivedNanos;
    }

    private void refuse(ProxyException refusal) {
      recordRequest(refusal.code());
      bodiesInDiscard.incrementAndGet();
      HttpMessages.refuse(
          response,
          refusal,
          requestBody,
          requestsInFlight::decrementAndGet,
          Callback.from(callback, bodiesInDiscard::decrementAndGet));
    }

    private void respond(ForwardAnswer answer) {
      ResultCode code = ResultCode.of(answer.code());
      if (code != ResultCode.OK) {
        refuse(new ProxyException(code, answer.message(), answer.retryAfterMs()));
        return;
      }
      recordRequest(code);
      if (authorized.op() == HomeOp.READ) {
        metrics.recordRead(authorized.organisation(), answer.targetRole());
      }
      Session session = authorized.session().advance(authorized.group(), answer.position());
      String token = encoder.encode(session);
      response.getHeaders().put(SESSION_HEADER, token);
      HttpMessages.writeJson(
          response,
          code.httpStatus(),
          callerAnswer(answer, code, token),
          Callback.from(callback, requestsInFlight::decrementAndGet));
    }

    private CallerAnswer callerAnswer(ForwardAnswer answer, ResultCode code, String token) {
      return CallerAnswer.builder()
          .code(code.number())
          .name(code.name())
          .columns(answer.columns())
          .rows(answer.rows())
          .updateCount(answer.updateCount())
          .session(token)
          .transaction(answer.transactionId())
          .instance(instance)
          .target(answer.target())
          .targetRole(answer.targetRole())
          .servedAt(answer.servedAt())
          .ageMs(answer.ageMs() < 0 ? null : answer.ageMs())
          .duplicate(answer.duplicate())
          .build();
    }

    private void recordRequest(ResultCode code) {
      String organisation = authorized == null ? "unknown" : authorized.organisation();
      String operation =
          authorized == null ? "refused" : authorized.op().name().toLowerCase(Locale.ROOT);
      metrics.recordRequest(organisation, operation, code, System.nanoTime() - arrivedNanos);
    }
  }
}
