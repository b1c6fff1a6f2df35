package io.hickorydrift.proxy.home;

/**
 * Layout of transaction ids: instance, group and a random part, joined by tildes.
 *
 * <p>Thread safety: stateless.
 */
public final class TransactionId {
  private static final char SEPARATOR = '~';

  private TransactionId() {}

  static String of(String instance, String group, String random) {
    return instance + SEPARATOR + group + SEPARATOR + random;
  }

  /** Returns the instance in {@code id}, or an empty string if {@code id} is malformed. */
  public static String instance(String id) {
    int first = id.indexOf(SEPARATOR);
    return first < 0 ? "" : id.substring(0, first);
  }

  /** Returns the group in {@code id}, or an empty string if {@code id} is malformed. */
  public static String group(String id) {
    int first = id.indexOf(SEPARATOR);
    int last = id.lastIndexOf(SEPARATOR);
    return last <= first ? "" : id.substring(first + 1, last);
  }
}
