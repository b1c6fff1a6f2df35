package io.hickorydrift.core.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.error.ProxyException;
import io.hickorydrift.core.message.Position;
import io.hickorydrift.core.session.decoder.SessionDecoder;
import io.hickorydrift.core.session.encoder.SessionEncoder;
import java.util.Base64;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.StringLength;

/** Checks that session tokens round-trip, and that tokens not issued by the fleet are refused. */
class SessionTokenTest {
  private static final TokenMac MAC = new TokenMac("secret of the fleet".getBytes());
  private final SessionEncoder encoder = new SessionEncoder(MAC);
  private final SessionDecoder decoder = new SessionDecoder(MAC);

  private static Session session(String group, long term, long index) {
    return Session.empty("o").advance(group, new Position(term, index));
  }

  @Property(tries = 500, seed = "20261204")
  void decodedTokenEqualsEncodedSession(
      @ForAll @AlphaChars @StringLength(min = 1, max = 40) String group,
      @ForAll long term,
      @ForAll long index) {
    Session session = session(group, term, index);
    assertThat(decoder.decode(encoder.encode(session), "o")).isEqualTo(session);
  }

  @Property(tries = 2_000, seed = "20261204")
  void arbitraryTextIsRefused(@ForAll String text) {
    assertThatThrownBy(() -> decoder.decode(text, "o")).isInstanceOf(ProxyException.class);
  }

  @Property(tries = 500, seed = "20261204")
  void tokenWithOneFlippedBitIsRefused(@ForAll int bitIndex, @ForAll long index) {
    byte[] bytes = Base64.getUrlDecoder().decode(encoder.encode(session("g", 3, index)));
    int bit = Math.floorMod(bitIndex, bytes.length * 8);
    bytes[bit / 8] ^= (byte) (1 << (bit % 8));
    String forged = Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
    assertThatThrownBy(() -> decoder.decode(forged, "o")).isInstanceOf(ProxyException.class);
  }

  @Property(tries = 200, seed = "20261204")
  void positionsNeverDecrease(@ForAll long index, @ForAll long other) {
    Session once = session("g", 1, index);
    Session twice = once.advance("g", new Position(1, other));
    assertThat(twice.requiredPosition("g").index()).isGreaterThanOrEqualTo(index);
  }
}
