package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.gateway.Gateway;
import io.hickorydrift.proxy.gateway.GatewaySettings;
import io.hickorydrift.proxy.gateway.GatewaySettingsReader;
import io.hickorydrift.proxy.gateway.SettingsReloader;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.ServiceLoader;
import joptsimple.OptionSet;

/** Runs an entry instance on a platform, for callers with one session per connection. */
final class GatewayCommand implements Command {
  @Override
  public String name() {
    return "gateway";
  }

  @Override
  public String summary() {
    return "run an entry instance on a platform, for callers with one session per connection";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    final ProcessSignals signals = ProcessSignals.install();
    Options options = new Options("gateway --settings FILE");
    options.parser().accepts("settings", "The instance's settings").withRequiredArg();
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    if (!parsed.has("settings")) {
      throw new UsageException("--settings is missing");
    }
    PlatformAdapter platform =
        ServiceLoader.load(PlatformAdapter.class)
            .findFirst()
            .orElseThrow(() -> new UsageException("no platform adapter in this binary"));
    EventLoop loop = new EventLoop();
    Path file = Path.of((String) parsed.valueOf("settings"));
    String text = readText(file);
    GatewaySettings settings = GatewaySettingsReader.parse(file.toString(), text);
    Gateway gateway = new Gateway(loop, settings, platform);
    gateway.setProcessAgeMs(processAgeMs());
    SettingsReloader reloader = new SettingsReloader(loop, file, text, settings, gateway::apply);
    gateway.start();
    reloader.start();
    signals.attach(listener(loop, gateway, reloader));
    loop.run();
    return ExitCode.OK;
  }

  private static long processAgeMs() {
    Instant now = Instant.now();
    return ProcessHandle.current()
        .info()
        .startInstant()
        .map(start -> Duration.between(start, now).toMillis())
        .orElse(0L);
  }

  private static String readText(Path file) {
    try {
      return Files.readString(file);
    } catch (IOException e) {
      throw new UsageException(file + " cannot be read: " + e);
    }
  }

  private static ProcessSignals.Listener listener(
      EventLoop loop, Gateway gateway, SettingsReloader reloader) {
    return new ProcessSignals.Listener() {
      @Override
      public void onStop(String signal) {
        gateway.stop(loop::stop);
      }

      @Override
      public void onSettingsChanged() {
        loop.post(reloader::onSignal);
      }
    };
  }
}
