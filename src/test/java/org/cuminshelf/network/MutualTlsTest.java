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

/** Tests that both ends of a connection need a certificate of the same authority. */
class MutualTlsTest {

    private static final long TIMEOUT_SECONDS = 20;

    /*
     * Guards against a listener that accepts messages from a sender without a certificate, or with one of another
     * authority: anybody on the network could then send an order to a sidecar, which its engine would carry out.
     */
    @Example
    void onlyMessagesFromProcessesOfTheSameAuthorityAreReceived() throws Exception {
        ReloadingTlsContext own = tlsContext("own");
        ReloadingTlsContext otherAuthority = tlsContext("stranger");
        Address address = freeAddress();
        BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
        try (TcpNetwork server = TcpNetwork.open(1, Optional.of(own));
                TcpNetwork unencryptedClient = TcpNetwork.open(1, Optional.empty());
                TcpNetwork otherAuthorityClient = TcpNetwork.open(1, Optional.of(otherAuthority));
                TcpNetwork sameAuthorityClient = TcpNetwork.open(1, Optional.of(own))) {
            server.listen(address, received::add);
            unencryptedClient.send(address, messageNumbered(1), false);
            otherAuthorityClient.send(address, messageNumbered(2), false);
            sameAuthorityClient.send(address, messageNumbered(3), false);
            assertThat(received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                            .getCancel()
                            .getNumber())
                    .isEqualTo(3);
            assertThat(received).isEmpty();
        }
    }

    @Example
    void theErrorForAMissingFileNamesTheFile() {
        Path missing = Path.of("no-such-cert.pem");
        assertThatThrownBy(() -> ReloadingTlsContext.read(missing, missing, missing))
                .hasMessageContaining("no-such-cert.pem");
    }

    private static ReloadingTlsContext tlsContext(String name) throws Exception {
        PemFixture pem = PemFixture.make(Files.createTempDirectory("mesh"), name);
        return ReloadingTlsContext.read(pem.certificate(), pem.key(), pem.certificate());
    }

    private static Envelope messageNumbered(long number) {
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
