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

/** A call in progress; writes the answer of the core in the format that the caller requested. */
sealed interface OpenCall {

    /** Returns the entry's span of the call. */
    Span span();

    /** Handles the status and headers of a plain service's answer. */
    void onHead(AnswerHead head);

    /** Handles a part of the answer. */
    void onPart(AnswerPart part);

    /** Handles the end of the answer. */
    void onEnd(AnswerEnd end);

    /** Returns the verdict of an answer. */
    static Verdict verdict(AnswerEnd end) {
        return Verdict.of(end.getRan(), end.getCause(), end.getRetryAfterMs());
    }

    /** A call of a plain service, whose response is passed through. */
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
        public void onHead(AnswerHead head) {
            started = true;
            response.setStatus(head.getStatus());
            for (Header header : head.getHeadersList()) {
                response.getHeaders().add(header.getName(), header.getValue());
            }
            response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
        }

        @Override
        public void onPart(AnswerPart part) {
            writer.write(part.getBody().toByteArray(), false);
        }

        @Override
        public void onEnd(AnswerEnd end) {
            if (end.getWhole()) {
                writer.write(new byte[0], true);
            } else if (started) {
                writer.fail(new java.io.IOException("the answer is incomplete: " + end.getCause()));
            } else {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
            }
        }
    }

    /** A completion whose tokens are streamed to the caller as server-sent events. */
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
        public void onHead(AnswerHead head) {
            // A completion has no head; its status and headers are fixed.
        }

        @Override
        public void onPart(AnswerPart part) {
            startResponse();
            for (String token : part.getTokensList()) {
                writer.write(json.tokenEvent(token, ""), false);
            }
        }

        @Override
        public void onEnd(AnswerEnd end) {
            if (end.getWhole()) {
                startResponse();
                writer.write(json.tokenEvent("", end.getFinishReason()), false);
                writer.write(CompletionJson.DONE_EVENT, true);
            } else if (started) {
                writer.write(CompletionJson.errorEvent(Problem.of(verdict(end), end.getDetail())), true);
            } else {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
            }
        }

        private void startResponse() {
            if (!started) {
                started = true;
                response.setStatus(200);
                response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
                response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
                response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
            }
        }
    }

    /** A completion that is sent to the caller as one complete response. */
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
        public void onHead(AnswerHead head) {
            // A completion has no head; its status and headers are fixed.
        }

        @Override
        public void onPart(AnswerPart part) {
            part.getTokensList().forEach(text::append);
        }

        @Override
        public void onEnd(AnswerEnd end) {
            if (!end.getWhole()) {
                Problem.of(verdict(end), end.getDetail()).write(response, callback);
                return;
            }
            response.setStatus(200);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
            response.getHeaders().put(Problem.VERDICT_HEADER, "ran");
            response.write(true, java.nio.ByteBuffer.wrap(json.completeResponse(text.toString(), end)), callback);
        }
    }
}
