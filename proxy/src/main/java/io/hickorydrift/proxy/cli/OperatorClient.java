package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.error.ResultCode;
import io.hickorydrift.core.message.CallerAnswer;
import io.hickorydrift.proxy.control.InstanceStatus;
import io.hickorydrift.proxy.intake.OperatorHandler.Accepted;
import io.hickorydrift.proxy.intake.OperatorHandler.Change;
import io.hickorydrift.proxy.intake.OperatorHandler.Subtree;
import io.hickorydrift.proxy.runtime.Json;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * HTTP client of an instance's operator interface.
 *
 * <p>Thread safety: thread-safe.
 */
public final class OperatorClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int HTTP_OK = 200;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(2))
          .build();
  private final String baseUrl;
  private final String credential;

  /**
   * Creates a client of the instance at {@code address}, with a team's {@code credential} or null
   * for none.
   */
  public OperatorClient(String address, String credential) {
    baseUrl = "http://" + address + "/operator/v1/";
    this.credential = credential;
  }

  /** Returns a team's subtree. */
  public Subtree subtree(String team) {
    return Json.read(call("teams/" + team, null), Subtree.class);
  }

  /** Submits a change, and returns the entry at which it was accepted. */
  public Accepted submitChange(String team, Change change) {
    return Json.read(call("teams/" + team, Json.write(change)), Accepted.class);
  }

  /** Returns the instance's status. */
  public InstanceStatus status() {
    return Json.read(call("status", null), InstanceStatus.class);
  }

  private String call(String path, String body) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(baseUrl + path)).timeout(TIMEOUT);
    if (credential != null) {
      request.header("Authorization", "Bearer " + credential);
    }
    if (body != null) {
      request.POST(HttpRequest.BodyPublishers.ofString(body));
    }
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      if (response.statusCode() != HTTP_OK) {
        CallerAnswer refusal = Json.read(response.body(), CallerAnswer.class);
        throw new ProxyException(ResultCode.of(refusal.code()), refusal.message());
      }
      return response.body();
    } catch (IOException e) {
      ResultCode code = body == null ? ResultCode.NO_HOME : ResultCode.SETTINGS_UNKNOWN;
      throw new ProxyException(code, "no response from the instance: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new ProxyException(ResultCode.SETTINGS_UNKNOWN, "interrupted");
    }
  }
}
