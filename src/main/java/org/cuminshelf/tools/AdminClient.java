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

/** A client of the administration interface, which tries each control process in turn until one responds. */
public final class AdminClient implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int REQUEST_TIMEOUT_SECONDS = 10;

    /**
     * A response of the administration interface.
     *
     * @param status the HTTP status
     * @param body   the JSON body
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
        Flags.add(
                parser, "admin", "URLs of the administration interfaces, separated by commas", "http://127.0.0.1:7200");
        Flags.add(parser, "key", "API key of the team", "");
        Flags.add(parser, "key-file", "file that contains the API key of the team", "");
        Flags.add(
                parser,
                "admin-ca",
                "PEM certificate of the authority that signed the certificates of the HTTPS interfaces",
                "");
    }

    static AdminClient open(Namespace flags) throws IOException {
        String key = Flags.text(flags, "key");
        if (key.isEmpty() && Flags.path(flags, "key-file").isPresent()) {
            key = Files.readString(Flags.path(flags, "key-file").get()).trim();
        }
        return open(Flags.list(flags, "admin"), key, Flags.path(flags, "admin-ca"));
    }

    /**
     * Creates a client.
     *
     * @param addresses base URLs of the interfaces, such as {@code http://127.0.0.1:7200}
     * @param key       API key of the team, or empty to send none
     * @param authority PEM certificate of the authority that signed the certificates of the HTTPS interfaces
     * @return the client
     * @throws IOException if the certificate can't be read or the HTTP client can't be started
     */
    public static AdminClient open(List<String> addresses, String key, java.util.Optional<Path> authority)
            throws IOException {
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        if (authority.isPresent()) {
            connector.setSslContextFactory(createTlsContext(authority.get()));
        }
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        try {
            client.start();
            client.getProtocolHandlers().clear();
        } catch (Exception e) {
            throw new IOException("can't start the HTTP client: " + e.getMessage(), e);
        }
        return new AdminClient(addresses, key, client);
    }

    private static SslContextFactory.Client createTlsContext(Path authority) throws IOException {
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
     * Sends a GET request.
     *
     * @param path the path below {@code /admin/}
     * @return the response, whatever its status
     * @throws IOException if no interface responds
     */
    public Answer get(String path) throws IOException {
        return call("GET", path, new byte[0]);
    }

    /**
     * Sends a POST request.
     *
     * @param path the path below {@code /admin/}
     * @param body the JSON body
     * @return the response, whatever its status
     * @throws IOException if no interface responds
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
        Request request = client.newRequest(uri).method(method).timeout(REQUEST_TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
            // The command is ending, so the failure has no consequence.
        }
    }
}
