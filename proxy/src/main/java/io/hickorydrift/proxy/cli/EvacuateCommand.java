package io.hickorydrift.proxy.cli;

import io.hickorydrift.core.evacuation.Evacuations;
import io.hickorydrift.proxy.gateway.GatewaySettings;
import io.hickorydrift.proxy.gateway.GatewaySettingsReader;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.port.PlatformAdapter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import joptsimple.OptionSet;

/** Begins, withdraws or lists evacuations of failure domains in the platform's store. */
final class EvacuateCommand implements Command {
  private static final String USAGE =
      "evacuate DOMAIN [--withdraw] --settings FILE | evacuate --list --settings FILE";

  @Override
  public String name() {
    return "evacuate";
  }

  @Override
  public String summary() {
    return "begin, withdraw or list the evacuation of failure domains";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) throws IOException {
    Options options = new Options(USAGE);
    options.parser().accepts("settings", "Settings of an instance").withRequiredArg();
    options.parser().accepts("list", "List the evacuated failure domains");
    options.parser().accepts("withdraw", "Withdraw the evacuation");
    OptionSet parsed = options.parse(arguments, out);
    if (parsed == null) {
      return ExitCode.OK;
    }
    final boolean list = parsed.has("list");
    final boolean withdraw = parsed.has("withdraw");
    List<?> domains = parsed.nonOptionArguments();
    if (domains.size() != (list ? 0 : 1) || list && withdraw) {
      throw new UsageException("exactly one failure domain or --list is required");
    }
    final String domain = list ? "" : domains.get(0).toString();
    if (!list && !Evacuations.isValidName(domain)) {
      throw new UsageException("\"" + domain + "\" cannot be the name of a failure domain");
    }
    if (!parsed.has("settings")) {
      throw new UsageException("--settings is missing");
    }
    EvacuationItems items = open(Path.of((String) parsed.valueOf("settings")));
    if (list) {
      items.list().forEach(each -> out.println("domain=" + each));
    } else if (withdraw) {
      out.printf("domain=%s withdrawn revision=%d%n", domain, items.withdraw(domain));
    } else {
      out.printf("domain=%s evacuated revision=%d%n", domain, items.evacuate(domain));
    }
    return ExitCode.OK;
  }

  private static EvacuationItems open(Path file) throws IOException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new UsageException(file + " cannot be read: " + e);
    }
    GatewaySettings settings = GatewaySettingsReader.parse(file.toString(), text);
    PlatformAdapter platform =
        ServiceLoader.load(PlatformAdapter.class)
            .findFirst()
            .orElseThrow(() -> new UsageException("no platform adapter in this binary"));
    EventLoop loop = new EventLoop();
    return new EvacuationItems(
        loop, platform.store(loop, settings.storeAddress()), platform.evacuationsPrefix());
  }
}
