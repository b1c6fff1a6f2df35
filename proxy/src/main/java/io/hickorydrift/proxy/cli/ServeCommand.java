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
import sun.misc.Signal;

/** Runs an instance until SIGTERM or SIGINT; a second signal exits without a graceful shutdown. */
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
    handleSignals(stopRequested);
    stopRequested.await();
    return instance.stopGracefully() == 0 ? ExitCode.OK : ExitCode.FAILED;
  }

  private static void handleSignals(CountDownLatch stopRequested) {
    for (String name : List.of("TERM", "INT")) {
      Signal.handle(
          new Signal(name),
          signal -> {
            if (stopRequested.getCount() == 0) {
              Logger.warn("event=stopped_at_once signal={}", name);
              Runtime.getRuntime().halt(SECOND_SIGNAL_EXIT_CODE);
            }
            stopRequested.countDown();
          });
    }
  }
}
