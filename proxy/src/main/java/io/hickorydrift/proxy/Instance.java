package io.hickorydrift.proxy;

import io.hickorydrift.core.session.TokenMac;
import io.hickorydrift.core.session.decoder.SessionDecoder;
import io.hickorydrift.core.session.encoder.SessionEncoder;
import io.hickorydrift.proxy.control.ControlService;
import io.hickorydrift.proxy.control.InstanceStatus;
import io.hickorydrift.proxy.control.Policy;
import io.hickorydrift.proxy.intake.CallerHandler;
import io.hickorydrift.proxy.intake.OperatorHandler;
import io.hickorydrift.proxy.metrics.Metrics;
import io.hickorydrift.proxy.platform.PlatformClient;
import io.hickorydrift.proxy.runtime.TimerService;
import io.hickorydrift.proxy.settings.InstanceSettings;
import io.hickorydrift.proxy.target.HttpTargetConnector;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/**
 * Lifecycle of one instance: its worker threads, its HTTP listeners, and the order in which they
 * start and stop.
 *
 * <p>Thread safety: safe.
 */
public final class Instance implements AutoCloseable {
  private static final int MAX_CLIENT_THREADS = 24;
  private static final int MAX_SERVER_THREADS = 32;
  private static final int MAX_POOLED_CONNECTIONS_PER_DESTINATION = 16;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long SERVER_IDLE_TIMEOUT_MS = 30_000;
  private static final long STOP_POLL_INTERVAL_MS = 10;
  private static final long SLOT_RELEASE_TIMEOUT_MS = 1_000;

  private final InstanceSettings settings;
  private final Metrics metrics = new Metrics();
  private final TimerService timer = new TimerService();
  private final HttpClient httpClient = new HttpClient();
  private final PlatformClient platform;
  private final ControlService control;
  private final CallerHandler callerHandler;
  private final Server callerServer;
  private final Server operatorServer;
  private volatile boolean stopping;

  /** Creates an instance with the standard policies. */
  public Instance(InstanceSettings settings) {
    this(settings, Policy.STANDARD);
  }

  /** Creates an instance with {@code policy}. */
  public Instance(InstanceSettings settings, Policy policy) {
    this.settings = settings;
    startHttpClient();
    platform = new PlatformClient(httpClient, settings.platformAddress());
    try {
      control =
          new ControlService(
              settings, platform, new HttpTargetConnector(httpClient), policy, timer);
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen for peers on " + settings.peersListen(), e);
    }
    TokenMac mac = new TokenMac(settings.fleetSecret().getBytes(StandardCharsets.UTF_8));
    callerHandler =
        new CallerHandler(
            settings.id(),
            control.config()::settings,
            control.rateLimits(),
            control.router(),
            new SessionEncoder(mac),
            new SessionDecoder(mac),
            metrics);
    callerServer = newServer("callers-" + settings.id(), settings.callersListen(), callerHandler);
    operatorServer =
        newServer(
            "operators-" + settings.id(),
            settings.operatorsListen(),
            new OperatorHandler(
                control.config(),
                settings.operatorCredential(),
                this::status,
                this::ready,
                metrics));
    registerGauges();
  }

  private void startHttpClient() {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_CLIENT_THREADS);
    threads.setName("client-" + settings.id());
    threads.setDaemon(true);
    httpClient.setExecutor(threads);
    httpClient.setConnectTimeout(CONNECT_TIMEOUT_MS);
    httpClient.setMaxConnectionsPerDestination(MAX_POOLED_CONNECTIONS_PER_DESTINATION);
    httpClient.setFollowRedirects(false);
    try {
      httpClient.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the HTTP client", e);
    }
  }

  private static Server newServer(String name, String listenAddress, Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(MAX_SERVER_THREADS);
    threads.setName(name);
    threads.setDaemon(true);
    Server server = new Server(threads);
    ServerConnector connector = new ServerConnector(server, 1, 2);
    int colon = listenAddress.lastIndexOf(':');
    connector.setHost(listenAddress.substring(0, colon));
    connector.setPort(Integer.parseInt(listenAddress.substring(colon + 1)));
    connector.setIdleTimeout(SERVER_IDLE_TIMEOUT_MS);
    server.addConnector(connector);
    server.setHandler(handler);
    return server;
  }

  private void registerGauges() {
    metrics.registerGauge(
        "config_entry",
        "Number of the last configuration entry in force",
        () -> control.config().settings().entry());
    metrics.registerGauge(
        "slot", "Number of the fleet slot that the instance holds, -1 for none", control::slot);
    metrics.registerGauge(
        "store_silent_seconds",
        "Time since the last response of the platform's store, in seconds",
        () -> control.config().nanosSinceStoreResponse() / 1e9);
    metrics.registerGauge(
        "requests_under_way", "Callers' requests in flight", callerHandler::requestsInFlight);
    metrics.registerGauge("platform_calls", "Total calls of the platform", platform::callCount);
    metrics.registerGauge(
        "peer_messages_sent", "Total messages sent to peers", control.peers()::messagesSent);
    metrics.registerGauge(
        "peer_bytes_sent", "Total bytes sent to peers", control.peers()::bytesSent);
    metrics.registerGauge(
        "peer_links_refused",
        "Total links from peers that were refused or closed because of a fault",
        control.peers()::refusedLinks);
  }

  /** Starts the HTTP listeners for callers and operators. */
  public Instance start() {
    try {
      callerServer.start();
      operatorServer.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the HTTP listeners", e);
    }
    Logger.info(
        "event=started instance={} domain={} callers={} operators={} peers={}",
        settings.id(),
        settings.failureDomain(),
        callersAddress(),
        operatorsAddress(),
        peersAddress());
    return this;
  }

  /** Returns the id of the instance. */
  public String id() {
    return settings.id();
  }

  /** Returns host and port of the listener for callers. */
  public String callersAddress() {
    return listenAddress(callerServer);
  }

  /** Returns host and port of the listener for operators. */
  public String operatorsAddress() {
    return listenAddress(operatorServer);
  }

  /** Returns host and port of the listener for peers. */
  public String peersAddress() {
    return control.peers().address();
  }

  /** Returns the control service, for status and tests. */
  public ControlService control() {
    return control;
  }

  /** Returns the metrics. */
  public Metrics metrics() {
    return metrics;
  }

  /**
   * Returns whether settings are in force and no stop has begun; reported by the readiness check.
   */
  public boolean ready() {
    return !stopping && control.config().settings().entry() > 0;
  }

  /** Returns the status as reported to operators. */
  public InstanceStatus status() {
    return control.status(ready());
  }

  /**
   * Shuts down gracefully: reports not ready, but accepts requests until the load balancer has had
   * time to react, then waits for the requests in flight and for refused callers that are still
   * sending. Returns the number of requests that were aborted at the deadline.
   */
  public long stopGracefully() throws InterruptedException {
    stopping = true;
    control.announceLeaving();
    Thread.sleep(settings.stopNoticeMs());
    callerHandler.stopAccepting();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.stopDeadlineMs());
    while ((callerHandler.requestsInFlight() > 0
            || callerHandler.isDiscardingBodies()
            || control.hasForwardedWork())
        && endNanos - System.nanoTime() > 0) {
      Thread.sleep(STOP_POLL_INTERVAL_MS);
    }
    long aborted = callerHandler.requestsInFlight();
    try {
      control.releaseSlot().get(SLOT_RELEASE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Logger.warn("event=slot_not_released reason={}", e.getMessage());
    }
    close();
    Logger.info("event=stopped instance={} aborted={}", settings.id(), aborted);
    return aborted;
  }

  @Override
  public void close() {
    stopping = true;
    try {
      callerServer.stop();
      operatorServer.stop();
      control.close();
      timer.close();
      httpClient.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop the instance", e);
    }
  }

  private static String listenAddress(Server server) {
    ServerConnector connector = (ServerConnector) server.getConnectors()[0];
    return connector.getHost() + ":" + connector.getLocalPort();
  }
}
