package org.cuminshelf.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/** Reads request bodies without blocking and with a bound. */
final class RequestBodyReader {

    private RequestBodyReader() {}

    /**
     * Reads a whole body.
     *
     * @param request  the request
     * @param response the response, to close its connection where the body is not read to its end
     * @param largest  most bytes to take
     * @param onBody   takes the body
     * @param tooLarge called instead where there is more
     * @param onError  called instead where the body ends early or comes too slowly
     */
    static void read(
            Request request,
            Response response,
            int largest,
            Consumer<byte[]> onBody,
            Runnable tooLarge,
            Consumer<Throwable> onError) {
        new Reader(request, response, largest, onBody, tooLarge, onError).run();
    }

    private static final class Reader implements Runnable {

        private final Request request;
        private final Response response;
        private final int largest;
        private final Consumer<byte[]> onBody;
        private final Runnable tooLarge;
        private final Consumer<Throwable> onError;
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        private Reader(
                Request request,
                Response response,
                int largest,
                Consumer<byte[]> onBody,
                Runnable tooLarge,
                Consumer<Throwable> onError) {
            this.request = request;
            this.response = response;
            this.largest = largest;
            this.onBody = onBody;
            this.tooLarge = tooLarge;
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
                take(chunk);
                if (bytes.size() > largest) {
                    // What is left of the body would be taken for the next request.
                    response.getHeaders().put(HttpHeader.CONNECTION, "close");
                    tooLarge.run();
                    return;
                }
                if (chunk.isLast()) {
                    onBody.accept(bytes.toByteArray());
                    return;
                }
            }
        }

        private void take(Content.Chunk chunk) {
            ByteBuffer buffer = chunk.getByteBuffer();
            byte[] part = new byte[buffer.remaining()];
            buffer.get(part);
            chunk.release();
            bytes.writeBytes(part);
        }
    }
}
