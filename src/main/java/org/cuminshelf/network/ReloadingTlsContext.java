package org.cuminshelf.network;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.tinylog.Logger;

/**
 * Mutual TLS for connections between the processes, from three PEM files: the certificate chain and private key of this
 * process, and the certificate authority that must have signed both ends. The files are checked for changes when a
 * connection is made, at most once a second, so renewed certificates take effect for new connections and interrupt no
 * existing one. If changed files cannot be loaded, the last valid ones remain in use.
 */
public final class ReloadingTlsContext {

    private static final String LOG = "tls: ";
    private static final long CHECK_INTERVAL_NANOS = 1_000_000_000L;

    private final Path certificate;
    private final Path key;
    private final Path authority;
    private SslContext server;
    private SslContext client;
    private long fingerprint;
    private long lastCheckNanos;

    private ReloadingTlsContext(Path certificate, Path key, Path authority) {
        this.certificate = certificate;
        this.key = key;
        this.authority = authority;
    }

    /**
     * Loads the files.
     *
     * @param certificate the certificate chain
     * @param key         the private key in PKCS#8
     * @param authority   the certificate of the certificate authority
     * @return the context
     * @throws IOException if a file cannot be read or is not valid PEM
     */
    public static ReloadingTlsContext read(Path certificate, Path key, Path authority) throws IOException {
        ReloadingTlsContext context = new ReloadingTlsContext(certificate, key, authority);
        context.load();
        return context;
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
        if (now - lastCheckNanos < CHECK_INTERVAL_NANOS) {
            return;
        }
        lastCheckNanos = now;
        try {
            if (fingerprint() != fingerprint) {
                load();
                Logger.info(LOG + "Reloaded the certificate files.");
            }
        } catch (IOException e) {
            Logger.warn(
                    LOG + "Failed to load the changed certificate files; keeping the previous ones: {}.",
                    e.getMessage());
        }
    }

    private void load() throws IOException {
        for (Path file : java.util.List.of(certificate, key, authority)) {
            if (!Files.isReadable(file)) {
                throw new IOException(file + ": cannot be read; specify a readable PEM file");
            }
        }
        long newFingerprint = fingerprint();
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
            fingerprint = newFingerprint;
        } catch (IllegalArgumentException e) {
            throw new IOException(
                    certificate + " and " + key + ": not a PEM certificate and its PKCS#8 private key: "
                            + e.getMessage(),
                    e);
        }
    }

    private long fingerprint() throws IOException {
        return Files.getLastModifiedTime(certificate).toMillis() * 31
                + Files.getLastModifiedTime(key).toMillis() * 17
                + Files.getLastModifiedTime(authority).toMillis();
    }
}
