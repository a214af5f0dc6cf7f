package org.cuminshelf.network;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.cuminshelf.core.Address;
import org.cuminshelf.http.PemFixture;
import org.cuminshelf.message.Cancel;
import org.cuminshelf.message.Envelope;

/** Both ends of a connection between processes show a certificate of the same authority. */
class MutualTlsTest {

    private static final long PATIENCE_SECONDS = 20;

    /*
     * Somebody on the network sends an order to a sidecar and an engine obeys. Cause: a listener that takes messages
     * from a process without the fleet's certificate, or with one of another authority.
     */
    @Example
    void onlyProcessesOfTheSameAuthorityAreHeard() throws Exception {
        ReloadingTlsContext own = files("own");
        ReloadingTlsContext stranger = files("stranger");
        Address address = freeAddress();
        BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.of(own));
                TcpNetwork plain = TcpNetwork.open(1, Optional.empty());
                TcpNetwork foreign = TcpNetwork.open(1, Optional.of(stranger));
                TcpNetwork peer = TcpNetwork.open(1, Optional.of(own))) {
            server.listen(address, received::add);
            plain.send(address, message(1), false);
            foreign.send(address, message(2), false);
            peer.send(address, message(3), false);
            assertThat(received.poll(PATIENCE_SECONDS, TimeUnit.SECONDS)
                            .getCancel()
                            .getNumber())
                    .isEqualTo(3);
            assertThat(received).isEmpty();
        }
    }

    @Example
    void aMissingFileIsToldByItsName() {
        Path none = Path.of("no-such-cert.pem");
        assertThatThrownBy(() -> ReloadingTlsContext.read(none, none, none)).hasMessageContaining("no-such-cert.pem");
    }

    private static ReloadingTlsContext files(String name) throws Exception {
        PemFixture pem = PemFixture.make(Files.createTempDirectory("mesh"), name);
        return ReloadingTlsContext.read(pem.certificate(), pem.key(), pem.certificate());
    }

    private static Envelope message(long number) {
        return Envelope.newBuilder()
                .setFrom("10.0.0.9:1")
                .setCancel(Cancel.newBuilder().setNumber(number))
                .build();
    }

    private static Address freeAddress() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return Address.of("127.0.0.1:" + socket.getLocalPort());
        }
    }
}
