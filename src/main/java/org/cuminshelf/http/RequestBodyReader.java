package org.cuminshelf.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** Reads request bodies without blocking and up to a maximum size. */
final class RequestBodyReader {

    private RequestBodyReader() {}

    /**
     * Reads a complete body.
     *
     * @param request    the request
     * @param response   the response, which closes the connection if the body isn't read to its end
     * @param maxBytes   maximum size of the body
     * @param onBody     receives the body
     * @param onTooLarge called instead if the body is larger
     * @param onError    called instead if the body is truncated or times out
     */
    static void read(
            Request request,
            Response response,
            int maxBytes,
            Consumer<byte[]> onBody,
            Runnable onTooLarge,
            Consumer<Throwable> onError) {
        new PendingRead(request, response, maxBytes, onBody, onTooLarge, onError).run();
    }

    private static final class PendingRead implements Runnable {

        private final Request request;
        private final Response response;
        private final int maxBytes;
        private final Consumer<byte[]> onBody;
        private final Runnable onTooLarge;
        private final Consumer<Throwable> onError;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        private PendingRead(
                Request request,
                Response response,
                int maxBytes,
                Consumer<byte[]> onBody,
                Runnable onTooLarge,
                Consumer<Throwable> onError) {
            this.request = request;
            this.response = response;
            this.maxBytes = maxBytes;
            this.onBody = onBody;
            this.onTooLarge = onTooLarge;
            this.onError = onError;
        }

        @Override
        public void run() {
            while (true) {
                Content.Chunk chunk = request.read();
                if (chunk == null) {
                    request.demand(this);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    onError.accept(chunk.getFailure());
                    return;
                }
                append(chunk);
                if (bytes.size() > maxBytes) {
                    // On a persistent connection the rest of the body would be parsed as the next request.
                    response.getHeaders().put(HttpHeader.CONNECTION, "close");
                    onTooLarge.run();
                    return;
                }
                if (chunk.isLast()) {
                    onBody.accept(bytes.toByteArray());
                    return;
                }
            }
        }

        private void append(Content.Chunk chunk) {
            ByteBuffer buffer = chunk.getByteBuffer();
            byte[] part = new byte[buffer.remaining()];
            buffer.get(part);
            chunk.release();
            bytes.writeBytes(part);
        }
    }
}
