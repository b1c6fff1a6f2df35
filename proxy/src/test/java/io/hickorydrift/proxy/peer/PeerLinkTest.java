package io.hickorydrift.proxy.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.hickorydrift.core.message.GrantRequest;
import io.hickorydrift.core.message.Heartbeat;
import io.hickorydrift.core.message.PrimaryNotice;
import io.hickorydrift.core.session.TokenMac;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Peer frames: what is not the fleet's own is refused, whatever the bytes. */
class PeerLinkTest {
  private static final TokenMac FLEET = new TokenMac("the fleet's secret".getBytes());

  private record Collector(BlockingQueue<Record> messages) implements PeerListener {
    @Override
    public void onMessage(String peer, Record message) {
      messages.add(message);
    }

    @Override
    public void onLinkClosed(String peer) {
      messages.clear();
    }
  }

  @Property(tries = 2_000, seed = "20261204")
  void anyBytesAreDecodedOrRefused(@ForAll byte[] bytes) {
    try {
      assertThat(MessagePackCodec.decode(bytes)).isNotNull();
    } catch (PeerException e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }

  @Property(tries = 1_000, seed = "20261204")
  void damagedMessagesAreDecodedOrRefused(
      @ForAll @Size(max = 4) List<Byte> damage, @ForAll int at) {
    byte[] bytes = MessagePackCodec.encode(new GrantRequest(7, "o", 1.5, List.of(1L, 2L)));
    for (int i = 0; i < damage.size(); i++) {
      bytes[Math.floorMod(at + i, bytes.length)] = damage.get(i);
    }
    anyBytesAreDecodedOrRefused(bytes);
  }

  @Property(tries = 300, seed = "20261204")
  void messagesSurviveTheirEncoding(@ForAll long term, @ForAll String name) {
    PrimaryNotice notice = new PrimaryNotice(name, term, name);
    assertThat(MessagePackCodec.decode(MessagePackCodec.encode(notice))).isEqualTo(notice);
  }

  @Property(tries = 300, seed = "20261204")
  void forgedFramesAreRefused(@ForAll @Size(min = 1, max = 64) byte[] payload, @ForAll int at)
      throws IOException {
    byte[] frame = frame(payload);
    frame[Math.floorMod(at, frame.length)] ^= 1;
    FrameChannel reader = reader(frame);
    assertThatThrownBy(reader::read).isInstanceOfAny(PeerException.class, IOException.class);
  }

  @Test
  void repeatedFrameIsRefused() throws IOException {
    byte[] frame = frame(new byte[] {1, 2, 3});
    byte[] twice = Arrays.copyOf(frame, 2 * frame.length);
    System.arraycopy(frame, 0, twice, frame.length, frame.length);
    FrameChannel reader = reader(twice);
    assertThat(reader.read()).containsExactly(1, 2, 3);
    assertThatThrownBy(reader::read).isInstanceOf(PeerException.class);
  }

  @Test
  void oversizedFrameIsRefusedBeforeItIsRead() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new DataOutputStream(bytes).writeInt(Integer.MAX_VALUE);
    FrameChannel reader = reader(bytes.toByteArray());
    assertThatThrownBy(reader::read).isInstanceOf(PeerException.class);
  }

  private static byte[] frame(byte[] payload) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    new FrameChannel(null, new DataOutputStream(bytes), FLEET).write(payload);
    return bytes.toByteArray();
  }

  private static FrameChannel reader(byte[] bytes) {
    return new FrameChannel(new DataInputStream(new ByteArrayInputStream(bytes)), null, FLEET);
  }

  private static PeerNetwork network(String name, TokenMac secret, Collector collector)
      throws IOException {
    PeerNetwork network =
        new PeerNetwork(name, new InetSocketAddress("127.0.0.1", 0), secret, collector);
    network.start();
    return network;
  }

  @Test
  void messagesArriveInOrderAndStrangersAreRefused() throws Exception {
    Collector atB = new Collector(new LinkedBlockingQueue<>());
    Collector atA = new Collector(new LinkedBlockingQueue<>());
    try (PeerNetwork a = network("a", FLEET, atA);
        PeerNetwork b = network("b", FLEET, atB);
        PeerNetwork stranger = network("s", new TokenMac("wrong".getBytes()), atA)) {
      a.setPeers(Map.of("b", b.address()));
      stranger.setPeers(Map.of("b", b.address()));
      for (int i = 0; i < 100; i++) {
        Heartbeat heartbeat = Heartbeat.builder().instance("a").slot(i).build();
        while (!a.send("b", heartbeat)) {
          Thread.onSpinWait();
        }
      }
      for (int i = 0; i < 100; i++) {
        Heartbeat got = (Heartbeat) atB.messages.poll(5, TimeUnit.SECONDS);
        assertThat(got.slot()).isEqualTo(i);
      }
      while (b.refusedLinks() == 0) {
        Thread.onSpinWait();
      }
      assertThat(stranger.isConnected("b")).isFalse();
    }
  }

  @Test
  void garbageOnThePeerPortIsRefused() throws Exception {
    Collector collector = new Collector(new LinkedBlockingQueue<>());
    try (PeerNetwork network = network("a", FLEET, collector)) {
      String address = network.address();
      int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
      try (Socket socket = new Socket("127.0.0.1", port)) {
        socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
        assertThat(socket.getInputStream().read()).isEqualTo(-1);
      }
      assertThat(network.refusedLinks()).isEqualTo(1);
    }
  }
}
