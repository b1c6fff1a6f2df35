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
 * One instance: its duties, its listeners, and the order in which they start and stop.
 *
 * <p>Thread safety: safe.
 */
public final class Instance implements AutoCloseable {
  private static final int CLIENT_THREADS = 24;
  private static final int SERVER_THREADS = 32;
  private static final int MAX_PLATFORM_CONNECTIONS = 16;
  private static final long CONNECT_TIMEOUT_MS = 1_000;
  private static final long CALLER_IDLE_MS = 30_000;
  private static final long STOP_POLL_MS = 10;
  private static final long RELEASE_TIMEOUT_MS = 1_000;

  private final InstanceSettings settings;
  private final Metrics metrics = new Metrics();
  private final TimerService timer = new TimerService();
  private final HttpClient client = new HttpClient();
  private final PlatformClient platform;
  private final ControlService control;
  private final CallerHandler callers;
  private final Server callerServer;
  private final Server operatorServer;
  private volatile boolean stopping;

  /** Prepares an instance with the standard policies. */
  public Instance(InstanceSettings settings) {
    this(settings, Policy.STANDARD);
  }

  /** Prepares an instance with {@code policy}. */
  public Instance(InstanceSettings settings, Policy policy) {
    this.settings = settings;
    startClient();
    platform = new PlatformClient(client, settings.platformAddress());
    try {
      control =
          new ControlService(settings, platform, new HttpTargetConnector(client), policy, timer);
    } catch (IOException e) {
      throw new IllegalStateException("cannot listen on " + settings.peersListen(), e);
    }
    TokenMac mac = new TokenMac(settings.fleetSecret().getBytes(StandardCharsets.UTF_8));
    callers =
        new CallerHandler(
            settings.id(),
            control.config()::settings,
            control.rateLimits(),
            control.router(),
            new SessionEncoder(mac),
            new SessionDecoder(mac),
            metrics);
    callerServer = server("callers-" + settings.id(), settings.callersListen(), callers);
    operatorServer =
        server(
            "operators-" + settings.id(),
            settings.operatorsListen(),
            new OperatorHandler(
                control.config(),
                settings.operatorCredential(),
                this::status,
                this::ready,
                metrics));
    addGauges();
  }

  private void startClient() {
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS);
    threads.setName("client-" + settings.id());
    threads.setDaemon(true);
    client.setExecutor(threads);
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    client.setMaxConnectionsPerDestination(MAX_PLATFORM_CONNECTIONS);
    client.setFollowRedirects(false);
    try {
      client.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot start the HTTP client", e);
    }
  }

  private static Server server(String name, String listen, Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(SERVER_THREADS);
    threads.setName(name);
    threads.setDaemon(true);
    Server server = new Server(threads);
    ServerConnector connector = new ServerConnector(server, 1, 2);
    int colon = listen.lastIndexOf(':');
    connector.setHost(listen.substring(0, colon));
    connector.setPort(Integer.parseInt(listen.substring(colon + 1)));
    connector.setIdleTimeout(CALLER_IDLE_MS);
    server.addConnector(connector);
    server.setHandler(handler);
    return server;
  }

  private void addGauges() {
    metrics.registerGauge(
        "config_entry",
        "Last configuration entry in force",
        () -> control.config().settings().entry());
    metrics.registerGauge("slot", "Fleet-wide number of the slot, -1 for none", control::slot);
    metrics.registerGauge(
        "store_silent_seconds",
        "How long the platform's store has not answered",
        () -> control.config().nanosSinceStoreResponse() / 1e9);
    metrics.registerGauge(
        "requests_under_way", "Callers' requests without an answer yet", callers::requestsInFlight);
    metrics.registerGauge("platform_calls", "Calls of the platform so far", platform::callCount);
    metrics.registerGauge(
        "peer_messages_sent", "Messages sent to peers so far", control.peers()::messagesSent);
    metrics.registerGauge(
        "peer_bytes_sent", "Bytes sent to peers so far", control.peers()::bytesSent);
    metrics.registerGauge(
        "peer_links_refused",
        "Links from peers refused or ended for a fault so far",
        control.peers()::refusedLinks);
  }

  /** Starts to listen. */
  public Instance start() {
    try {
      callerServer.start();
      operatorServer.start();
    } catch (Exception e) {
      throw new IllegalStateException("cannot listen", e);
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

  /** Returns host and port for callers. */
  public String callersAddress() {
    return address(callerServer);
  }

  /** Returns host and port for operators. */
  public String operatorsAddress() {
    return address(operatorServer);
  }

  /** Returns host and port for links from peers. */
  public String peersAddress() {
    return control.peers().address();
  }

  /** Returns the parts that decide, for status and tests. */
  public ControlService control() {
    return control;
  }

  /** Returns the metrics. */
  public Metrics metrics() {
    return metrics;
  }

  /** Returns whether callers' requests are taken: settings are in force and no stop has begun. */
  public boolean ready() {
    return !stopping && control.config().settings().entry() > 0;
  }

  /** Returns what operators see. */
  public InstanceStatus status() {
    return control.status(ready());
  }

  /**
   * Stops without cutting requests: no longer ready, still accepting until the balancer has had
   * time to notice, then waiting for what runs. Returns how many requests were cut at the deadline.
   */
  public long stopGracefully() throws InterruptedException {
    stopping = true;
    control.announceLeaving();
    Thread.sleep(settings.stopNoticeMs());
    callers.stopAccepting();
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.stopDeadlineMs());
    while ((callers.requestsInFlight() > 0 || control.hasForwardedWork())
        && endNanos - System.nanoTime() > 0) {
      Thread.sleep(STOP_POLL_MS);
    }
    long cut = callers.requestsInFlight();
    try {
      control.releaseSlot().get(RELEASE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      Logger.warn("event=slot_not_released reason={}", e.getMessage());
    }
    close();
    Logger.info("event=stopped instance={} cut={}", settings.id(), cut);
    return cut;
  }

  @Override
  public void close() {
    stopping = true;
    try {
      callerServer.stop();
      operatorServer.stop();
      control.close();
      timer.close();
      client.stop();
    } catch (Exception e) {
      throw new IllegalStateException("cannot stop", e);
    }
  }

  private static String address(Server server) {
    ServerConnector connector = (ServerConnector) server.getConnectors()[0];
    return connector.getHost() + ":" + connector.getLocalPort();
  }
}
