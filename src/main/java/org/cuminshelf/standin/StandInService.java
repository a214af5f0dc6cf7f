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
 * HTTP service that assigns sequential numbers to titles. {@code POST /numbers} takes a title as its body and assigns a
 * new number on every execution. {@code GET /runs} returns the number of executions by title, which reveals calls that
 * were executed more than once. {@code GET /closed} returns status 401 without a challenge.
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
     * @param address     the listen address; port 0 selects a free port
     * @param delayMillis the delay of each {@code POST /numbers} response, in milliseconds
     * @return the running service
     * @throws IOException if the address cannot be bound
     */
    public static StandInService start(Address address, long delayMillis) throws IOException {
        StandInService service = new StandInService(delayMillis);
        service.listener = HttpListener.start(address, 64, service, Optional.empty());
        return service;
    }

    /**
     * Returns the port on which the service listens.
     *
     * @return the port
     */
    public int port() {
        return listener.port();
    }

    /**
     * Returns how often a number was assigned to each title.
     *
     * @return the number of executions by title
     */
    public synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String path = Request.getPathInContext(request);
        if (path.equals("/numbers") && request.getMethod().equals("POST")) {
            String title = Content.Source.asString(request, StandardCharsets.UTF_8);
            long number = assignNumber(title);
            if (delayMillis > 0) {
                Thread.sleep(delayMillis);
            }
            writeJson(
                    response,
                    callback,
                    JSON.createObjectNode().put("title", title).put("number", number));
        } else if (path.equals("/closed")) {
            response.setStatus(401);
            response.write(true, ByteBuffer.wrap("closed".getBytes(StandardCharsets.US_ASCII)), callback);
        } else if (path.equals("/runs")) {
            ObjectNode node = JSON.createObjectNode();
            runs().forEach(node::put);
            writeJson(response, callback, node);
        } else {
            writeJson(
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

    private synchronized long assignNumber(String title) {
        runs.merge(title, 1, Integer::sum);
        return nextNumber++;
    }

    private static void writeJson(Response response, Callback callback, ObjectNode node) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.write(true, ByteBuffer.wrap(node.toString().getBytes(StandardCharsets.UTF_8)), callback);
    }
}
