package org.cuminshelf.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Server-sent event response of the stand-in engine for one stream. Events that arrive during a write are sent
 * together in the next write. All methods except {@link #onConnectionLost} are thread-safe.
 */
final class EventStream {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Response response;
    private final Callback callback;
    private final Deque<String> pendingEvents = new ArrayDeque<>();
    private Runnable onConnectionLost = () -> {};
    private boolean writing;
    private boolean finished;
    private boolean ended;

    EventStream(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    /** Sets the action to run when a write fails. It has to be set before the first event is sent. */
    void onConnectionLost(Runnable action) {
        this.onConnectionLost = action;
    }

    synchronized void sendToken(String token) {
        pendingEvents.add(event(token, null));
        writePending();
    }

    synchronized void finish(String reason) {
        pendingEvents.add(event("", reason));
        finished = true;
        writePending();
    }

    private void writePending() {
        if (writing || ended || pendingEvents.isEmpty()) {
            return;
        }
        writing = true;
        String events = String.join("", pendingEvents);
        pendingEvents.clear();
        boolean isLast = finished;
        response.write(
                isLast,
                ByteBuffer.wrap(events.getBytes(StandardCharsets.UTF_8)),
                Callback.from(() -> onWritten(isLast), this::onWriteFailed));
    }

    private synchronized void onWritten(boolean isLast) {
        writing = false;
        if (isLast) {
            ended = true;
            callback.succeeded();
        } else {
            writePending();
        }
    }

    private synchronized void onWriteFailed(Throwable cause) {
        if (!ended) {
            ended = true;
            callback.failed(cause);
            onConnectionLost.run();
        }
    }

    private static String event(String token, String reason) {
        ObjectNode node = JSON.createObjectNode();
        node.putArray("choices").addObject().put("text", token).put("finish_reason", reason);
        return "data: " + node + "\n\n";
    }
}
