package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.proxy.settings.SettingsException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against settings that are well-formed but would stop an instance from serving. */
class GatewaySettingsReaderTest {
  private static final String VALID =
      """
      [instance]
      id = gw-0
      failure_domain = d1
      [listen]
      callers = 127.0.0.1:1
      readiness = 127.0.0.1:2
      peers = 127.0.0.1:3
      metrics = 127.0.0.1:4
      [platform]
      store = 127.0.0.1:5
      promotion = 127.0.0.1:6
      [bounds]
      key_validity_ms = 5000
      [stop]
      grace_ms = 6000
      [capacity]
      core_share = 0.75
      cores = 1
      link_mbps = 1000
      """;

  @Test
  void validSettingsAreRead() {
    assertThat(GatewaySettingsReader.parse("file", VALID).stopGraceMs()).isEqualTo(6_000);
  }

  @ParameterizedTest
  @CsvSource({
    "grace_ms = 6000, grace_ms = 000, stop] key grace_ms: below 1000",
    "key_validity_ms = 5000, key_validity_ms = 400, bounds] key key_validity_ms: below 1500",
    "grace_ms = 6000, grace_ms = -1, stop] key grace_ms: expected",
    "link_mbps = 1000, , capacity] key link_mbps: expected",
    "id = gw-0, id = gw 0, instance] key id: expected",
  })
  void harmfulSettingsAreRejected(String text, String replacement, String message) {
    String settings = VALID.replace(text, replacement == null ? "" : replacement);
    assertThatThrownBy(() -> GatewaySettingsReader.parse("file", settings))
        .isInstanceOf(SettingsException.class)
        .hasMessageContaining(message);
  }
}
