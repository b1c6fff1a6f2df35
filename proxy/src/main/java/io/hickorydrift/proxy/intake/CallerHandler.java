package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
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
 * Takes callers' requests: has them checked, asks the allowance, and routes what is admitted to a
 * home.
 *
 * <p>Invariants: the key is checked against the settings in force at each request; each request
 * gets exactly one answer. Thread safety: safe.
 */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
  /** Header that carries the session token both ways. */
  public static final String SESSION_HEADER = "Session-Token";

  /** Header that names a write which may not be repeated. */
  public static final String REQUEST_ID_HEADER = "Idempotency-Key";

  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long BODY_TIMEOUT_MS = 5_000;
  private static final long STOPPING_RETRY_MS = 100;

  private final String instance;
  private final Supplier<Settings> settings;
  private final RequestAuthorizer gate;
  private final RateLimitService allowance;
  private final Router router;
  private final SessionEncoder encoder;
  private final Metrics metrics;
  private final AtomicLong underWay = new AtomicLong();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Serves callers at {@code instance}. */
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
    gate = new RequestAuthorizer(settings, decoder);
    this.metrics = metrics;
  }

  /** Returns the number of requests without an answer yet. */
  public long requestsInFlight() {
    return underWay.get();
  }

  /** Refuses new requests from now on. */
  public void stopAccepting() {
    stopping.set(true);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    long arrivedNanos = System.nanoTime();
    underWay.incrementAndGet();
    Exchange exchange = new Exchange(response, counted(callback), arrivedNanos);
    try {
      if (stopping.get()) {
        throw new ProxyException(ResultCode.STOPPING, null, STOPPING_RETRY_MS);
      }
      AuthorizedRequest admission = gate.authorize(request);
      exchange.admission = admission;
      HttpMessages.readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS)
          .whenComplete(
              (body, failure) -> {
                if (failure != null) {
                  exchange.refuse(HttpMessages.toProxyException(failure));
                } else {
                  accept(admission, body, exchange);
                }
              });
    } catch (ProxyException refusal) {
      exchange.refuse(refusal);
    }
    return true;
  }

  private Callback counted(Callback callback) {
    return new Callback.Nested(callback) {
      @Override
      public void succeeded() {
        underWay.decrementAndGet();
        super.succeeded();
      }

      @Override
      public void failed(Throwable failure) {
        underWay.decrementAndGet();
        super.failed(failure);
      }
    };
  }

  private void accept(AuthorizedRequest admission, byte[] body, Exchange exchange) {
    ForwardRequest request;
    try {
      request = CallerBodyParser.toForwardRequest(admission, body);
    } catch (ProxyException refusal) {
      exchange.refuse(refusal);
      return;
    }
    boolean free = admission.op() == HomeOp.COMMIT || admission.op() == HomeOp.ROLLBACK;
    if (free) {
      route(request, exchange);
      return;
    }
    allowance.acquire(
        admission.organisation(),
        new RateLimitService.AdmissionListener() {
          @Override
          public void admitted() {
            route(request, exchange);
          }

          @Override
          public void refused(long retryAfterMs) {
            exchange.refuse(new ProxyException(ResultCode.RATE_EXCEEDED, null, retryAfterMs));
          }
        });
  }

  private void route(ForwardRequest request, Exchange exchange) {
    router.route(request, settings.get(), exchange::answer);
  }

  private final class Exchange {
    private final Response response;
    private final Callback callback;
    private final long arrivedNanos;
    private AuthorizedRequest admission;

    private Exchange(Response response, Callback callback, long arrivedNanos) {
      this.response = response;
      this.callback = callback;
      this.arrivedNanos = arrivedNanos;
    }

    private void refuse(ProxyException refusal) {
      count(refusal.code());
      HttpMessages.writeRefusal(response, refusal, callback);
    }

    private void answer(ForwardAnswer answer) {
      ResultCode code = ResultCode.of(answer.code());
      if (code != ResultCode.OK) {
        refuse(new ProxyException(code, answer.message(), answer.retryAfterMs()));
        return;
      }
      count(code);
      if (admission.op() == HomeOp.READ) {
        metrics.recordRead(admission.organisation(), answer.targetRole());
      }
      Session session = admission.session().advance(admission.group(), answer.position());
      String token = encoder.encode(session);
      response.getHeaders().put(SESSION_HEADER, token);
      HttpMessages.writeJson(
          response, code.httpStatus(), callerAnswer(answer, code, token), callback);
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

    private void count(ResultCode code) {
      String organisation = admission == null ? "unknown" : admission.organisation();
      String operation =
          admission == null ? "refused" : admission.op().name().toLowerCase(Locale.ROOT);
      metrics.recordRequest(organisation, operation, code, System.nanoTime() - arrivedNanos);
    }
  }
}
