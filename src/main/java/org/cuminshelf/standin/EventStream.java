package org.cuminshelf.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One stream of the stand-in engine on its way to the sidecar. */
final class EventStream {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final Response response;
    private final Callback callback;
    private final Deque<String> waiting = new ArrayDeque<>();
    private Runnable onGone = () -> {};
    private boolean writing;
    private boolean finished;
    private boolean ended;

    EventStream(Response response, Callback callback) {
        this.response = response;
        this.callback = callback;
    }

    void onGone(Runnable action) {
        this.onGone = action;
    }

    synchronized void token(String token) {
        waiting.add(event(token, null));
        next();
    }

    synchronized void finish(String reason) {
        waiting.add(event("", reason));
        finished = true;
        next();
    }

    private void next() {
        if (writing || ended || waiting.isEmpty()) {
            return;
        }
        writing = true;
        String events = String.join("", waiting);
        waiting.clear();
        boolean last = finished;
        response.write(
                last,
                ByteBuffer.wrap(events.getBytes(StandardCharsets.UTF_8)),
                Callback.from(() -> written(last), this::failed));
    }

    private synchronized void written(boolean last) {
        writing = false;
        if (last) {
            ended = true;
            callback.succeeded();
        } else {
            next();
        }
    }

    private synchronized void failed(Throwable cause) {
        if (!ended) {
            ended = true;
            callback.failed(cause);
            onGone.run();
        }
    }

    private static String event(String token, String reason) {
        ObjectNode node = JSON.createObjectNode();
        node.putArray("choices").addObject().put("text", token).put("finish_reason", reason);
        return "data: " + node + "\n\n";
    }
}
