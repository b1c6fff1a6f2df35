package io.hickorydrift.proxy.gateway;

/**
 * Entry by which an instance registers itself in the store.
 *
 * <p>Thread safety: immutable.
 *
 * @param address host and port for peers
 * @param weight relative capacity of the instance as a home or relay
 * @param failureDomain failure domain that the instance runs in
 */
record FleetEntry(String address, double weight, String failureDomain) {
  private static final int FIELD_COUNT = 3;

  /** Decodes an entry; returns null if it is malformed. */
  static FleetEntry decode(String text) {
    String[] fields = text.split(" ", FIELD_COUNT);
    if (fields.length < FIELD_COUNT || fields[0].isEmpty()) {
      return null;
    }
    try {
      double weight = Double.parseDouble(fields[1]);
      return weight >= 0 ? new FleetEntry(fields[0], weight, fields[2]) : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  String encode() {
    return address + " " + weight + " " + failureDomain;
  }
}
