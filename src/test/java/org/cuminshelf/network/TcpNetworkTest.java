package org.cuminshelf.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.ChannelOption;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.message.Cancel;
import org.cuminshelf.message.Envelope;

/** Tests messages over real sockets on the loopback interface. */
class TcpNetworkTest {

    private static final long TIMEOUT_SECONDS = 20;

    @Example
    void messagesArriveInOrder() throws Exception {
        Address address = freeAddress();
        BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.empty());
                TcpNetwork client = TcpNetwork.open(1, Optional.empty())) {
            server.listen(address, received::add);
            for (long number = 1; number <= 50; number++) {
                client.send(address, cancel(number), false);
            }
            for (long number = 1; number <= 50; number++) {
                Envelope message = received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
                assertThat(message.getCancel().getNumber()).isEqualTo(number);
            }
        }
    }

    /*
     * Guards against an entry that is not ready for a second after a power cut, because its first connection request
     * was sent to a control process whose VM was not back yet. Retries of the sender must get through soon.
     */
    @Example
    void anUnansweredConnectionRequestIsGivenUpBeforeTheOperatingSystemRepeatsIt() throws Exception {
        long repeatedAfterMillis = 1_000;
        long roundTripBetweenRegionsMillis = 250;
        assertThat((long) TcpNetwork.CONNECT_TIMEOUT_MILLIS)
                .isGreaterThan(roundTripBetweenRegionsMillis)
                .isLessThan(repeatedAfterMillis / 2);
        try (TcpNetwork client = TcpNetwork.open(1, Optional.empty())) {
            OutboundConnection connection = new OutboundConnection(client, freeAddress());
            assertThat(client.bootstrapFor(connection).config().options())
                    .containsEntry(ChannelOption.CONNECT_TIMEOUT_MILLIS, TcpNetwork.CONNECT_TIMEOUT_MILLIS);
        }
    }

    /*
     * Guards against a decoder that skips empty frames. Heartbeats are empty messages; if none is echoed, the sender
     * closes every connection as unresponsive after three seconds, and messages in transit are lost.
     */
    @Example
    void aHeartbeatIsEchoed() throws Exception {
        Address address = freeAddress();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.empty());
                java.net.Socket socket = new java.net.Socket()) {
            server.listen(address, message -> {});
            socket.connect(TcpNetwork.socketAddress(address));
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            socket.getOutputStream().write(new byte[4]);
            assertThat(socket.getInputStream().readNBytes(4)).containsOnly(0);
        }
    }

    /*
     * Guards against a process that no longer receives messages because another program wrote data to its message port
     * that cannot be parsed. Only the connection that carried the data may be closed.
     */
    @Example
    void bytesThatAreNoMessageCloseOnlyTheirOwnConnection() throws Exception {
        Address address = freeAddress();
        BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.empty());
                TcpNetwork client = TcpNetwork.open(1, Optional.empty());
                java.net.Socket unreadable = new java.net.Socket();
                java.net.Socket tooLong = new java.net.Socket()) {
            server.listen(address, received::add);
            for (java.net.Socket socket : new java.net.Socket[] {unreadable, tooLong}) {
                socket.connect(TcpNetwork.socketAddress(address));
                socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            }
            unreadable.getOutputStream().write(new byte[] {0, 0, 0, 3, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF});
            tooLong.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
            assertThat(unreadable.getInputStream().read()).isEqualTo(-1);
            assertThat(tooLong.getInputStream().read()).isEqualTo(-1);
            client.send(address, cancel(7), false);
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .getCancel()
                            .getNumber())
                    .isEqualTo(7);
        }
    }

    @Example
    void theErrorForAPortInUseNamesTheAddress() throws Exception {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
                TcpNetwork network = TcpNetwork.open(1, Optional.empty())) {
            Address address = Address.of("127.0.0.1:" + occupied.getLocalPort());
            assertThatThrownBy(() -> network.listen(address, message -> {}))
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining(address.value())
                    .hasMessageContaining("is another process using it?");
        }
    }

    @Example
    void aMessageWithALocalPortAsItsSenderIsDiscarded() throws Exception {
        Address address = freeAddress();
        BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.empty());
                TcpNetwork client = TcpNetwork.open(1, Optional.empty())) {
            server.listen(address, received::add);
            client.send(
                    address,
                    cancel(1).toBuilder().setFrom(Address.STORAGE.value()).build(),
                    false);
            client.send(address, cancel(2), false);
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .getCancel()
                            .getNumber())
                    .isEqualTo(2);
        }
    }

    /* Guards against a broken connection between two processes whenever one message can't be processed. */
    @Example
    void aMessageThatTheReceiverCannotProcessDoesNotCloseItsConnection() throws Exception {
        Address address = freeAddress();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.empty());
                java.net.Socket socket = new java.net.Socket()) {
            server.listen(address, message -> {
                throw new IllegalStateException("a receiver that fails in this test");
            });
            socket.connect(TcpNetwork.socketAddress(address));
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
            byte[] message = cancel(1).toByteArray();
            socket.getOutputStream().write(new byte[] {0, 0, 0, (byte) message.length});
            socket.getOutputStream().write(message);
            socket.getOutputStream().write(new byte[4]);
            assertThat(socket.getInputStream().readNBytes(4)).hasSize(4).containsOnly(0);
        }
    }

    private static Envelope cancel(long number) {
        return Envelope.newBuilder()
                .setFrom("10.0.0.9:1")
                .setCancel(Cancel.newBuilder().setNumber(number))
                .build();
    }

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return Address.of("127.0.0.1:" + socket.getLocalPort());
        }
    }
}
