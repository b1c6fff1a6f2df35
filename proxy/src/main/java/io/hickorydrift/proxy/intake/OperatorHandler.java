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
 * Serves operators: settings of their team's subtree, status, health and metrics.
 *
 * <p>Invariant: a credential reaches one team's subtree, that of the fleet's own team all. Thread
 * safety: safe.
 */
public final class OperatorHandler extends Handler.Abstract.NonBlocking {
  private static final String TEAMS = "/operator/v1/teams/";
  private static final String STATUS = "/operator/v1/status";
  private static final int MAX_BODY_BYTES = 1024 * 1024;
  private static final long BODY_TIMEOUT_MS = 5_000;

  /**
   * A team's subtree as operators see it.
   *
   * @param revision entry that last changed it
   * @param sections its sections
   */
  public record Subtree(long revision, SortedMap<String, Map<String, String>> sections) {}

  /**
   * A change that an operator asks for.
   *
   * @param baseRevision revision that the change was made on
   * @param changeId id of the change
   * @param changes sections set or removed
   */
  public record Change(
      long baseRevision,
      String changeId,
      @JsonInclude(JsonInclude.Include.ALWAYS) List<SectionChange> changes) {}

  /**
   * Tells that a change was accepted.
   *
   * @param entry its number
   */
  public record Accepted(long entry) {}

  private final ConfigService config;
  private final String fleetCredential;
  private final Supplier<InstanceStatus> status;
  private final BooleanSupplier ready;
  private final Metrics metrics;

  /** Serves operators; {@code fleetCredential} is the digest of the fleet team's credential. */
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
        case STATUS:
          HttpMessages.writeJson(response, HttpStatus.OK_200, status.get(), callback);
          return true;
        default:
          team(request, response, path, callback);
      }
    } catch (ProxyException refusal) {
      HttpMessages.writeRefusal(response, refusal, callback);
    }
    return true;
  }

  private void answerReady(Response response, Callback callback) {
    boolean now = ready.getAsBoolean();
    HttpMessages.writeText(
        response,
        now ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503,
        "text/plain",
        now ? "ready\n" : "not ready\n",
        callback);
  }

  private void team(Request request, Response response, String path, Callback callback) {
    if (!path.startsWith(TEAMS)) {
      throw new ProxyException(ResultCode.UNKNOWN_ROUTE, null);
    }
    String name = path.substring(TEAMS.length());
    checkCredential(request, name);
    if (HttpMethod.GET.is(request.getMethod())) {
      Team team = config.team(name);
      HttpMessages.writeJson(
          response, HttpStatus.OK_200, new Subtree(team.revision(), team.sections()), callback);
      return;
    }
    HttpMessages.readBody(request, MAX_BODY_BYTES, BODY_TIMEOUT_MS)
        .thenCompose(body -> change(name, body))
        .whenComplete(
            (entry, failure) -> {
              if (failure != null) {
                HttpMessages.writeRefusal(
                    response, HttpMessages.toProxyException(failure), callback);
              } else {
                HttpMessages.writeJson(response, HttpStatus.OK_200, new Accepted(entry), callback);
              }
            });
  }

  private CompletableFuture<Long> change(String team, byte[] body) {
    Change change;
    try {
      change = Json.read(new String(body, StandardCharsets.UTF_8), Change.class);
    } catch (UncheckedIOException e) {
      throw new ProxyException(ResultCode.MALFORMED_REQUEST, null);
    }
    if (change == null || change.changeId() == null || change.changes() == null) {
      throw new ProxyException(
          ResultCode.MALFORMED_REQUEST, "baseRevision, changeId and changes are needed");
    }
    return config.submitChange(team, change.baseRevision(), change.changeId(), change.changes());
  }

  private void checkCredential(Request request, String team) {
    String credential = HttpMessages.bearerToken(request);
    String digest = credential == null ? null : KeyDigest.of(credential);
    Settings settings = config.settings();
    boolean fleet = KeyDigest.constantTimeEquals(digest, fleetCredential);
    boolean own =
        !team.equals(SettingsReader.FLEET_TEAM)
            && KeyDigest.constantTimeEquals(digest, settings.teamCredentials().get(team));
    if (!fleet && !own) {
      throw new ProxyException(ResultCode.OPERATOR_REFUSED, null);
    }
  }
}
