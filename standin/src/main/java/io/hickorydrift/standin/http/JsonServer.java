package io.hickorydrift.standin.http;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Jetty server on a loopback address that handles each request on its own thread.
 *
 * <p>Thread safety: safe; the handler is called from many threads.
 */
public final class JsonServer implements AutoCloseable {
  /** JSON mapper that ignores unknown fields. */
  public static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private static final int MAX_THREADS = 400;

  /** Handles requests. */
  public interface RequestHandler {
    /** Returns the response to a request. */
    JsonResponse handle(JsonRequest call) throws Exception;
  }

  /**
   * HTTP request with its body.
   *
   * @param method HTTP method
   * @param path path without the query
   * @param jettyRequest Jetty's request, for parameters and the connection
   * @param body complete body as text
   */
  public record JsonRequest(String method, String path, Request jettyRequest, String body) {
    /** Returns a query parameter as a number, or {@code defaultValue} if it is absent. */
    public long longParameter(String name, long defaultValue) {
      String value = Request.extractQueryParameters(jettyRequest).getValue(name);
      return value == null ? defaultValue : Long.parseLong(value);
    }

    /** Parses the body as {@code type}. */
    public <T> T readBody(Class<T> type) {
      try {
        return JSON.readValue(body, type);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /**
   * HTTP response.
   *
   * @param status HTTP status; 0 closes the connection without a response
   * @param body object written as JSON, or null
   */
  public record JsonResponse(int status, Object body) {}

  private final Server server;
  private final ServerConnector connector;

  /** Creates a server that does not listen yet; port 0 selects any free port. */
  public JsonServer(String host, int port, RequestHandler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS);
    threads.setName("standin");
    threads.setDaemon(true);
    server = new Server(threads);
    connector = new ServerConnector(server, 1, 2);
    connector.setHost(host);
    connector.setPort(port);
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            String body = Content.Source.asString(request);
            String path = Request.getPathInContext(request);
            JsonResponse jsonResponse =
                handler.handle(new JsonRequest(request.getMethod(), path, request, body));
            send(request, response, jsonResponse, callback);
            return true;
          }
        });
  }

  private static void send(
      Request request, Response response, JsonResponse jsonResponse, Callback callback)
      throws IOException {
    if (jsonResponse.status() == 0) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.succeeded();
      return;
    }
    response.setStatus(jsonResponse.status());
    response.getHeaders().put("Content-Type", "application/json");
    String text = jsonResponse.body() == null ? "" : JSON.writeValueAsString(jsonResponse.body());
    Content.Sink.write(response, true, text, callback);
  }

  /** Adds a listener that is notified when connections open and close. */
  public void addConnectionListener(Connection.Listener listener) {
    connector.addBean(listener);
  }

  /** Starts listening. */
  public JsonServer start() {
    try {
      server.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot listen", e);
    }
    return this;
  }

  /** Returns host and port. */
  public String address() {
    return connector.getHost() + ":" + connector.getLocalPort();
  }

  @Override
  public void close() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop", e);
    }
  }
}
