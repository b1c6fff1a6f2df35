package io.hickorydrift.proxy.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/**
 * Parses addresses of the form {@code host:port}. The host is a numeric IPv4 address, so that no
 * name lookup is needed.
 *
 * <p>Thread safety: stateless.
 */
public final class Addresses {
  private static final int MAX_PORT = 65_535;
  private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])";
  // Any other text would be looked up as a name.
  private static final Pattern NUMERIC_HOST =
      Pattern.compile(OCTET + "\\." + OCTET + "\\." + OCTET + "\\." + OCTET);

  private Addresses() {}

  /** Parses {@code address}; throws if it is not a numeric IPv4 address and a port. */
  public static InetSocketAddress parse(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    String host = colon < 0 ? "" : address.substring(0, colon);
    if (!NUMERIC_HOST.matcher(host).matches()) {
      throw new IOException("not a numeric IPv4 address: " + address);
    }
    try {
      int port = Integer.parseInt(address.substring(colon + 1));
      if (port <= 0 || port > MAX_PORT) {
        throw new IOException("invalid port: " + address);
      }
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (NumberFormatException e) {
      throw new IOException("invalid port: " + address, e);
    }
  }
}
