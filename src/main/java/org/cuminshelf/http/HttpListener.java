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

/** One listening HTTP or HTTPS port. */
public final class HttpListener implements AutoCloseable {

    private static final String LOG = "http: ";
    private static final int IDLE_MILLIS = 30_000;
    private static final int LARGEST_HEADERS = 16 << 10;
    private static final int FEWEST_THREADS = 4;
    private static final long LOOK_AGAIN_MILLIS = 1_000;

    private final Server server;
    private final ServerConnector connector;
    private final Optional<PemWatch> watch;

    private HttpListener(Server server, ServerConnector connector, Optional<PemWatch> watch) {
        this.server = server;
        this.connector = connector;
        this.watch = watch;
    }

    /**
     * Starts to listen.
     *
     * @param address the address; port 0 takes a free one
     * @param threads most threads
     * @param handler answers requests
     * @param tls     PEM files for HTTPS, or nothing for HTTP
     * @return the listener
     * @throws IOException if the address or the files can't be used
     */
    public static HttpListener start(Address address, int threads, Handler handler, Optional<PemFiles> tls)
            throws IOException {
        QueuedThreadPool pool = new QueuedThreadPool(Math.max(threads, FEWEST_THREADS), FEWEST_THREADS);
        pool.setName("http");
        Server server = new Server(pool);
        HttpConfiguration configuration = new HttpConfiguration();
        configuration.setSendServerVersion(false);
        configuration.setRequestHeaderSize(LARGEST_HEADERS);
        HttpConnectionFactory http = new HttpConnectionFactory(configuration);
        Optional<PemWatch> watch = Optional.empty();
        ServerConnector connector;
        if (tls.isPresent()) {
            PemWatch made = PemWatch.load(tls.get());
            watch = Optional.of(made);
            connector = new ServerConnector(server, 1, 1, made.factory(), http);
        } else {
            connector = new ServerConnector(server, 1, 1, http);
        }
        String value = address.value();
        int colon = value.lastIndexOf(':');
        connector.setHost(value.substring(0, colon));
        connector.setPort(Integer.parseInt(value.substring(colon + 1)));
        connector.setIdleTimeout(IDLE_MILLIS);
        server.addConnector(connector);
        server.setHandler(handler);
        server.setErrorHandler(new ProblemErrors());
        try {
            server.start();
        } catch (Exception e) {
            stopQuietly(server);
            throw new IOException(
                    "can't listen on " + address + ": " + e.getMessage() + "; is another process using it?", e);
        }
        HttpListener listener = new HttpListener(server, connector, watch);
        watch.ifPresent(PemWatch::start);
        return listener;
    }

    /**
     * The port in use.
     *
     * @return the port
     */
    public int port() {
        return connector.getLocalPort();
    }

    @Override
    public void close() {
        watch.ifPresent(PemWatch::close);
        stopQuietly(server);
    }

    private static void stopQuietly(Server server) {
        try {
            server.stop();
        } catch (Exception e) {
            Logger.debug(LOG + "A listener did not stop cleanly: {}.", e.getMessage());
        }
    }

    /** Errors that Jetty itself finds, such as a malformed request, as problem JSON. */
    private static final class ProblemErrors extends ErrorHandler {
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

    /** Looks for renewed PEM files and gives them to Jetty, which uses them for new connections. */
    private static final class PemWatch implements Runnable {

        private final PemFiles files;
        private final SslContextFactory.Server context;
        private final Thread thread = new Thread(this, "pem-watch");
        private long stamp;

        private PemWatch(PemFiles files, SslContextFactory.Server context, long stamp) {
            this.files = files;
            this.context = context;
            this.stamp = stamp;
        }

        private static PemWatch load(PemFiles files) throws IOException {
            SslContextFactory.Server context = new SslContextFactory.Server();
            context.setKeyStore(files.keyStore());
            context.setKeyStorePassword("");
            return new PemWatch(files, context, stamp(files));
        }

        private org.eclipse.jetty.server.SslConnectionFactory factory() {
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
                    Thread.sleep(LOOK_AGAIN_MILLIS);
                    look();
                }
            } catch (InterruptedException end) {
                Thread.currentThread().interrupt();
            }
        }

        private void look() {
            try {
                long found = stamp(files);
                if (found != stamp) {
                    stamp = found;
                    java.security.KeyStore renewed = files.keyStore();
                    context.reload(factory -> factory.setKeyStore(renewed));
                    Logger.info(LOG + "The certificate files were read again.");
                }
            } catch (Exception e) {
                Logger.warn(LOG + "Changed certificate files can't be used; the earlier stay: {}.", e.getMessage());
            }
        }

        private static long stamp(PemFiles files) throws IOException {
            return modified(files.certificate()) * 31 + modified(files.key());
        }

        private static long modified(Path file) throws IOException {
            if (!Files.isReadable(file)) {
                throw new IOException(file + ": can't be read; name a readable PEM file");
            }
            return Files.getLastModifiedTime(file).toMillis();
        }
    }
}
