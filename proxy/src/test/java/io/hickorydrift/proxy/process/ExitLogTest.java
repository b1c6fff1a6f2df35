package io.hickorydrift.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against processes that end without a line that tells why. */
class ExitLogTest {
  private static final int EXIT_TIMEOUT_S = 10;

  @TempDir private Path folder;

  @Test
  void signalWithoutHandlerIsLoggedAsCauseOfTheExit() throws Exception {
    Path log = folder.resolve("log");
    try (ChildProcess process =
        new ChildProcess(
            ProcessBuilder.Redirect.to(log.toFile()), "address", "standin", "platform")) {
      process.signal("INT");
      process.waitFor(EXIT_TIMEOUT_S);
    }
    assertThat(Files.readString(log)).contains("event=exit cause=signal");
  }
}
