package io.hickorydrift.proxy.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.hickorydrift.core.store.StorePosition;
import io.hickorydrift.proxy.net.EventLoop;
import io.hickorydrift.proxy.net.ManualTime;
import io.hickorydrift.proxy.port.KeyValueStore.Item;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against a line for each member of the fleet at each instance when a fleet starts, and
 * against changes that are not logged.
 */
class FleetChangeLogTest {
  private static final int MEMBERS = 80;

  private final List<String> lines = new ArrayList<>();
  private final FleetMembership fleet =
      new FleetMembership(
          new EventLoop(new ManualTime()),
          new RecordingStore(),
          "gw-0",
          new FleetEntry("127.0.0.1:9", 1, "z"),
          new FleetChangeLog(lines::add));

  private void apply(int member, boolean present) {
    String entry = new FleetEntry("127.0.0.1:" + member, 1, "z").encode();
    byte[] value = present ? entry.getBytes(StandardCharsets.UTF_8) : null;
    fleet.apply(new Item("fleet/gw-" + member, value, member), new StorePosition(0, member));
  }

  private void applySnapshot() {
    fleet.applyTogether(
        () -> {
          for (int i = 1; i <= MEMBERS; i++) {
            apply(i, true);
          }
        });
  }

  @Test
  void snapshotIsLoggedInOneLine() {
    applySnapshot();
    assertThat(lines).containsExactly("event=fleet_changed size=80 changes=80");
  }

  @Test
  void snapshotWithoutChangesIsNotLogged() {
    applySnapshot();
    lines.clear();
    applySnapshot();
    assertThat(lines).isEmpty();
  }

  @Test
  void singleChangesNameTheInstance() {
    apply(1, true);
    apply(2, true);
    apply(1, false);
    assertThat(lines)
        .containsExactly(
            "event=fleet_changed size=1 instance=gw-1",
            "event=fleet_changed size=2 instance=gw-2",
            "event=fleet_changed size=1 instance=gw-1");
  }

  @Test
  void singleChangeOfSnapshotNamesTheInstance() {
    applySnapshot();
    lines.clear();
    fleet.applyTogether(() -> apply(MEMBERS + 1, true));
    assertThat(lines).containsExactly("event=fleet_changed size=81 instance=gw-81");
  }

  @Test
  void membersThatSnapshotLacksAreLogged() {
    applySnapshot();
    lines.clear();
    fleet.applyTogether(() -> fleet.retainMembers(Set.of("fleet/gw-1", "fleet/gw-2")));
    assertThat(lines).containsExactly("event=fleet_changed size=2 changes=78");
  }
}
