package org.cuminshelf.http;

import io.opentelemetry.api.trace.Span;
import org.cuminshelf.message.AnswerEnd;
import org.cuminshelf.message.AnswerHead;
import org.cuminshelf.message.AnswerPart;
import org.cuminshelf.message.Header;
import org.cuminshelf.verdict.Verdict;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A caller that waits for its answer, in the form it asked for. */
sealed interface OpenCall {

    /** The span of the entry's hop. */
    Span span();

    /** Status and headers of a plain service's answer. */
    void head(AnswerHead head);

    /** A part of the answer. */
    void part(AnswerPart part);

    /** The end of the answer. */
    void end(AnswerEnd end);

    /** The verdict of an end. */
    static Verdict verdict(AnswerEnd end) {
        return Verdict.of(end.getRan(), end.getCause(), end.getRetryAfterMs());
    }

    /** An exchange with a plain service, passed through. */
    final class ServiceCall implements OpenCall {

        private final Span span;
        private final Response response;
        private final Callback callback;
        private final ResponseWriter writer;
        private boolean started;

        ServiceCall(Span span, Response response, Callback callback, Runnable onDisconnect) {
            this.span = span;
            this.response = response;
            this.callback = callback;
            this.writer = new ResponseWriter(response, callback, onDisconnect);
        }

        @Override
        public Span span() {
            return span;
        }

        @Override
        public void head(AnswerHead head) {
            started = true;
            response.setStatus(head.getStatus());
            for (Header header : head.getHeadersList()) {
                response.getHeaders().add(header.getName(), header.getValue());
            }
            response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
        }

        @Override
        public void part(AnswerPart part) {
            writer.write(part.getBody().toByteArray(), false);
        }

        @Override
        public void end(AnswerEnd end) {
            if (end.getWhole()) {
                writer.write(new byte[0], true);
            } else if (started) {
                writer.fail(new java.io.IOException("the answer is not whole: " + end.getCause()));
            } else {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
            }
        }
    }

    /** A generation whose tokens go to the caller as they come, as server-sent events. */
    final class StreamedCompletion implements OpenCall {

        private final Span span;
        private final Response response;
        private final Callback callback;
        private final ResponseWriter writer;
        private final CompletionJson json;
        private boolean started;

        StreamedCompletion(
                Span span, Response response, Callback callback, Runnable onDisconnect, CompletionJson json) {
            this.span = span;
            this.response = response;
            this.callback = callback;
            this.writer = new ResponseWriter(response, callback, onDisconnect);
            this.json = json;
        }

        @Override
        public Span span() {
            return span;
        }

        @Override
        public void head(AnswerHead head) {
            // A generation has no head of its own.
        }

        @Override
        public void part(AnswerPart part) {
            start();
            for (String token : part.getTokensList()) {
                writer.write(json.event(token, ""), false);
            }
        }

        @Override
        public void end(AnswerEnd end) {
            if (end.getWhole()) {
                start();
                writer.write(json.event("", end.getFinishReason()), false);
                writer.write(CompletionJson.DONE, true);
            } else if (started) {
                writer.write(CompletionJson.error(Problem.of(verdict(end), end.getDetail())), true);
            } else {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
            }
        }

        private void start() {
            if (!started) {
                started = true;
                response.setStatus(200);
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
                response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
                response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
            }
        }
    }

    /** A generation whose caller wants the whole answer at once. */
    final class BufferedCompletion implements OpenCall {

        private final Span span;
        private final Response response;
        private final Callback callback;
        private final CompletionJson json;
        private final StringBuilder text = new StringBuilder();

        BufferedCompletion(Span span, Response response, Callback callback, CompletionJson json) {
            this.span = span;
            this.response = response;
            this.callback = callback;
            this.json = json;
        }

        @Override
        public Span span() {
            return span;
        }

        @Override
        public void head(AnswerHead head) {
            // A generation has no head of its own.
        }

        @Override
        public void part(AnswerPart part) {
            part.getTokensList().forEach(text::append);
        }

        @Override
        public void end(AnswerEnd end) {
            if (!end.getWhole()) {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
                return;
            }
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
            response.write(true, java.nio.ByteBuffer.wrap(json.whole(text.toString(), end)), callback);
        }
    }
}
