package org.cuminshelf.network;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tinylog.Logger;

/**
 * The PEM files for connections between the processes: own certificate chain, own key, and the authority that both
 * ends must be signed by. They are looked at again when a connection is made, so that renewed files are taken without
 * cutting any; files that can't be read leave the last good ones in force.
 */
public final class ReloadingTlsContext {

    private static final String LOG = "tls: ";
    private static final long LOOK_AGAIN_NANOS = 1_000_000_000L;

    private final Path certificate;
    private final Path key;
    private final Path authority;
    private SslContext server;
    private SslContext client;
    private long stamp;
    private long lookedAt;

    private ReloadingTlsContext(Path certificate, Path key, Path authority) {
        this.certificate = certificate;
        this.key = key;
        this.authority = authority;
    }

    /**
     * Reads the files.
     *
     * @param certificate the certificate chain
     * @param key         the private key in PKCS#8
     * @param authority   the certificate of the authority
     * @return the files
     * @throws IOException if one can't be read
     */
    public static ReloadingTlsContext read(Path certificate, Path key, Path authority) throws IOException {
        ReloadingTlsContext files = new ReloadingTlsContext(certificate, key, authority);
        files.load();
        return files;
    }

    synchronized SslContext serverContext() {
        reloadIfChanged();
        return server;
    }

    synchronized SslContext clientContext() {
        reloadIfChanged();
        return client;
    }

    private void reloadIfChanged() {
        long now = System.nanoTime();
        if (now - lookedAt < LOOK_AGAIN_NANOS) {
            return;
        }
        lookedAt = now;
        try {
            if (stamp() != stamp) {
                load();
                Logger.info(LOG + "The certificate files were read again.");
            }
        } catch (IOException e) {
            Logger.warn(LOG + "Changed certificate files can't be used; the earlier ones stay: {}.", e.getMessage());
        }
    }

    private void load() throws IOException {
        for (Path file : java.util.List.of(certificate, key, authority)) {
            if (!Files.isReadable(file)) {
                throw new IOException(file + ": can't be read; name a readable PEM file");
            }
        }
        long newStamp = stamp();
        try {
            SslContext newServer = SslContextBuilder.forServer(certificate.toFile(), key.toFile())
                    .trustManager(authority.toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            client = SslContextBuilder.forClient()
                    .keyManager(certificate.toFile(), key.toFile())
                    .trustManager(authority.toFile())
                    .endpointIdentificationAlgorithm(null)
                    .build();
            server = newServer;
            stamp = newStamp;
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    certificate + " and " + key + ": not a PEM certificate with its PKCS#8 key: " + e.getMessage(), e);
        }
    }

    private long stamp() throws IOException {
        return Files.getLastModifiedTime(certificate).toMillis() * 31
                + Files.getLastModifiedTime(key).toMillis() * 17
                + Files.getLastModifiedTime(authority).toMillis();
    }
}
