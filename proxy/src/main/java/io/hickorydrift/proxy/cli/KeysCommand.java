package io.hickorydrift.proxy.cli;

import io.hickorydrift.proxy.settings.KeyDigest;
import java.io.PrintStream;
import java.util.List;

/** Generates a random key and prints it with its digest, as used in settings. */
final class KeysCommand implements Command {
  @Override
  public String name() {
    return "keys";
  }

  @Override
  public String summary() {
    return "generate a key or credential and its digest";
  }

  @Override
  public int run(List<String> arguments, PrintStream out) {
    if (new Options("keys").parse(arguments, out) != null) {
      String key = KeyDigest.newKey();
      out.println("key = " + key);
      out.println("digest = " + KeyDigest.of(key));
    }
    return ExitCode.OK;
  }
}
