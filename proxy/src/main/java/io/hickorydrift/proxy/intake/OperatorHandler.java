package io.hickorydrift.proxy.intake;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.hickorydrift.core.config.Settings;
import io.hickorydrift.core.config.SettingsReader;
import io.hickorydrift.core.config.Team;
import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.SectionChange;
import io.hickorydrift.proxy.control.ConfigService;
import io.hickorydrift.proxy.control.InstanceStatus;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.runtime.Json;
import io.hickorydrift.proxy.settings.KeyDigest;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles operators' requests: settings of a team's subtree, status, health and metrics.
 *
 * <p>Invariant: a team's credential gives access to that team's subtree only; the credential of the
 * fleet's own team gives access to all subtrees. Thread safety: safe.
 */
public final class OperatorHandler extends Handler.Abstract.NonBlocking {
  private static final String TEAMS_PATH = "/operator/v1/teams/";
  private static final String STATUS_PATH = "/operator/v1/status";
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long BODY_TIMEOUT_MS = 5_000;

  /**
   * Subtree of a team, as returned to operators.
   *
   * @param revision number of the config entry that last changed the subtree
   * @param sections sections of the subtree
   */
  public record Subtree(long revision, SortedMap<String, Map<String, String>> sections) {}

  /**
   * Change requested by an operator.
   *
   * @param baseRevision revision that the change is based on
   * @param changeId id of the change
   * @param changes sections to set or remove
   */
  public record Change(
      long baseRevision,
      String changeId,
      @JsonInclude(JsonInclude.Include.ALWAYS) List<SectionChange> changes) {}

  /**
   * Answer to an accepted change.
   *
   * @param entry number of the config entry of the change
   */
  public record Accepted(long entry) {}

  private final ConfigService config;
  private final String fleetCredential;
  private final Supplier<InstanceStatus> status;
  private final BooleanSupplier ready;
  private final Metrics metrics;

  /** Creates a handler; {@code fleetCredential} is the digest of the fleet team's credential. */
  public OperatorHandler(
      ConfigService config,
      String fleetCredential,
      Supplier<InstanceStatus> status,
      BooleanSupplier ready,
      Metrics metrics) {
    this.config = config;
    this.fleetCredential = fleetCredential;
    this.status = status;
    this.ready = ready;
    this.metrics = metrics;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    RequestBody body = new RequestBody(request, MAX_BODY_BYTES);
    try {
      switch (path) {
        case "/health":
          HttpMessages.writeText(response, HttpStatus.OK_200, "text/plain", "alive\n", callback);
          return true;
        case "/ready":
          answerReady(response, callback);
          return true;
        case "/metrics":
          HttpMessages.writeText(
              response,
              HttpStatus.OK_200,
              "text/plain; version=0.0.4; charset=utf-8",
              metrics.text(),
              callback);
          return true;
        case STATUS_PATH:
          HttpMessages.writeJson(response, HttpStatus.OK_200, status.get(), callback);
          return true;
        default:
          handleTeam(request, body, response, path, callback);
      }
    } catch (ProxyException refusal) {
      refuse(response, refusal, body, callback);
    }
    return true;
  }

  private void answerReady(Response response, Callback callback) {
    boolean isReady = ready.getAsBoolean();
    HttpMessages.writeText(
        response,
        isReady ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503,
        "text/plain",
        isReady ? "ready\n" : "not ready\n",
        callback);
  }

  private static void refuse(
      Response response, ProxyException refusal, RequestBody body, Callback callback) {
    HttpMessages.refuse(response, refusal, body, () -> {}, callback);
  }

  private void handleTeam(
      Request request, RequestBody body, Response response, String path, Callback callback) {
    if (!path.startsWith(TEAMS_PATH)) {
      throw new ProxyException(ResultCode.UNKNOWN_ROUTE, null);
    }
    String name = path.substring(TEAMS_PATH.length());
    requireCredential(request, name);
    if (HttpMethod.GET.is(request.getMethod())) {
      Team team = config.team(name);
      HttpMessages.writeJson(
          response, HttpStatus.OK_200, new Subtree(team.revision(), team.sections()), callback);
      return;
    }
    body.read(BODY_TIMEOUT_MS)
        .thenCompose(bytes -> submitChange(name, bytes))
        .whenComplete(
            (entry, failure) -> {
              if (failure != null) {
                refuse(response, HttpMessages.toProxyException(failure), body, callback);
              } else {
                HttpMessages.writeJson(response, HttpStatus.OK_200, new Accepted(entry), callback);
              }
            });
  }

  private CompletableFuture<Long> submitChange(String team, byte[] body) {
    Change change;
    try {
      change = Json.read(new String(body, StandardCharsets.UTF_8), Change.class);
    } catch (UncheckedIOException e) {
      throw new ProxyException(ResultCode.MALFORMED_REQUEST, null);
    }
    if (change == null || change.changeId() == null || change.changes() == null) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST, "baseRevision, changeId and changes are required");
    }
    return config.submitChange(team, change.baseRevision(), change.changeId(), change.changes());
  }

  private void requireCredential(Request request, String team) {
    String credential = HttpMessages.bearerToken(request);
    String digest = credential == null ? null : KeyDigest.of(credential);
    Settings settings = config.settings();
    boolean matchesFleet = KeyDigest.constantTimeEquals(digest, fleetCredential);
    boolean matchesTeam =
        !team.equals(SettingsReader.FLEET_TEAM)
            && KeyDigest.constantTimeEquals(digest, settings.teamCredentials().get(team));
    if (!matchesFleet && !matchesTeam) {
      throw new ProxyException(ResultCode.OPERATOR_REFUSED, null);
    }
  }
}
