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
 * A Jetty server on a loopback address that answers each request on a thread of its own.
 *
 * <p>Thread safety: safe; the responder is called from many threads.
 */
public final class JsonServer implements AutoCloseable {
  /** Maps JSON; unknown fields are passed over. */
  public static final ObjectMapper JSON =
      new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

  private static final int MAX_THREADS = 400;

  /** Answers requests. */
  public interface RequestHandler {
    /** Returns the answer to one request. */
    JsonResponse handle(JsonRequest call) throws Exception;
  }

  /**
   * One request.
   *
   * @param method HTTP method
   * @param path path without the query
   * @param request Jetty's request, for parameters and the connection
   * @param body whole body as text
   */
  public record JsonRequest(String method, String path, Request request, String body) {
    /** Returns a query parameter as a number. */
    public long longParameter(String name, long otherwise) {
      String value = Request.extractQueryParameters(request).getValue(name);
      return value == null ? otherwise : Long.parseLong(value);
    }

    /** Returns the body read as {@code type}. */
    public <T> T readBody(Class<T> type) {
      try {
        return JSON.readValue(body, type);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /**
   * One answer.
   *
   * @param status HTTP status; 0 closes the connection without an answer
   * @param body object written as JSON, or null
   */
  public record JsonResponse(int status, Object body) {}

  private final Server server;
  private final ServerConnector connector;

  /** Prepares a server; port 0 takes any free one. */
  public JsonServer(String host, int port, RequestHandler responder) {
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
            JsonResponse reply =
                responder.handle(new JsonRequest(request.getMethod(), path, request, body));
            send(request, response, reply, callback);
            return true;
          }
        });
  }

  private static void send(
      Request request, Response response, JsonResponse reply, Callback callback)
      throws IOException {
    if (reply.status() == 0) {
      request.getConnectionMetaData().getConnection().getEndPoint().close();
      callback.succeeded();
      return;
    }
    response.setStatus(reply.status());
    response.getHeaders().put("Content-Type", "application/json");
    String text = reply.body() == null ? "" : JSON.writeValueAsString(reply.body());
    Content.Sink.write(response, true, text, callback);
  }

  /** Has {@code listener} told of connections that open and close. */
  public void addConnectionListener(Connection.Listener listener) {
    connector.addBean(listener);
  }

  /** Starts to listen. */
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
