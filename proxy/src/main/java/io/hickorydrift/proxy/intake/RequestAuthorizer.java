package io.hickorydrift.proxy.intake;

import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.Settings.Access;
import io.hickorydrift.core.config.Settings.KeyGrant;
import io.hickorydrift.core.config.Settings.Organisation;
import io.hickorydrift.core.config.Settings.Route;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.HomeOp;
import io.hickorydrift.core.session.Session;
import io.hickorydrift.core.session.decoder.SessionDecoder;
import io.hickorydrift.proxy.home.TransactionId;
import io.hickorydrift.proxy.settings.KeyDigest;
import java.util.UUID;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.server.Request;

/**
 * Checks a request's key, route, session and request id against the settings in force.
 *
 * <p>Invariant: a caller's key is digested here and goes no further. Thread safety: safe.
 */
final class RequestAuthorizer {
  private static final String PREFIX = "/v1/";
  private static final String TRANSACTIONS = "/v1/transactions/";
  private static final int MAX_REQUEST_ID_CHARS = 200;

  private final Supplier<Settings> settings;
  private final SessionDecoder decoder;

  RequestAuthorizer(Supplier<Settings> settings, SessionDecoder decoder) {
    this.settings = settings;
    this.decoder = decoder;
  }

  /** Returns who asks for what; throws {@link ProxyException} if the request is not admitted. */
  AuthorizedRequest authorize(Request request) {
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
    return new AuthorizedRequest(
        organisation,
        operation(route.access()),
        route.group(),
        route,
        null,
        session(request, organisation),
        requestId(request));
  }

  private static String digest(Request request) {
    String key = HttpMessages.bearerToken(request);
    return key == null ? null : KeyDigest.of(key);
  }

  private static String organisation(Settings current, Route route, KeyGrant grant) {
    if (route.unauthenticatedOrganisation() != null) {
      return route.unauthenticatedOrganisation();
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

  private AuthorizedRequest admitInTransaction(Request request, String rest, KeyGrant grant) {
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
    return new AuthorizedRequest(
        organisation, op, group, null, id, session(request, organisation), null);
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
    String token = request.getHeaders().get(CallerHandler.SESSION_HEADER);
    return token == null ? Session.empty(organisation) : decoder.decode(token, organisation);
  }

  private static String requestId(Request request) {
    String id = request.getHeaders().get(CallerHandler.REQUEST_ID_HEADER);
    if (id == null) {
      return UUID.randomUUID().toString();
    }
    if (id.isBlank() || id.length() > MAX_REQUEST_ID_CHARS) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST,
          CallerHandler.REQUEST_ID_HEADER + " takes 1 to " + MAX_REQUEST_ID_CHARS + " characters");
    }
    return "caller/" + id;
  }
}
