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

/** The product's own administration interface. */
final class AdminEndpoint implements ControlEndpoint {

    private static final int HTTP_THREADS = 8;

    private final AdminHandler handler;
    private final HttpListener http;

    private AdminEndpoint(AdminHandler handler, HttpListener http) {
        this.handler = handler;
        this.http = http;
    }

    /** Opens the interface at an address, as a control process asks for it. */
    static Opener at(Address address, Optional<PemFiles> tls, Set<String> keys, boolean open) {
        return (core, config, ready, registry) -> {
            AdminHandler handler = new AdminHandler(core, config, keys, open);
            Handler all = new Handler.Sequence(new MonitoringHandler(ready, registry), handler);
            return start(handler, address, all, tls);
        };
    }

    private static AdminEndpoint start(AdminHandler handler, Address address, Handler all, Optional<PemFiles> tls)
            throws IOException {
        return new AdminEndpoint(handler, HttpListener.start(address, HTTP_THREADS, all, tls));
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
