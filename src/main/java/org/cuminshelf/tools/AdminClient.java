package org.cuminshelf.tools;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** Calls the administration interface, trying each control process in turn until one answers. */
public final class AdminClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int PATIENCE_SECONDS = 10;

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param body   the body
     */
    public record Answer(int status, JsonNode body) {}

    private final List<String> addresses;
    private final String key;
    private final HttpClient client;

    private AdminClient(List<String> addresses, String key, HttpClient client) {
        this.addresses = addresses;
        this.key = key;
        this.client = client;
    }

    static void describe(Subparser parser) {
        Flags.add(parser, "admin", "administration interfaces, separated by commas", "http://127.0.0.1:7200");
        Flags.add(parser, "key", "the team's key", "");
        Flags.add(parser, "key-file", "file that holds the team's key", "");
        Flags.add(parser, "admin-ca", "PEM certificate that HTTPS interfaces are signed by", "");
    }

    static AdminClient open(Namespace flags) throws IOException {
        String key = Flags.text(flags, "key");
        if (key.isEmpty() && Flags.path(flags, "key-file").isPresent()) {
            key = Files.readString(Flags.path(flags, "key-file").get()).trim();
        }
        return open(Flags.list(flags, "admin"), key, Flags.path(flags, "admin-ca"));
    }

    /**
     * Makes a client.
     *
     * @param addresses the interfaces, such as {@code http://127.0.0.1:7200}
     * @param key       the team's key, or empty
     * @param authority PEM certificate that HTTPS interfaces are signed by
     * @return the client
     * @throws IOException if it can't be started
     */
    public static AdminClient open(List<String> addresses, String key, java.util.Optional<Path> authority)
            throws IOException {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        if (authority.isPresent()) {
            connector.setSslContextFactory(trust(authority.get()));
        }
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        try {
            client.start();
            client.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new IOException("the HTTP client can't be started: " + e.getMessage(), e);
        }
        return new AdminClient(addresses, key, client);
    }

    private static SslContextFactory.Client trust(Path authority) throws IOException {
        try (java.io.InputStream input = Files.newInputStream(authority)) {
            java.security.KeyStore store = java.security.KeyStore.getInstance("PKCS12");
            store.load(null, null);
            store.setCertificateEntry(
                    "authority",
                    java.security.cert.CertificateFactory.getInstance("X.509").generateCertificate(input));
            SslContextFactory.Client factory = new SslContextFactory.Client();
            factory.setTrustStore(store);
            return factory;
        } catch (java.security.GeneralSecurityException e) {
            throw new IOException(authority + ": not a PEM certificate: " + e.getMessage(), e);
        }
    }

    /**
     * Asks for something.
     *
     * @param path the path below {@code /admin/}
     * @return the answer
     * @throws IOException if no interface answers
     */
    public Answer get(String path) throws IOException {
        return call("GET", path, new byte[0]);
    }

    /**
     * Changes something.
     *
     * @param path the path below {@code /admin/}
     * @param body the body
     * @return the answer
     * @throws IOException if no interface answers
     */
    public Answer post(String path, byte[] body) throws IOException {
        return call("POST", path, body);
    }

    private Answer call(String method, String path, byte[] body) throws IOException {
        StringBuilder failures = new StringBuilder();
        for (String address : addresses) {
            try {
                return call(URI.create(address + "/admin/" + path), method, body);
            } catch (ExecutionException | TimeoutException e) {
                failures.append(' ')
                        .append(address)
                        .append(": ")
                        .append(e.getMessage())
                        .append(';');
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted", e);
            }
        }
        throw new IOException("no administration interface answered:" + failures);
    }

    private Answer call(URI uri, String method, byte[] body)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        Request request = client.newRequest(uri).method(method).timeout(PATIENCE_SECONDS, TimeUnit.SECONDS);
        if (!key.isEmpty()) {
            request.headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + key));
        }
        if (body.length > 0) {
            request.body(new BytesRequestContent("application/json", body));
        }
        ContentResponse response = request.send();
        return new Answer(response.getStatus(), JSON.readTree(response.getContent()));
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            // The command ends; there is nobody to tell.
        }
    }
}
