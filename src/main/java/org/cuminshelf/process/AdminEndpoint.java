package org.cuminshelf.process;

import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.cuminshelf.core.Address;
import org.cuminshelf.http.AdminHandler;
import org.cuminshelf.http.HttpListener;
import org.cuminshelf.http.MonitoringHandler;
import org.cuminshelf.http.PemFiles;
import org.cuminshelf.message.Envelope;
import org.eclipse.jetty.server.Handler;

/** The administration interface of the product, served over HTTP or HTTPS. */
final class AdminEndpoint implements ControlEndpoint {

    private static final int HTTP_THREADS = 8;

    private final AdminHandler handler;
    private final HttpListener http;

    private AdminEndpoint(AdminHandler handler, HttpListener http) {
        this.handler = handler;
        this.http = http;
    }

    /**
     * Returns an opener of the administration interface.
     *
     * @param address        the address to listen on; port 0 selects a free port
     * @param tls            PEM files for HTTPS, or empty for HTTP
     * @param keyHashes      SHA-256 hashes of the keys that may operate besides those of the configured teams
     * @param allowAnonymous whether requests without a key may operate
     * @return the opener
     */
    static Opener opener(Address address, Optional<PemFiles> tls, Set<String> keyHashes, boolean allowAnonymous) {
        return (core, config, ready, registry) -> {
            AdminHandler handler = new AdminHandler(core, config, keyHashes, allowAnonymous);
            Handler handlers = new Handler.Sequence(new MonitoringHandler(ready, registry), handler);
            return start(handler, address, handlers, tls);
        };
    }

    private static AdminEndpoint start(AdminHandler handler, Address address, Handler handlers, Optional<PemFiles> tls)
            throws IOException {
        return new AdminEndpoint(handler, HttpListener.start(address, HTTP_THREADS, handlers, tls));
    }

    @Override
    public void deliver(Envelope message) {
        handler.deliver(message);
    }

    @Override
    public int port() {
        return http.port();
    }

    @Override
    public void close() {
        http.close();
    }
}
