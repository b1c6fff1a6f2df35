package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.Instance;
import io.hickorydrift.proxy.settings.InstanceSettings;
import io.hickorydrift.proxy.settings.InstanceSettingsReader;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import joptsimple.OptionSet;
import org.tinylog.Logger;

/**
 * Runs an instance until SIGTERM or SIGINT; a second one exits without a graceful shutdown. Changed
 * settings take effect at the next start, so that SIGHUP is only logged.
 */
final class ServeCommand implements Command {
  private static final int SECOND_SIGNAL_EXIT_CODE = 130;

  @Override
  public String name() {
    return "serve";
  }

  @Override
  public String summary() {
    return "run an entry instance";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws InterruptedException {
    final ProcessSignals signals = ProcessSignals.install();
    Options options = new Options("serve --settings FILE");
    options.parser().accepts("settings", "The instance's settings").withRequiredArg();
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    if (!parsed.has("settings")) {
      throw new UsageException("--settings is missing");
    }
    InstanceSettings settings =
        InstanceSettingsReader.read(Path.of((String) parsed.valueOf("settings")));
    Instance instance = new Instance(settings).start();
    out.println("callers=" + instance.callersAddress());
    out.println("operators=" + instance.operatorsAddress());
    out.println("peers=" + instance.peersAddress());
    CountDownLatch stopRequested = new CountDownLatch(1);
    signals.attach(listener(stopRequested));
    stopRequested.await();
    return instance.stopGracefully() == 0 ? ExitCode.OK : ExitCode.FAILED;
  }

  private static ProcessSignals.Listener listener(CountDownLatch stopRequested) {
    return new ProcessSignals.Listener() {
      @Override
      public void onStop(String signal) {
        if (stopRequested.getCount() == 0) {
          Logger.warn("event=stopped_at_once signal={}", signal);
          Runtime.getRuntime().halt(SECOND_SIGNAL_EXIT_CODE);
        }
        stopRequested.countDown();
      }

      @Override
      public void onSettingsChanged() {
        Logger.warn("event=settings_not_read reason=\"changes take effect at the next start\"");
      }
    };
  }
}
