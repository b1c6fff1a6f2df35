package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Access;
import io.hickorydrift.core.config.Settings.KeyGrant;
import io.hickorydrift.core.config.Settings.Organisation;
import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.core.message.CallerRequest;
import io.hickorydrift.core.message.ForwardAnswer;
import io.hickorydrift.core.message.ForwardRequest;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.session.Session;
import io.hickorydrift.core.session.decoder.SessionDecoder;
import io.hickorydrift.core.session.encoder.SessionEncoder;
import io.hickorydrift.proxy.control.AllowanceService;
import io.hickorydrift.proxy.control.Router;
import io.hickorydrift.proxy.home.TransactionId;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.settings.KeyDigest;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Takes callers' requests: checks key, route and session, asks the allowance, and routes what is
 * admitted to a home.
 *
 * <p>Invariants: the key is checked against the settings in force at each request and goes no
 * further than this class; each request gets exactly one answer. Thread safety: safe.
 */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
  /** Header that carries the session token both ways. */
  public static final String SESSION_HEADER = "Session-Token";

  /** Header that names a write which may not be repeated. */
  public static final String REQUEST_ID_HEADER = "Idempotency-Key";

  private static final String PREFIX = "/v1/";
  private static final String TRANSACTIONS = "/v1/transactions/";
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final int MAX_REQUEST_ID_CHARS = 200;
  private static final long BODY_TIMEOUT_MS = 5_000;
  private static final long MAX_DEADLINE_MS = 60_000;

  private final String instance;
  private final Supplier<Settings> settings;
  private final AllowanceService allowance;
  private final Router router;
  private final SessionEncoder encoder;
  private final SessionDecoder decoder;
  private final Metrics metrics;
  private final AtomicLong underWay = new AtomicLong();
  private final AtomicBoolean stopping = new AtomicBoolean();

  /** Serves callers at {@code instance}. */
  public CallerHandler(
      String instance,
      Supplier<Settings> settings,
      AllowanceService allowance,
      Router router,
      SessionEncoder encoder,
      SessionDecoder decoder,
      Metrics metrics) {
    this.instance = instance;
    this.settings = settings;
    this.allowance = allowance;
    this.router = router;
    this.encoder = encoder;
    this.decoder = decoder;
    this.metrics = metrics;
  }

  /** Returns the number of requests without an answer yet. */
  public long underWay() {
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
      Admission admission = admit(request);
      exchange.admission = admission;
      HttpReplies.body(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS)
          .whenComplete(
              (body, failure) -> {
                if (failure != null) {
                  exchange.refuse(HttpReplies.refusal(failure));
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

  /** Who asks for what; the caller's key is not part of it. */
  private record Admission(
      String organisation,
      HomeOp op,
      String group,
      Route route,
      String transactionId,
      Session session,
      String requestId) {}

  private Admission admit(Request request) {
    if (stopping.get()) {
      throw new ProxyException(ResultCode.STOPPING, null, 100);
    }
    Settings current = settings.get();
    String path = Request.getPathInContext(request);
    boolean post = HttpMethod.POST.is(request.getMethod());
    if (!post || !path.startsWith(PREFIX)) {
      throw new ProxyException(ResultCode.UNKNOWN_ROUTE, null);
    }
    String digest = digest(request);
    KeyGrant grant = digest == null ? null : current.keys().get(digest);
    if (path.startsWith(TRANSACTIONS)) {
      return admitInTransaction(request, path.substring(TRANSACTIONS.length()), grant);
    }
    Route route = current.routes().get(path.substring(PREFIX.length()));
    if (route == null) {
      // Tell strangers nothing about which routes exist.
      throw new ProxyException(
          grant == null ? ResultCode.KEY_REFUSED : ResultCode.UNKNOWN_ROUTE, null);
    }
    String organisation = organisation(current, route, grant);
    return new Admission(
        organisation,
        operation(route.access()),
        route.group(),
        route,
        null,
        session(request, organisation),
        requestId(request));
  }

  private static String digest(Request request) {
    String key = HttpReplies.bearer(request);
    return key == null ? null : KeyDigest.of(key);
  }

  private static String organisation(Settings current, Route route, KeyGrant grant) {
    if (route.openAs() != null) {
      return route.openAs();
    }
    if (grant == null) {
      throw new ProxyException(ResultCode.KEY_REFUSED, null);
    }
    Organisation organisation = current.organisations().get(grant.organisation());
    if (organisation == null || !organisation.team().equals(route.team())) {
      throw new ProxyException(ResultCode.ROUTE_FORBIDDEN, null);
    }
    return organisation.name();
  }

  private Admission admitInTransaction(Request request, String rest, KeyGrant grant) {
    if (grant == null) {
      throw new ProxyException(ResultCode.KEY_REFUSED, null);
    }
    int slash = rest.lastIndexOf('/');
    String id = slash < 0 ? rest : rest.substring(0, slash);
    String verb = slash < 0 ? "" : rest.substring(slash + 1);
    String group = TransactionId.group(id);
    HomeOp op;
    switch (verb) {
      case "statement":
        op = HomeOp.STATEMENT;
        break;
      case "commit":
        op = HomeOp.COMMIT;
        break;
      case "rollback":
        op = HomeOp.ROLLBACK;
        break;
      default:
        throw new ProxyException(ResultCode.UNKNOWN_ROUTE, null);
    }
    if (group.isEmpty()) {
      throw new ProxyException(ResultCode.NO_TRANSACTION, null);
    }
    String organisation = grant.organisation();
    return new Admission(organisation, op, group, null, id, session(request, organisation), null);
  }

  private static HomeOp operation(Access access) {
    switch (access) {
      case READ:
        return HomeOp.READ;
      case WRITE:
        return HomeOp.WRITE;
      default:
        return HomeOp.BEGIN;
    }
  }

  private Session session(Request request, String organisation) {
    String token = request.getHeaders().get(SESSION_HEADER);
    return token == null ? Session.fresh(organisation) : decoder.decode(token, organisation);
  }

  private static String requestId(Request request) {
    String id = request.getHeaders().get(REQUEST_ID_HEADER);
    if (id == null) {
      return UUID.randomUUID().toString();
    }
    if (id.isBlank() || id.length() > MAX_REQUEST_ID_CHARS) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST,
          REQUEST_ID_HEADER + " takes 1 to " + MAX_REQUEST_ID_CHARS + " characters");
    }
    return "caller/" + id;
  }

  private void accept(Admission admission, byte[] body, Exchange exchange) {
    ForwardRequest request;
    try {
      request = forward(admission, body);
    } catch (ProxyException refusal) {
      exchange.refuse(refusal);
      return;
    }
    boolean free = admission.op == HomeOp.COMMIT || admission.op == HomeOp.ROLLBACK;
    if (free) {
      route(request, exchange);
      return;
    }
    allowance.request(
        admission.organisation,
        new AllowanceService.Verdict() {
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

  private static ForwardRequest forward(Admission admission, byte[] body) {
    CallerRequest parsed = parse(body);
    boolean needsSql =
        admission.op == HomeOp.READ
            || admission.op == HomeOp.WRITE
            || admission.op == HomeOp.STATEMENT;
    if (needsSql && (parsed.sql() == null || parsed.sql().isBlank())) {
      throw new ProxyException(ResultCode.MALFORMED_REQUEST, "sql is missing");
    }
    Route route = admission.route;
    long deadlineMs =
        parsed.deadlineMs() != null
            ? parsed.deadlineMs()
            : route == null ? 2_000 : route.deadlineMs();
    long maxAgeMs =
        parsed.maxAgeMs() != null ? parsed.maxAgeMs() : route == null ? -1 : route.maxAgeMs();
    if (deadlineMs < 1 || deadlineMs > MAX_DEADLINE_MS) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST, "deadlineMs takes 1 to " + MAX_DEADLINE_MS);
    }
    return ForwardRequest.builder()
        .organisation(admission.organisation)
        .group(admission.group)
        .op(admission.op)
        .sql(needsSql ? parsed.sql() : null)
        .params(parsed.params() == null ? List.of() : parsed.params())
        .sessionPosition(admission.session.positionIn(admission.group))
        .maxAgeMs(Math.max(-1, maxAgeMs))
        .deadlineMs(deadlineMs)
        .requestId(admission.requestId)
        .transactionId(admission.transactionId)
        .build();
  }

  private static CallerRequest parse(byte[] body) {
    if (body.length == 0) {
      return CallerRequest.builder().build();
    }
    try {
      CallerRequest parsed =
          Json.read(new String(body, StandardCharsets.UTF_8), CallerRequest.class);
      if (parsed != null) {
        return parsed;
      }
    } catch (UncheckedIOException e) {
      // Told below, without the parser's words, which may hold parts of the body.
    }
    throw new ProxyException(ResultCode.MALFORMED_REQUEST, null);
  }

  private final class Exchange {
    private final Response response;
    private final Callback callback;
    private final long arrivedNanos;
    private Admission admission;

    private Exchange(Response response, Callback callback, long arrivedNanos) {
      this.response = response;
      this.callback = callback;
      this.arrivedNanos = arrivedNanos;
    }

    private void refuse(ProxyException refusal) {
      count(refusal.code());
      HttpReplies.refuse(response, refusal, callback);
    }

    private void answer(ForwardAnswer answer) {
      ResultCode code = ResultCode.of(answer.code());
      if (code != ResultCode.OK) {
        refuse(new ProxyException(code, answer.message(), answer.retryAfterMs()));
        return;
      }
      count(code);
      if (admission.op == HomeOp.READ) {
        metrics.read(admission.organisation, answer.targetRole());
      }
      Session session = admission.session.advance(admission.group, answer.position());
      String token = encoder.encode(session);
      response.getHeaders().put(SESSION_HEADER, token);
      HttpReplies.json(response, code.httpStatus(), callerAnswer(answer, code, token), callback);
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
      String organisation = admission == null ? "unknown" : admission.organisation;
      String operation =
          admission == null ? "refused" : admission.op.name().toLowerCase(Locale.ROOT);
      metrics.answered(organisation, operation, code, System.nanoTime() - arrivedNanos);
    }
  }
}
