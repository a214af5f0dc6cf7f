package org.cuminshelf.http;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.cuminshelf.core.Address;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.ssl.SslContextFactory;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.tinylog.Logger;

/** A listening HTTP or HTTPS port. */
public final class HttpListener implements AutoCloseable {

    private static final String LOG = "http: ";
    private static final int IDLE_TIMEOUT_MILLIS = 30_000;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MIN_THREADS = 4;
    private static final long PEM_POLL_MILLIS = 1_000;

    private final Server server;
    private final ServerConnector connector;
    private final Optional<PemReloader> reloader;

    private HttpListener(Server server, ServerConnector connector, Optional<PemReloader> reloader) {
        this.server = server;
        this.connector = connector;
        this.reloader = reloader;
    }

    /**
     * Starts a listener.
     *
     * @param address address to bind; port 0 selects a free port
     * @param threads maximum number of threads
     * @param handler handles the requests
     * @param tls     PEM files for HTTPS, or empty for HTTP
     * @return the running listener
     * @throws IOException if the address can't be bound or the files can't be read
     */
    public static HttpListener start(Address address, int threads, Handler handler, Optional<PemFiles> tls)
            throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(Math.max(threads, MIN_THREADS), MIN_THREADS);
        pool.setName("http");
        Server server = new Server(pool);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setRequestHeaderSize(MAX_HEADER_BYTES);
        HttpConnectionFactory http = new HttpConnectionFactory(configuration);
        Optional<PemReloader> reloader = Optional.empty();
        ServerConnector connector;
        if (tls.isPresent()) {
            PemReloader loaded = PemReloader.load(tls.get());
            reloader = Optional.of(loaded);
            connector = new ServerConnector(server, 1, 1, loaded.connectionFactory(), http);
        } else {
            connector = new ServerConnector(server, 1, 1, http);
        }
        String value = address.value();
        int colon = value.lastIndexOf(':');
        connector.setHost(value.substring(0, colon));
        connector.setPort(Integer.parseInt(value.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_TIMEOUT_MILLIS);
        server.addConnector(connector);
        server.setHandler(handler);
        server.setErrorHandler(new ProblemErrorHandler());
        try {
            server.start();
        } catch (Exception e) {
            stopQuietly(server);
            throw new IOException(
                    "can't listen on " + address + ": " + e.getMessage() + "; is another process using it?", e);
        }
        HttpListener listener = new HttpListener(server, connector, reloader);
        reloader.ifPresent(PemReloader::start);
        return listener;
    }

    /**
     * Returns the port that is bound.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        reloader.ifPresent(PemReloader::close);
        stopQuietly(server);
    }

    private static void stopQuietly(Server server) {
        try {
            server.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "The listener did not stop cleanly: {}.", e.getMessage());
        }
    }

    /** Reports errors that Jetty detects, such as a malformed request, as problem JSON. */
    private static final class ProblemErrorHandler extends ErrorHandler {
        @Override
        public boolean handle(Request request, Response response, Callback callback) {
            int status = response.getStatus() == 0 ? 500 : response.getStatus();
            response.getHeaders().put(HttpHeader.CONNECTION, "close");
            String detail = "The request can't be taken as it is: "
                    + Optional.ofNullable((String) request.getAttribute(ErrorHandler.ERROR_MESSAGE))
                            .orElse("see the status");
            Problem.badRequest(status, detail).write(response, callback);
            return true;
        }
    }

    /** Polls the PEM files for changes and reloads them into Jetty, which uses them for new connections. */
    private static final class PemReloader implements Runnable {

        private final PemFiles files;
        private final SslContextFactory.Server context;
        private final Thread thread = new Thread(this, "pem-watch");
        private long modificationStamp;

        private PemReloader(PemFiles files, SslContextFactory.Server context, long modificationStamp) {
            this.files = files;
            this.context = context;
            this.modificationStamp = modificationStamp;
        }

        private static PemReloader load(PemFiles files) throws IOException {
            SslContextFactory.Server context = new SslContextFactory.Server();
            context.setKeyStore(files.keyStore());
            context.setKeyStorePassword("");
            return new PemReloader(files, context, modificationStamp(files));
        }

        private org.eclipse.jetty.server.SslConnectionFactory connectionFactory() {
            return new org.eclipse.jetty.server.SslConnectionFactory(context, "http/1.1");
        }

        private void start() {
            thread.setDaemon(true);
            thread.start();
        }

        private void close() {
            thread.interrupt();
        }

        @Override
        public void run() {
            try {
                while (true) {
                    Thread.sleep(PEM_POLL_MILLIS);
                    reloadIfChanged();
                }
            } catch (InterruptedException end) {
                Thread.currentThread().interrupt();
            }
        }

        private void reloadIfChanged() {
            try {
                long currentStamp = modificationStamp(files);
                if (currentStamp != modificationStamp) {
                    java.security.KeyStore renewed = files.keyStore();
                    context.reload(factory -> factory.setKeyStore(renewed));
                    // Files that can't be loaded yet are read again, as they may be half written.
                    modificationStamp = currentStamp;
                    Logger.info(LOG + "The certificate files were reloaded.");
                }
            } catch (Exception e) {
                Logger.warn(
                        LOG + "The changed certificate files can't be loaded; the previous ones stay in use: {}.",
                        e.getMessage());
            }
        }

        private static long modificationStamp(PemFiles files) throws IOException {
            return modifiedMillis(files.certificate()) * 31 + modifiedMillis(files.key());
        }

        private static long modifiedMillis(Path file) throws IOException {
            if (!Files.isReadable(file)) {
                throw new IOException(file + ": can't be read; name a readable PEM file");
            }
            return Files.getLastModifiedTime(file).toMillis();
        }
    }
}
