package io.hickorydrift.proxy.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Settings files are checked whole, and each problem names section, key and what was expected. */
class SettingsFilesTest {
  private static final String GOOD =
      """
      [instance]
      id = a-1
      failure_domain = ikeja
      [listen]
      callers = 127.0.0.1:7001
      operators = 127.0.0.1:7002
      peers = 127.0.0.1:7003
      [platform]
      address = 127.0.0.1:7000
      [fleet]
      secret_file = SECRET
      operator_credential = sha256:DIGEST
      [peers]
      seeds = a-2@127.0.0.1:7103
      [stop]
      notice_ms = 2000
      deadline_ms = 30000
      """;

  @TempDir private Path folder;

  private Path file(String text) throws IOException {
    Path secret = folder.resolve("secret");
    Files.writeString(secret, "a secret that is long enough");
    Path file = folder.resolve("a.ini");
    Files.writeString(
        file, text.replace("SECRET", secret.toString()).replace("DIGEST", "0".repeat(64)));
    return file;
  }

  @Test
  void goodFileIsRead() throws IOException {
    InstanceSettings settings = InstanceSettingsReader.read(file(GOOD));
    assertThat(settings.id()).isEqualTo("a-1");
    assertThat(settings.seeds()).containsEntry("a-2", "127.0.0.1:7103");
    assertThat(settings.stopNoticeMs()).isEqualTo(2_000);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "id = a-1                    | idd = a-1                   | section [instance] key idd",
        "id = a-1                    | id = A 1                    | section [instance] key id",
        "callers = 127.0.0.1:7001    | callers = host:7001         | section [listen] key callers",
        "callers = 127.0.0.1:7001 | callers = 127.0.0.1:99999 | section [listen] key callers",
        "address = 127.0.0.1:7000 | other = 1 | section [platform] key address",
        "[platform]                  | [plattform]                 | section [plattform]",
        "notice_ms = 2000            | notice_ms = 2s              | section [stop] key notice_ms",
        "notice_ms = 2000            | notice_ms = 9999999         | section [stop] key notice_ms",
        "seeds = a-2@127.0.0.1:7103  | seeds = 127.0.0.1:7103      | section [peers] key seeds",
        "sha256:DIGEST               | md5:1                       | key operator_credential",
        "id = a-1                    | id = a-1 \\n id = a-2        | key id stands twice",
        "secret_file = SECRET        | secret_file = /no/such      | key secret_file",
      })
  void problemNamesItsPlace(String from, String to, String place) throws IOException {
    Path file = file(GOOD.replace(from, to.replace("\\n", "\n")));
    assertThatThrownBy(() -> InstanceSettingsReader.read(file))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(place);
  }

  @Test
  void sectionThatStandsTwiceIsProblem() {
    assertThatThrownBy(() -> IniFile.parse("x", "[group a]\nk = 1\n[group a]\nk = 2\n"))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining("[group a] stands twice");
  }

  @Property(tries = 2_000, seed = "20261204")
  void anyTextIsReadOrRefused(@ForAll String text) {
    try {
      assertThat(IniFile.parse("x", text)).isNotNull();
    } catch (SettingsException e) {
      assertThat(e.problems()).isNotEmpty();
    }
  }

  @Test
  void writtenSectionsAreReadBack() {
    SortedMap<String, Map<String, String>> sections = new TreeMap<>();
    sections.put("organisation bakery", Map.of("rate_per_s", "10", "burst", "20"));
    sections.put("key k", Map.of("digest", "sha256:" + "a".repeat(64)));
    assertThat(IniFile.parse("x", IniFile.format(sections))).isEqualTo(sections);
  }
}
