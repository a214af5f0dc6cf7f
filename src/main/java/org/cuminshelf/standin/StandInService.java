package org.cuminshelf.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.cuminshelf.core.Address;
import org.cuminshelf.http.HttpListener;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * A registry that gives numbers to titles: {@code POST /numbers} with a title as its body gives the next number, every
 * time it runs; {@code GET /runs} tells how often each title was given one. A call that ran twice shows there.
 * {@code GET /closed} is answered with status 401 and no challenge.
 */
public final class StandInService extends Handler.Abstract implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Integer> runs = new TreeMap<>();
    private final long delayMillis;
    private HttpListener listener;
    private long nextNumber = 1;

    private StandInService(long delayMillis) {
        this.delayMillis = delayMillis;
    }

    /**
     * Starts a service.
     *
     * @param address     where it listens; port 0 takes a free one
     * @param delayMillis how long it takes to give a number
     * @return the service
     * @throws IOException if the address can't be used
     */
    public static StandInService start(Address address, long delayMillis) throws IOException {
        StandInService service = new StandInService(delayMillis);
        service.listener = HttpListener.start(address, 64, service, Optional.empty());
        return service;
    }

    /**
     * The port in use.
     *
     * @return the port
     */
    public int port() {
        return listener.port();
    }

    /**
     * Tells how often each title was given a number.
     *
     * @return times by title
     */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        if (path.equals("/numbers") && request.getMethod().equals("POST")) {
            String title = Content.Source.asString(request, StandardCharsets.UTF_8);
            long number = assign(title);
            if (delayMillis > 0) {
                Thread.sleep(delayMillis);
            }
            write(
                    response,
                    callback,
                    JSON.createObjectNode().put("title", title).put("number", number));
        } else if (path.equals("/closed")) {
            response.setStatus(401);
            response.write(true, ByteBuffer.wrap("closed".getBytes(StandardCharsets.US_ASCII)), callback);
        } else if (path.equals("/runs")) {
            ObjectNode node = JSON.createObjectNode();
            runs().forEach(node::put);
            write(response, callback, node);
        } else {
            write(
                    response,
                    callback,
                    JSON.createObjectNode().put("service", "registry").put("path", path));
        }
        return true;
    }

    @Override
    public void close() {
        listener.close();
    }

    private synchronized long assign(String title) {
        runs.merge(title, 1, Integer::sum);
        return nextNumber++;
    }

    private static void write(Response response, Callback callback, ObjectNode node) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(node.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }
}
