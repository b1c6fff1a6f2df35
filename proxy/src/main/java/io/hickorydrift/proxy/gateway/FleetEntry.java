package io.hickorydrift.proxy.gateway;

import io.hickorydrift.proxy.port.KeyValueStore.Item;
import java.nio.charset.StandardCharsets;
import org.tinylog.Logger;

/**
 * Entry by which an instance registers itself in the store.
 *
 * <p>Thread safety: immutable.
 *
 * @param address host and port for peers
 * @param weight relative capacity of the instance as a home or relay
 * @param failureDomain failure domain that the instance runs in
 * @param leaving whether the instance is stopping and only ends the work that it has
 */
record FleetEntry(String address, double weight, String failureDomain, boolean leaving) {
  private static final int FIELD_COUNT = 3;
  private static final String LEAVING_SUFFIX = ",leaving";

  FleetEntry(String address, double weight, String failureDomain) {
    this(address, weight, failureDomain, false);
  }

  /** Decodes an item of the store; returns null if it has been removed or is malformed. */
  static FleetEntry decode(Item item) {
    if (item.value() == null) {
      return null;
    }
    String text = new String(item.value(), StandardCharsets.UTF_8);
    FleetEntry entry = decode(text);
    if (entry == null) {
      Logger.warn(
          (Object)
              LogLine.format("event=fleet_entry_unreadable key={} entry=\"{}\"", item.key(), text));
    }
    return entry;
  }

  /** Decodes an entry; returns null if it is malformed. */
  static FleetEntry decode(String text) {
    String[] fields = text.split(" ", FIELD_COUNT);
    if (fields.length < FIELD_COUNT || fields[0].isEmpty()) {
      return null;
    }
    try {
      boolean leaving = fields[1].endsWith(LEAVING_SUFFIX);
      int weightEnd = fields[1].length() - (leaving ? LEAVING_SUFFIX.length() : 0);
      double weight = Double.parseDouble(fields[1].substring(0, weightEnd));
      return weight >= 0 ? new FleetEntry(fields[0], weight, fields[2], leaving) : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  /** Returns this entry for an instance that is stopping. */
  FleetEntry asLeaving() {
    return new FleetEntry(address, weight, failureDomain, true);
  }

  String encode() {
    return address + " " + weight + (leaving ? LEAVING_SUFFIX : "") + " " + failureDomain;
  }
}
